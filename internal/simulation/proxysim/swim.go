package proxysim

import (
	"math"
	"math/rand/v2"
	"time"
)

// SWIMOptions are a model of the fleet view's gossip: SWIM (Das, Gupta and Motivala, DSN 2002) with Lifeguard
// (Dadgar, Phillips and Currey, 2018), as memberlist plays it with the settings of package fleet. Sizes of
// messages are those of memberlist's codec.
type SWIMOptions struct {
	Members              int
	Probe                time.Duration // between probes of one member
	ProbeTimeout         time.Duration // for a direct answer; the whole probe takes Probe, scaled by health
	Gossip               time.Duration // between rounds of gossip
	SuspicionMult        int
	RejoinInterval       time.Duration // between tries to join a dead member, a quarter more or less
	SyncPerMember        time.Duration // between full exchanges, times the members known
	GossipToDead         time.Duration // the dead hear gossip for so long
	Latency              time.Duration // one way, of a datagram with its handling
	Jitter               time.Duration // further, even from 0 to this
	NameBytes, MetaBytes int           // bytes of a member's name and metadata; 0 is 4 and 58
	LabelBytes           int           // bytes of the fleet's label; 0 is 8
	Seeds                int           // members, counted from the first, that the others try to join; 0 is 1
	StartEmpty           bool          // members know nobody at first and join member 0, all at once
	Seed                 uint64
}

// The protocol's constants in memberlist's LAN settings.
const (
	swimGossipNodes      = 3
	swimIndirect         = 3
	swimRetransmit       = 8 // package fleet sets this
	swimMaxSuspicionMult = 6 // a suspicion lasts so many times its least at most
	swimMaxHealth        = 8
	swimSmallFleet       = 32 // up to so many members a fleet is small, as in package fleet
	swimPacketBytes      = 1400
)

// SWIMStatus is what one member holds another to be.
type SWIMStatus uint8

const (
	SWIMUnknown SWIMStatus = iota
	SWIMAlive
	SWIMSuspect
	SWIMDead
)

// SWIMCounts are sums over all members.
type SWIMCounts struct {
	Packets, Bytes, Streams              int64 // sent; bytes of streams included
	Probes, Indirect, Suspicions         int64
	Refutations, Deaths, FalseDeaths     int64 // a death is false where the member's process ran unhindered
	Rejoins, Syncs, Confirmed, Truncated int64
}

const (
	swimProbe uint8 = iota
	swimGossip
	swimArrive
	swimProbeTimeout
	swimProbeEnd
	swimNack
	swimSuspicion
	swimRejoin
	swimSync
	swimPush
	swimPull
	swimAskSuspect     // a suspect is asked over a stream; c counts the tries
	swimSuspicionLasts // a suspicion that lasts has its member asked; c is when it began
)

const (
	msgPing uint8 = iota
	msgIndirect
	msgAck
	msgNack
	msgGossip // no message of its own, gossip alone
)

// memberView is what one member holds of another.
type memberView struct {
	inc          uint32
	changedAt    int32 // ms, when status last changed
	status       SWIMStatus
	shownSuspect bool // suspect, as a view of package fleet says: from when that was first gossiped on
}

// update is a gossiped message: suspect, alive or dead.
type update struct {
	subject, from int32
	inc           uint32
	status        SWIMStatus
	sent          int16
}

type packet struct {
	kind     uint8
	from, to int32
	seq      uint64
	target   int32 // of an indirect probe
	gossip   []update
}

type suspicion struct {
	generation          uint64
	confirmationsWanted int
	min, max            int64
	start               int64
	confirmedBy         []int32 // the first is who raised it
}

type relayedProbe struct {
	asker int32
	seq   uint64
}

type swimNode struct {
	views      []memberView
	order      []int32 // the round of probes
	next       int
	broadcasts []update
	suspects   map[int32]*suspicion
	byStatus   [4]int // members by status
	inc        uint32
	health     int
	process    uint64 // its tickers carry this; those of an earlier life end
	up         bool
	paused     bool
	waiting    []event // what came while paused

	seq           uint64
	probing       int32 // -1: none
	probeSeq      uint64
	acked         bool
	streamOK      bool
	expectedNacks int
	nacks         int
	missedTick    bool  // a tick came while a probe ran
	seedFrom      int64 // a stream over a cut link keeps its worker until then
	nextSeed      int32 // and the seed is tried next
	stalledUntil  int64 // with that try's stream
	rejoinSeq     int32 // brought forward by heals
	relayed       map[uint64]relayedProbe
}

