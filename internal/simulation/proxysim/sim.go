package proxysim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cresshub/balance"
)

// The kinds of events of Sim.
const (
	evArrival       uint8 = iota // the next arrival of the stream
	evClientAttempt              // a client's next attempt; target: demand
	evClientTimeout              // a deadline and its grace are over; target: request, stamp: generation
	evServerArrival              // an attempt's last byte is at its server; target: job
	evJobDone                    // target: job, detail: incarnation of the server, stamp: generation
	evAttemptEnd                 // target: request, detail: balance.Result, stamp: attemptToken
	evTimer                      // of an agent; target: proxy, detail: its incarnation, stamp: token
	evProbe                      // at its server; target: server, detail: proxy, stamp: its incarnation
	evProbeAnswer                // at the proxy; target: position of the answer, detail: proxy
	evListChange                 // changes of the list reach a proxy; target: proxy, stamp: version
	evListAnswer                 // target: proxy, detail: listCallFailed or 0, stamp: proxy's incarnation
	evBoardRefresh               // the bulletin board is refreshed
	evFault                      // target: fault, detail: stage, stamp: see playFault
	evIdleTimeout                // of idle connections; target: proxy, detail: server
	evChoke                      // target: server, detail: chokeEnds or 0, stamp: see chokeTimeout
)

// Details of events.
const (
	listCallFailed = 1 // of evListAnswer
	chokeEnds      = 1 // of evChoke; 0 is its begin
)

// Sim is one run of a scenario with one policy.
type Sim struct {
	Kernel
	scenario *Scenario
	policy   string
	halls    []string

	servers   []server
	proxies   []proxy
	idleConns []idleConns // idle connections, by proxy and server

	// Tables, whose slots are used again; free has the unused ones.
	requests []request
	demands  []demand
	jobs     []job
	answers  []probeAnswer
	free     struct{ requests, demands, jobs, answers []int32 }
	inFlight int // requests, and attempts of clients that are still to come

	streams             streams
	rate                float64   // requests per second outside bursts
	burst               float64   // factor on that, now
	cumulativeLoad      []float64 // of proxies, by their weights
	meanService         float64   // mean service time, in ns
	arrivalsEnd         int64     // ns
	arrived             int       // demands so far, -1 once the stream has ended
	lastArrival         int64     // ns
	cumulativeFractions struct{ class, tenant []float64 }
	zipf                *rand.Zipf

	registry registry
	board    board
	monitor  monitor
	tally    tally
	actions  []balance.Action // memory that agents append to, used again
	overflow bool             // more requests were in flight than the scenario allows
}

// streams are random streams split by purpose, so that two policies meet the same arrivals, keys and work
// whatever they decide.
type streams struct {
	arrivals, shape, work, keys, speeds, network, faults, clients, reports *rand.Rand
}

// goldenRatio64 is 2^64 over the golden ratio, by which small numbers spread over all 64 bits.
const goldenRatio64 = 0x9e3779b97f4a7c15

