package proxysim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// SWIMOptions are the parameters of a model of the client proxies' gossip: SWIM (Das, Gupta and Motivala, DSN
// 2002) with Lifeguard (Dadgar, Phillips and Currey, 2018), as memberlist implements it with the settings of
// package gossip. Sizes of messages are those of memberlist's codec.
type SWIMOptions struct {
	Members              int
	Probe                time.Duration // between probes of one member
	ProbeTimeout         time.Duration // for a direct answer; the whole probe takes Probe, scaled by health
	Gossip               time.Duration // between rounds of gossip
	SuspicionMult        int
	RejoinInterval       time.Duration // between attempts to join a dead member, a quarter more or less
	SyncPerMember        time.Duration // between full state exchanges, times the members known
	GossipToDead         time.Duration // how long after its death a member is still sent gossip
	Latency              time.Duration // one way, of a datagram with its handling
	Jitter               time.Duration // added to it, uniformly from 0 to this
	NameBytes, MetaBytes int           // bytes of a member's name and metadata; 0 is 4 and 58
	LabelBytes           int           // bytes of the fleet's label; 0 is 8
	Seeds                int           // the first members are seeds, which others join; 0 is 1
	StartEmpty           bool          // members know nobody at first and all join member 0
	Seed                 uint64
}

// The protocol's constants in memberlist's LAN settings.
const (
	swimGossipNodes      = 3  // members that gossip is sent to at a time
	swimIndirect         = 3  // members that are asked for an indirect probe
	swimRetransmit       = 8  // transmissions of an update, times log(members); package gossip sets this
	swimMaxSuspicionMult = 6  // the longest suspicion over the shortest
	swimMaxHealth        = 8  // bound of Lifeguard's local health multiplier
	swimSmallFleet       = 32 // members up to which a fleet is small, as in package gossip
	swimPacketBytes      = 1400
)

// swimStream is the stream of random draws of a fleet, as the second word of its generator's seed.
const swimStream = 23

// drawsPerMember bounds the draws of a random member, times the known members.
const drawsPerMember = 3

// SWIMStatus is a member's state in the view of another.
type SWIMStatus uint8

// The states of a member.
const (
	SWIMUnknown SWIMStatus = iota
	SWIMAlive
	SWIMSuspect
	SWIMDead
)

// SWIMCounts are sums over all members.
type SWIMCounts struct {
	Packets, Bytes, Streams          int64 // sent; bytes of streams included
	Probes, Indirect, Suspicions     int64
	Refutations, Deaths, FalseDeaths int64 // a death is false where the member's process was running
	Rejoins, Syncs, Confirmed        int64
}

// The kinds of events of SWIM; target is the member.
const (
	swimProbe          uint8 = iota // a ticker of probes; stamp: process
	swimGossip                      // a ticker of gossip; stamp: process
	swimArrive                      // a datagram arrives; detail: position in the pool
	swimProbeTimeout                // for the direct answer to a probe; stamp: sequence number
	swimProbeEnd                    // a probe's time is over; stamp: sequence number
	swimNack                        // a relayed probe is unanswered; stamp: sequence number
	swimSuspicion                   // a suspicion ends with a death; detail: subject, stamp: generation
	swimRejoin                      // a ticker of rejoins; detail: rejoinSeq, stamp: process
	swimSync                        // a ticker of state exchanges; stamp: process
	swimPush                        // a state arrives over a stream; detail: its sender
	swimPull                        // the answer to that arrives; detail: its sender
	swimAskSuspect                  // a suspect is asked; detail: subject, stamp: attempts before
	swimSuspicionLasts              // a lasting suspicion has its subject asked; detail: subject, stamp: start
)

// messageKind is the kind of a datagram's first message.
type messageKind uint8

const (
	msgPing messageKind = iota
	msgIndirect
	msgAck
	msgNack
	msgGossip // gossip alone
)

// memberView is what one member knows of another.
type memberView struct {
	incarnation  uint32
	changedAt    int32 // ms, when status last changed
	status       SWIMStatus
	shownSuspect bool // package gossip shows it as suspect: since the suspicion was first gossiped
}

// update is a gossiped message: suspect, alive or dead.
type update struct {
	subject     int32 // whom it is about
	from        int32 // who raised it
	incarnation uint32
	status      SWIMStatus
	transmits   int16 // so far, by the member that queues it
}

// packet is a datagram.
type packet struct {
	kind     messageKind
	from, to int32
	seq      uint64
	target   int32 // of an indirect probe
	gossip   []update
}

// suspicion is a suspected member in the view of another, as in Lifeguard: confirmations shorten it from max
// towards min, which are in ns.
type suspicion struct {
	generation          uint64
	confirmationsWanted int
	min, max            int64
	start               int64
	confirmedBy         []int32 // members; the first one raised it
}

// relayedProbe is an indirect probe on behalf of another member.
type relayedProbe struct {
	asker int32
	seq   uint64
}

// swimNode is the state of one member.
type swimNode struct {
	views       []memberView // by member
	order       []int32      // the known members, in the order in which they are probed
	next        int          // position in order
	broadcasts  []update     // queued for gossip, the newest last
	suspects    map[int32]*suspicion
	byStatus    [4]int // number of members by status
	incarnation uint32 // its incarnation number
	health      int    // Lifeguard's local health multiplier
	process     uint64 // identifies its run in events; tickers of earlier ones end
	up          bool
	paused      bool
	waiting     []event // that came while it was paused

	seq uint64 // newest sequence number of probes, its own and relayed ones

	// The probe under way, from beginProbe to endProbe.
	probing       int32 // the member probed, -1 for none
	probeSeq      uint64
	acked         bool
	streamOK      bool // the attempt over a stream reaches the member
	expectedNacks int  // members that were asked for an indirect probe
	nacks         int  // of those, how many said that it is unanswered
	missedTick    bool // a probe was due while this one was under way

	seedFrom     int64 // a stream over a blocked link stalls the rejoin until then
	nextSeed     int32 // which is joined then; -1 for none
	stalledUntil int64 // the stream of that attempt stalls the rejoin until then
	rejoinSeq    int32 // identifies the ticker of rejoins, which a heal replaces

	relayed map[uint64]relayedProbe // unanswered indirect probes for others, by own sequence number
}