// SWIM is one fleet's gossip in virtual time.
type SWIM struct {
	Kernel
	opts       SWIMOptions
	rng        *rand.Rand
	nodes      []swimNode
	pool       []packet
	free       []int32
	generation uint64
	drawn      []int32 // scratch

	side       []int8            // of a partition
	blocked    map[[2]int32]bool // one-way links
	delay      map[int32]int64   // further one-way delay of all links of a member
	wrongViews int               // pairs of running members and members held otherwise than they are
	down       []bool            // members that do not run
	Count      SWIMCounts
}

// NewSWIM returns a fleet that knows itself whole, or one that joins at once.
func NewSWIM(o SWIMOptions) *SWIM {
	if o.NameBytes == 0 {
		o.NameBytes, o.MetaBytes = 4, 58
	}
	if o.LabelBytes == 0 {
		o.LabelBytes = 8
	}
	n := o.Members
	s := &SWIM{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 23)), nodes: make([]swimNode, n),
		side:    make([]int8, n),
		blocked: map[[2]int32]bool{}, delay: map[int32]int64{}, down: make([]bool, n)}
	for i := range s.nodes {
		s.boot(int32(i), o.StartEmpty)
	}
	if o.StartEmpty {
		for i := 1; i < n; i++ {
			s.exchangeStates(int32(i), 0)
		}
	}
	s.recount()
	return s
}

// boot gives a member its first state and starts its tickers, each at a time of its own.
func (s *SWIM) boot(i int32, cold bool) {
	m := &s.nodes[i]
	n := s.opts.Members
	*m = swimNode{views: make([]memberView, n), suspects: map[int32]*suspicion{}, inc: 1, up: true, probing: -1,
		relayed: map[uint64]relayedProbe{}, seq: m.seq + 1, process: m.seq + 1}
	m.order = append(m.order, i)
	m.views[i] = memberView{inc: 1, status: SWIMAlive}
	m.byStatus[SWIMAlive] = 1
	if !cold {
		for j := range m.views {
			m.views[j] = memberView{inc: 1, status: SWIMAlive}
		}
		m.byStatus[SWIMAlive] = n
		m.order = m.order[:0]
		for j := range n {
			m.order = append(m.order, int32(j))
		}
		s.rng.Shuffle(n, func(a, b int) { m.order[a], m.order[b] = m.order[b], m.order[a] })
	}
	stagger := func(d time.Duration) int64 { return s.now + s.rng.Int64N(int64(d)) }
	s.add(stagger(s.opts.Probe), swimProbe, i, 0, m.seq)
	s.add(stagger(s.opts.Gossip), swimGossip, i, 0, m.seq)
	s.add(s.now+s.jittered(s.opts.RejoinInterval), swimRejoin, i, m.rejoinSeq, m.seq)
	if cold {
		s.add(s.now+s.jittered(s.syncInterval(m)), swimSync, i, 0, m.seq)
	} else { // as long since a start as any
		s.add(stagger(s.syncInterval(m)), swimSync, i, 0, m.seq)
	}
}

func (s *SWIM) jittered(d time.Duration) int64 { return int64(d)*3/4 + s.rng.Int64N(int64(d)/2+1) }

func (s *SWIM) syncInterval(m *swimNode) time.Duration {
	return s.opts.SyncPerMember * time.Duration(max(1, len(m.order)))
}

// randomMember picks a member other than i whose cell fits, -1 where a bounded number of draws finds none.
func (s *SWIM) randomMember(i int32, fits func(memberView) bool) int32 {
	m := &s.nodes[i]
	n := len(m.order)
	for range 3 * n {
		if j := m.order[s.rng.IntN(n)]; j != i && fits(m.views[j]) {
			return j
		}
	}
	return -1
}

// randomMembers picks up to k different members, as memberlist's kRandomNodes.
func (s *SWIM) randomMembers(i int32, k int, fits func(memberView) bool) []int32 {
	m := &s.nodes[i]
	n := len(m.order)
	s.drawn = s.drawn[:0]
	for try := 0; try < 3*n && len(s.drawn) < k; try++ {
		j := m.order[s.rng.IntN(n)]
		taken := j == i || !fits(m.views[j])
		for _, o := range s.drawn {
			taken = taken || o == j
		}
		if !taken {
			s.drawn = append(s.drawn, j)
		}
	}
	return s.drawn
}