// stream returns the random stream of a purpose.
func stream(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// proxy is one instance of the client proxy.
type proxy struct {
	agent       Agent
	module      bool // the agent decides as package balance does
	hall        int32
	incarnation int32           // of the process; rises as it ends
	alive       bool            // the process runs
	watching    bool            // has a watch of the list
	version     uint64          // of the list, as delivered
	withdrawnAt map[int32]int64 // when a server's drain or removal was delivered
	loads       []float64       // as last observed, for on-access
	meanGap     float64         // mean time between its requests, ns
}

// The policies. All but the first are textbook policies (type baselinePolicy).
const (
	policyModule             = "module"            // the decisions of package balance
	policyRandom             = "random"            // any server
	policyRoundRobin         = "round-robin"       // the servers in turn
	policyTwoChoices         = "two-choices"       // the less loaded of two servers drawn at random
	policyKChoices           = "k-choices"         // the least loaded of Options.K servers drawn at random
	policyLeastOutstanding   = "least-outstanding" // the server with the fewest open attempts of this proxy
	policyStaleShortest      = "stale-shortest"    // the server with the lowest load as known
	policyWeightedRoundRobin = "weighted-round-robin"
	policyBasicLI            = "basic-li" // see basicLI
	policyLIK                = "li-k"     // see liK
	policyOracle             = "oracle"   // the server that answers first, by its true state
)

// Policies are the names of the policies that New accepts.
var Policies = []string{
	policyModule, policyRandom, policyRoundRobin, policyTwoChoices, policyKChoices, policyLeastOutstanding,
	policyStaleShortest, policyWeightedRoundRobin, policyBasicLI, policyLIK, policyOracle,
}

// Options are the parameters of a run beside the scenario.
type Options struct {
	Policy string
	Seed   uint64
	K      int     // servers compared by k-choices and li-k; 0 is 2
	Lambda float64 // arrival rate of a server that basic-li and li-k assume; 0 is the true one
	Trace  int     // number of the request to be traced, from 1; 0 is none
	Strict bool    // the first violation of a rule ends the run
	// Module makes a proxy's decisions in place of package balance's; nil is that package.
	Module func(set balance.Settings, now time.Duration) (Agent, error)
}

// New prepares a run. The error says that the policy is unknown, the scenario has no class, or the module
// rejects the settings.
func New(scenario *Scenario, options Options) (*Sim, error) {
	if !slices.Contains(Policies, options.Policy) {
		return nil, fmt.Errorf("policy %q is none of %v", options.Policy, Policies)
	}
	if len(scenario.Classes) == 0 {
		return nil, fmt.Errorf("the scenario has no class")
	}
	s := &Sim{scenario: scenario, policy: options.Policy, burst: 1, halls: scenario.Halls}
	if len(s.halls) == 0 {
		s.halls = []string{"hall"}
	}
	s.streams = streams{
		arrivals: stream(options.Seed, "arrivals"),
		shape:    stream(options.Seed, "shape"),
		work:     stream(options.Seed, "work"),
		keys:     stream(options.Seed, "keys"),
		speeds:   stream(options.Seed, "speeds"),
		network:  stream(options.Seed, "network"),
		faults:   stream(options.Seed, "troubles"),
		clients:  stream(options.Seed, "clients"),
		reports:  stream(options.Seed, "reports"),
	}
	s.makeServers()
	s.makeLoad()
	s.tally.init(s)
	s.monitor.init(s, options)
	if err := s.makeProxies(options); err != nil {
		return nil, err
	}
	s.board.init(s)
	for i := range scenario.Faults {
		s.add(int64(scenario.Faults[i].At), event{kind: evFault, target: int32(i)})
	}
	s.arrivalsEnd = int64(scenario.Duration)
	s.add(s.nextArrival(), event{kind: evArrival})
	return s, nil
}

// forever is used as a deadline where there is none.
const forever = 10000 * time.Hour

// Run plays the scenario to its end: all arrivals, and then until all requests are answered. It is called
// once.
func (s *Sim) Run(options Options) *Result {
	for {
		e, ok := s.next()
		if !ok || s.overflow || s.monitor.stop {
			break
		}
		s.handle(e, options)
		// What is queued otherwise, timers and the board, never ends.
		if s.ended() {
			break
		}
	}
	return s.result()
}

// handle handles one event.
func (s *Sim) handle(e event, options Options) {
	switch e.kind {
	case evArrival:
		s.arrival()
	case evClientAttempt:
		s.inFlight-- // it counted while it was still to come
		s.startClientAttempt(e.target)
	case evClientTimeout:
		s.clientTimeout(e.target, e.stamp)
	case evServerArrival:
		s.arriveAtServer(e.target)
	case evJobDone:
		s.jobDone(e.target, e.detail, e.stamp)
	case evAttemptEnd:
		s.attemptEnded(e.target, balance.Result(e.detail), e.stamp)
	case evTimer:
		if proxy := &s.proxies[e.target]; proxy.alive && proxy.incarnation == e.detail {
			s.apply(e.target, proxy.agent.Timer(time.Duration(s.now), e.stamp, s.actions[:0]))
		}
	case evProbe:
		s.probeServer(e.target, e.detail, int32(e.stamp))
	case evProbeAnswer:
		s.probeAnswered(e.target, e.detail)
	case evListChange:
		s.deliverChanges(e.target, e.stamp)
	case evListAnswer:
		s.listAnswered(e.target, e.detail == listCallFailed, int32(e.stamp))
	case evBoardRefresh:
		s.board.refresh(s)
	case evFault:
		s.playFault(e.target, e.detail, e.stamp, options)
	case evIdleTimeout:
		s.closeIdleConns(e.target, e.detail)
	case evChoke:
		s.updateChoke(e.target, e.detail == chokeEnds, e.stamp)
	}
}

// TableSlots is the number of slots that the tables have grown to, the queue of events included: a measure of
// the memory that a run takes.
func (s *Sim) TableSlots() int {
	return len(s.requests) + len(s.demands) + len(s.jobs) + len(s.answers) + cap(s.heap)
}

// ended reports whether the stream has ended and all requests are answered.
func (s *Sim) ended() bool { return s.arrived < 0 && s.inFlight == 0 }

// apply carries out the actions of a proxy's agent.
func (s *Sim) apply(proxyIndex int32, acts []balance.Action) {
	s.actions = acts
	proxy := &s.proxies[proxyIndex]
	for position := range acts {
		action := &acts[position]
		switch action.Kind {
		case balance.SetTimer:
			s.add(s.now+int64(action.Wait),
				event{kind: evTimer, target: proxyIndex, detail: proxy.incarnation, stamp: action.Token})
		case balance.Probe:
			s.tally.probes++
			serverIndex := int32(action.Server) - 1
			arrivesAt := s.now + s.latency(proxy.hall, s.servers[serverIndex].hall)
			s.add(arrivesAt,
				event{kind: evProbe, target: serverIndex, detail: proxyIndex, stamp: uint64(proxy.incarnation)})
		case balance.FollowList:
			s.watchList(proxyIndex)
		default:
			s.applyToRequest(action)
		}
	}
}

// applyToRequest carries out an action on a request, unless that has ended.
func (s *Sim) applyToRequest(action *balance.Action) {
	requestIndex, ok := s.requestByID(action.ID)
	if !ok {
		return
	}
	switch action.Kind {
	case balance.Send:
		s.startAttempt(requestIndex, int32(action.Server)-1, int64(action.Wait))
	case balance.Cancel:
		s.cancelAttempt(requestIndex, action.Attempt)
	case balance.Reject:
		s.answerRequest(requestIndex, refused, action.Wait)
	case balance.Fail:
		s.answerRequest(requestIndex, failed, 0)
	}
}

// latency draws the one-way latency between two halls.
func (s *Sim) latency(from, to int32) int64 {
	mean := s.scenario.Network.WithinHall
	if from != to {
		mean = s.scenario.Network.AcrossHalls
	}
	if mean == 0 {
		return 0
	}
	if jitter := s.scenario.Network.Jitter; jitter > 0 {
		return int64(float64(mean) * (1 + jitter*(2*s.streams.network.Float64()-1)))
	}
	return int64(mean)
}

const (
	requestIndexBits = 31 // the low bits of a request's id, which hold its slot
	requestIDBase    = 36
)

// requestID is the id of a request for agents: its slot in the table and the slot's generation, in base 36.
func (s *Sim) requestID(requestIndex int32) string {
	generation := uint64(s.requests[requestIndex].generation)
	return strconv.FormatUint(generation<<requestIndexBits|uint64(requestIndex), requestIDBase)
}

// requestByID is the slot of an unanswered or open request; ok is false for one that has ended.
func (s *Sim) requestByID(id string) (int32, bool) {
	number, err := strconv.ParseUint(id, requestIDBase, 64)
	requestIndex := int32(number & (1<<requestIndexBits - 1))
	if err != nil || int(requestIndex) >= len(s.requests) {
		return 0, false
	}
	req := &s.requests[requestIndex]
	return requestIndex, req.used && uint64(req.generation) == number>>requestIndexBits
}