// SWIM is the gossip of one fleet in virtual time.
type SWIM struct {
	Kernel
	opts       SWIMOptions
	rng        *rand.Rand
	nodes      []swimNode
	pool       []packet // datagrams in transit
	free       []int32  // unused positions of pool
	generation uint64   // of the newest suspicion, or shortening of one
	drawn      []int32  // the members that randomMembers returned last

	side       []int8            // of a partition
	blocked    map[[2]int32]bool // one-way links
	delay      map[int32]int64   // further one-way delay of all links of a member
	wrongViews int               // pairs of a running member and a member that it sees otherwise than it is
	down       []bool            // by member: it does not run
	Count      SWIMCounts
}

// NewSWIM returns a fleet whose members know each other, or all join at once.
func NewSWIM(o SWIMOptions) *SWIM {
	if o.NameBytes == 0 {
		o.NameBytes, o.MetaBytes = 4, 58
	}
	if o.LabelBytes == 0 {
		o.LabelBytes = 8
	}
	s := &SWIM{opts: o, rng: rand.New(rand.NewPCG(o.Seed, swimStream)), nodes: make([]swimNode, o.Members),
		side:    make([]int8, o.Members),
		blocked: map[[2]int32]bool{}, delay: map[int32]int64{}, down: make([]bool, o.Members)}
	for member := range s.nodes {
		s.boot(int32(member), o.StartEmpty)
	}
	if o.StartEmpty {
		for member := 1; member < o.Members; member++ {
			s.exchangeStates(int32(member), 0)
		}
	}
	s.recount()
	return s
}

// boot gives a member its first state and starts its tickers, each at a time of its own. An empty member
// knows itself alone.
func (s *SWIM) boot(member int32, empty bool) {
	node := &s.nodes[member]
	members := s.opts.Members
	*node = swimNode{views: make([]memberView, members), suspects: map[int32]*suspicion{},
		incarnation: 1, up: true, probing: -1,
		relayed: map[uint64]relayedProbe{}, seq: node.seq + 1, process: node.seq + 1}
	node.order = append(node.order, member)
	node.views[member] = memberView{incarnation: 1, status: SWIMAlive}
	node.byStatus[SWIMAlive] = 1
	if !empty {
		for other := range node.views {
			node.views[other] = memberView{incarnation: 1, status: SWIMAlive}
		}
		node.byStatus[SWIMAlive] = members
		node.order = node.order[:0]
		for other := range members {
			node.order = append(node.order, int32(other))
		}
		s.shuffleOrder(node)
	}
	stagger := func(d time.Duration) int64 { return s.now + s.rng.Int64N(int64(d)) }
	s.add(stagger(s.opts.Probe), event{kind: swimProbe, target: member, stamp: node.seq})
	s.add(stagger(s.opts.Gossip), event{kind: swimGossip, target: member, stamp: node.seq})
	s.add(s.now+s.jittered(s.opts.RejoinInterval),
		event{kind: swimRejoin, target: member, detail: node.rejoinSeq, stamp: node.seq})
	if empty {
		s.add(s.now+s.jittered(s.syncInterval(node)), event{kind: swimSync, target: member, stamp: node.seq})
	} else { // its last exchange may be any time ago
		s.add(stagger(s.syncInterval(node)), event{kind: swimSync, target: member, stamp: node.seq})
	}
}

// shuffleOrder draws a new order of probes.
func (s *SWIM) shuffleOrder(node *swimNode) {
	order := node.order
	s.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
}

// jittered draws an interval that is up to a quarter longer or shorter, in ns.
func (s *SWIM) jittered(d time.Duration) int64 { return int64(d)*3/4 + s.rng.Int64N(int64(d)/2+1) }

// syncInterval is the mean time between full state exchanges of a member.
func (s *SWIM) syncInterval(node *swimNode) time.Duration {
	return s.opts.SyncPerMember * time.Duration(max(1, len(node.order)))
}

// randomMember draws another member whose view fits, -1 where a bounded number of draws finds none.
func (s *SWIM) randomMember(member int32, fits func(memberView) bool) int32 {
	node := &s.nodes[member]
	known := len(node.order)
	for range drawsPerMember * known {
		if candidate := node.order[s.rng.IntN(known)]; candidate != member && fits(node.views[candidate]) {
			return candidate
		}
	}
	return -1
}

// randomMembers draws up to count different other members whose views fit, as memberlist's kRandomNodes. The
// result is valid until the next call.
func (s *SWIM) randomMembers(member int32, count int, fits func(memberView) bool) []int32 {
	node := &s.nodes[member]
	known := len(node.order)
	s.drawn = s.drawn[:0]
	for draws := 0; draws < drawsPerMember*known && len(s.drawn) < count; draws++ {
		candidate := node.order[s.rng.IntN(known)]
		if candidate != member && fits(node.views[candidate]) && !slices.Contains(s.drawn, candidate) {
			s.drawn = append(s.drawn, candidate)
		}
	}
	return s.drawn
}

func log10(n int) float64 { return math.Log10(float64(n)) }
