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

// The kinds of events.
const (
	evArrival uint8 = iota // the next request of the stream
	evTry                  // a client's next try; a: demand
	evTryEnd               // a try's deadline and slack are over; a: request, c: generation
	evArrive               // an attempt's last byte is at its server; a: job
	evWorked               // a core is done with a job; a: job, b: server's life, c: stamp
	evOutcome              // an attempt ends at its proxy; a: request, b: result, c: generation and attempt
	evTimer                // of an agent; a: proxy, b: its life, c: token
	evProbe                // a probe is at its server; a: server, b: proxy, c: proxy's life
	evProbed               // and back; a: index of the answer, b: proxy
	evTell                 // discovery's changes are at a proxy; a: proxy, c: version
	evListed               // an answer of discovery; a: proxy, b: 1 where it failed, c: proxy's life
	evBoard                // the bulletin board is written anew
	evTrouble              // a: its number, b: stage, c: server or round
	evIdle                 // idle connections grow old; a: proxy, b: server
	evChoke                // a: server, b: 1 for the end of it, c: stamp
)

// Sim plays one scenario with one policy.
type Sim struct {
	Kernel
	sc     *Scenario
	policy string
	halls  []string

	servers []server
	proxies []proxy
	pairs   []pair // idle connections, by proxy and server

	reqs    []request
	demands []demand
	jobs    []job
	answers []probeAnswer
	free    struct{ reqs, demands, jobs, answers []int32 }
	held    int
	tries   uint64 // ids given

	streams streams
	rate    float64 // requests a second on an ordinary moment
	surge   float64 // times that, now
	cum     []float64
	serv    float64 // mean service time, in ns
	ends    int64   // arrivals end then
	arrived int     // demands
	last    int64   // when the last of them came
	cum2    struct{ class, tenant []float64 }
	zipf    *rand.Zipf

	registry registry
	board    board
	monitor  monitor
	tally    tally
	acts     []balance.Action
	overflow bool
}

// streams are random numbers split by what they are for, so that two policies meet the same arrivals, keys
// and work whatever they do between.
type streams struct {
	arrivals, shape, work, keys, speeds, network, troubles, clients, reports *rand.Rand
}