// beginProbe probes the next member of the round that is neither dead nor this one.
func (s *SWIM) beginProbe(i int32) {
	m := &s.nodes[i]
	for range len(m.order) + 1 {
		if m.next >= len(m.order) {
			m.next = 0
			s.rng.Shuffle(len(m.order), func(a, b int) { m.order[a], m.order[b] = m.order[b], m.order[a] })
		}
		j := m.order[m.next]
		m.next++
		if st := m.views[j].status; j == i || st != SWIMAlive && st != SWIMSuspect {
			continue
		}
		m.seq++
		m.probing, m.probeSeq, m.acked, m.streamOK, m.expectedNacks, m.nacks = j, m.seq, false, false, 0, 0
		s.Count.Probes++
		p := packet{kind: msgPing, from: i, to: j, seq: m.seq}
		if c := m.views[j]; c.status == SWIMSuspect {
			p.gossip = []update{{subject: j, from: i, inc: c.inc, status: SWIMSuspect}}
			s.transmit(p)
		} else {
			s.send(p)
		}
		s.add(s.now+int64(s.opts.ProbeTimeout), swimProbeTimeout, i, 0, m.seq)
		s.add(s.now+int64(s.opts.Probe)*int64(m.health+1), swimProbeEnd, i, 0, m.seq)
		return
	}
}

// probeIndirectly has up to three members probe the one that did not answer, and tries a stream.
func (s *SWIM) probeIndirectly(i int32) {
	m := &s.nodes[i]
	j := m.probing
	for _, k := range append([]int32(nil), s.randomMembers(i, swimIndirect, func(c memberView) bool {
		return c.status == SWIMAlive
	})...) {
		if k == j {
			continue
		}
		m.expectedNacks++
		s.Count.Indirect++
		s.send(packet{kind: msgIndirect, from: i, to: k, seq: m.probeSeq, target: j})
	}
	s.Count.Streams++
	m.streamOK = s.reaches(i, j) && s.reaches(j, i) && !s.nodes[j].paused
}

// endProbe judges a probe whose time is over.
func (s *SWIM) endProbe(i int32) {
	m := &s.nodes[i]
	j := m.probing
	m.probing = -1
	if m.acked || m.streamOK {
		m.health = max(0, m.health-1)
	} else {
		if m.expectedNacks > 0 {
			m.health += m.expectedNacks - m.nacks
		} else {
			m.health++
		}
		m.health = min(m.health, swimMaxHealth-1)
		if m.views[j].status == SWIMAlive {
			s.Count.Suspicions++
		}
		s.suspect(i, update{subject: j, from: i, inc: m.views[j].inc, status: SWIMSuspect})
	}
	if m.missedTick {
		m.missedTick = false
		s.beginProbe(i)
	}
}

// arrive handles a datagram.
func (s *SWIM) arrive(i int32, p *packet) {
	m := &s.nodes[i]
	switch p.kind {
	case msgPing:
		s.send(packet{kind: msgAck, from: i, to: p.from, seq: p.seq})
	case msgIndirect:
		m.seq++
		m.relayed[m.seq] = relayedProbe{p.from, p.seq}
		s.send(packet{kind: msgPing, from: i, to: p.target, seq: m.seq})
		s.add(s.now+int64(s.opts.ProbeTimeout), swimNack, i, 0, m.seq)
	case msgAck:
		if r, ok := m.relayed[p.seq]; ok {
			delete(m.relayed, p.seq)
			s.send(packet{kind: msgAck, from: i, to: r.asker, seq: r.seq})
		} else if m.probing >= 0 && m.probeSeq == p.seq {
			m.acked = true
			s.endProbe(i)
		}
	case msgNack:
		if m.probing >= 0 && m.probeSeq == p.seq {
			m.nacks++
		}
	}
	for _, n := range p.gossip {
		s.applyUpdate(i, n)
	}
}

func (s *SWIM) applyUpdate(i int32, n update) {
	switch n.status {
	case SWIMAlive:
		s.alive(i, n)
	case SWIMSuspect:
		s.suspect(i, n)
	case SWIMDead:
		s.dead(i, n)
	}
}

func log10(n int) float64 { return math.Log10(float64(n)) }