func stream(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// proxy is one instance with what the model knows of it.
type proxy struct {
	agent    Agent
	module   bool
	hall     int32
	life     int32
	alive    bool
	watching bool
	version  uint64          // of the list, as last told
	told     map[int32]int64 // when a server's drain or end was told
	loads    []float64       // as last seen, for on-access
	gap      float64         // mean time between its requests, ns
}

// Policies are the names that New knows.
var Policies = []string{
	"module", "random", "round-robin", "two-choices", "k-choices", "least-outstanding", "stale-shortest",
	"weighted-round-robin", "basic-li", "li-k", "oracle",
}

// Options are what is played beside the scenario.
type Options struct {
	Policy string
	Seed   uint64
	K      int     // servers looked at by k-choices and li-k; 0 is 2
	Lambda float64 // arrival rate that basic-li and li-k take a server to have; 0 is the true one
	Trace  int     // a request whose life is kept as text, from 1; 0 is none
	Strict bool    // the first break of a rule ends the day
	// Module makes a proxy's decisions in place of package balance's; nil is that package.
	Module func(set balance.Settings, now time.Duration) (Agent, error)
}

// New prepares a day. The error says which policy and model do not go together.
func New(sc *Scenario, o Options) (*Sim, error) {
	if !slices.Contains(Policies, o.Policy) {
		return nil, fmt.Errorf("policy %q is none of %v", o.Policy, Policies)
	}
	if len(sc.Classes) == 0 {
		return nil, fmt.Errorf("the scenario has no class")
	}
	s := &Sim{sc: sc, policy: o.Policy, surge: 1, halls: sc.Halls}
	if len(s.halls) == 0 {
		s.halls = []string{"hall"}
	}
	s.streams = streams{
		arrivals: stream(o.Seed, "arrivals"), shape: stream(o.Seed, "shape"), work: stream(o.Seed, "work"),
		keys: stream(o.Seed, "keys"), speeds: stream(o.Seed, "speeds"), network: stream(o.Seed, "network"),
		troubles: stream(o.Seed, "troubles"), clients: stream(o.Seed, "clients"),
		reports: stream(o.Seed, "reports"),
	}
	s.makeServers()
	s.makeLoad()
	s.tally.init(s)
	s.monitor.init(s, o)
	if err := s.makeProxies(o); err != nil {
		return nil, err
	}
	s.board.init(s)
	for i := range sc.Troubles {
		s.add(int64(sc.Troubles[i].At), evTrouble, int32(i), 0, 0)
	}
	s.ends = int64(sc.Duration)
	s.add(s.nextArrival(), evArrival, 0, 0, 0)
	return s, nil
}

// forever stands for no deadline.
const forever = 10000 * time.Hour

// Run plays the day to its end: all arrivals, and then until all is answered.
func (s *Sim) Run(o Options) *Result {
	for {
		e, ok := s.next()
		if !ok || s.overflow || s.monitor.stop {
			break
		}
		switch e.kind {
		case evArrival:
			s.arrival()
		case evTry:
			s.held-- // it was held while it waited to come
			s.try(e.a)
		case evTryEnd:
			s.tryEnd(e.a, e.c)
		case evArrive:
			s.arrive(e.a)
		case evWorked:
			s.worked(e.a, e.b, e.c)
		case evOutcome:
			s.outcome(e.a, balance.Result(e.b), e.c)
		case evTimer:
			if p := &s.proxies[e.a]; p.alive && p.life == e.b {
				s.do(e.a, p.agent.Timer(time.Duration(s.now), e.c, s.acts[:0]))
			}
		case evProbe:
			s.probe(e.a, e.b, int32(e.c))
		case evProbed:
			s.probed(e.a, e.b)
		case evTell:
			s.tell(e.a, e.c)
		case evListed:
			s.listed(e.a, e.b == 1, int32(e.c))
		case evBoard:
			s.board.write(s)
		case evTrouble:
			s.trouble(int(e.a), e.b, e.c, o)
		case evIdle:
			s.age(e.a, e.b)
		case evChoke:
			s.choke(e.a, e.b == 1, e.c)
		}
		// The stream and all that is held are over: what is left are timers and the board, which never end.
		if s.ended() {
			break
		}
	}
	return s.result()
}

// Places is how many places its tables have taken: what was held at once at most, events among it.
func (s *Sim) Places() int {
	return len(s.reqs) + len(s.demands) + len(s.jobs) + len(s.answers) + cap(s.heap)
}

func (s *Sim) ended() bool { return s.arrived < 0 && s.held == 0 }

// do carries out what an agent says.
func (s *Sim) do(i int32, acts []balance.Action) {
	s.acts = acts
	p := &s.proxies[i]
	for n := range acts {
		a := &acts[n]
		switch a.Kind {
		case balance.SetTimer:
			s.add(s.now+int64(a.Wait), evTimer, i, p.life, a.Token)
		case balance.Probe:
			s.tally.probes++
			j := int32(a.Server) - 1
			s.add(s.now+s.latency(p.hall, s.servers[j].hall), evProbe, j, i, uint64(p.life))
		case balance.FollowList:
			s.follow(i)
		default:
			r, ok := s.open(a.ID)
			if !ok {
				continue
			}
			switch a.Kind {
			case balance.Send:
				s.send(r, int32(a.Server)-1, int64(a.Wait))
			case balance.Cancel:
				s.cancel(r, a.Attempt)
			case balance.Reject:
				s.answer(r, refused, a.Wait)
			case balance.Fail:
				s.answer(r, failed, 0)
			}
		}
	}
}

// latency is one way between two halls.
func (s *Sim) latency(from, to int32) int64 {
	d := s.sc.Network.Within
	if from != to {
		d = s.sc.Network.Across
	}
	if d == 0 {
		return 0
	}
	if j := s.sc.Network.Jitter; j > 0 {
		return int64(float64(d) * (1 + j*(2*s.streams.network.Float64()-1)))
	}
	return int64(d)
}

// An id is the place of a request in its table and its generation there, in base 36.
func (s *Sim) name(r int32) string {
	return strconv.FormatUint(uint64(r)|uint64(s.reqs[r].gen)<<31, 36)
}

func (s *Sim) open(id string) (int32, bool) {
	n, err := strconv.ParseUint(id, 36, 64)
	r := int32(n & (1<<31 - 1))
	if err != nil || int(r) >= len(s.reqs) || uint64(s.reqs[r].gen) != n>>31 || !s.reqs[r].used {
		return 0, false
	}
	return r, true
}
