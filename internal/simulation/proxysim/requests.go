package proxysim

import (
	"math"
	"slices"
	"time"

	"cresshub/balance"
)

// demand is a client's request with all its attempts at a proxy.
type demand struct {
	class, tenant, proxy int32   // positions in their lists
	number               int32   // from 1, in order of arrival
	attempts             int32   // begun so far
	starts               int32   // times that it began to run at a server
	refs                 int32   // requests that refer to it
	done                 bool    // answered for good
	key                  uint64  // 0 for none
	work                 float64 // ns on a core of speed 1
	arrivedAt, deadline  int64   // virtual time in ns
	value                float64 // of an answer within the latency target
	honorsRetryAfter     bool    // waits for as long as a refusal says
	counted              bool    // arrived after the warm-up
}

// request is one attempt of a client at a proxy.
type request struct {
	demand      int32
	proxy       int32
	incarnation int32  // of the proxy
	generation  uint32 // of the slot in the table
	used        bool   // the slot is
	answered    bool
	started     bool  // some attempt has begun to run
	open        int32 // attempts without an outcome
	jobs        int32 // at servers
	deadline    int64 // virtual time in ns
	attempts    []attempt
}

// answer is how a request or a demand ended.
type answer uint8

const (
	served answer = iota
	refused
	failed
)

// String is the word for a trace.
func (a answer) String() string { return [...]string{"is served", "is refused", "fails"}[a] }

// nextArrival is the time of the next arrival, of one stream for all proxies.
func (s *Sim) nextArrival() int64 {
	rate := s.rate * s.burst
	if rate <= 0 {
		return s.now + int64(time.Second)
	}
	return s.now + int64(s.streams.arrivals.ExpFloat64()/rate*nsPerSecond)
}

// pickCumulative returns the index of the cumulative weight that x falls under; x is drawn from 0 to 1,
// whatever the sum of the weights is.
func pickCumulative(cumulative []float64, x float64) int32 {
	i, _ := slices.BinarySearch(cumulative, x*cumulative[len(cumulative)-1])
	return int32(min(i, len(cumulative)-1))
}

// arrival handles the next arrival of the stream, or the next burst of one proxy, and schedules the one after
// it.
func (s *Sim) arrival() {
	scenario := s.scenario
	if s.now > s.arrivalsEnd || scenario.Requests > 0 && s.arrived >= scenario.Requests {
		s.arrived = -1 // the stream is over
		return
	}
	// All random properties of the request are drawn here, so that policies meet the same requests.
	shape := s.streams.shape
	proxyIndex := pickCumulative(s.cumulativeLoad, shape.Float64())
	burst := 1
	if scenario.Load.Arrivals == arrivalsBursty {
		burst = max(1, int(scenario.Load.Burst+0.5))
	}
	gap := 0.0
	for i := range burst {
		demandIndex := s.newDemand(proxyIndex)
		if i == 0 {
			s.startClientAttempt(demandIndex)
		} else {
			mean := scenario.Load.BurstGap * s.meanService
			if mean == 0 {
				mean = s.proxies[proxyIndex].meanGap / float64(burst)
			}
			gap += shape.ExpFloat64() * mean
			s.inFlight++ // it is still to come, so the run is not over
			s.add(s.now+int64(gap), event{kind: evClientAttempt, target: demandIndex})
		}
	}
	next := s.nextArrival()
	if burst > 1 { // as many requests in all
		next = s.now + int64(float64(next-s.now)*float64(burst))
	}
	if s.arrived >= 0 {
		s.add(next, event{kind: evArrival})
	}
}

// newDemand draws a request of a proxy that arrives now, and returns its position in the table.
func (s *Sim) newDemand(proxyIndex int32) int32 {
	scenario, shape := s.scenario, s.streams.shape
	s.arrived++
	s.lastArrival = s.now
	drawn := demand{proxy: proxyIndex, class: pickCumulative(s.cumulativeFractions.class, shape.Float64()),
		number: int32(s.arrived), arrivedAt: s.now}
	if len(s.cumulativeFractions.tenant) > 0 {
		drawn.tenant = pickCumulative(s.cumulativeFractions.tenant, shape.Float64())
	}
	drawn.honorsRetryAfter = shape.Float64() < scenario.Clients.HonorRetryAfter
	if s.zipf != nil {
		drawn.key = s.zipf.Uint64()*goldenRatio64 + 1
	}
	class := &scenario.Classes[drawn.class]
	drawn.work = float64(class.Work) * s.workFactor()
	drawn.deadline = s.now + int64(forever)
	if class.Deadline > 0 {
		drawn.deadline = s.now + int64(class.Deadline)
	}
	drawn.value = class.Value
	// An application stops and starts with its proxy: what it would have sent meanwhile is not counted.
	isWarm := s.now >= int64(scenario.WarmUp) && s.arrived > scenario.WarmUpRequests
	drawn.counted = isWarm && s.proxies[proxyIndex].alive
	return s.allocDemand(drawn)
}

// The bounded Pareto distribution of work: exponent 2 from paretoMin on, so that its mean is 1, up to
// paretoMax.
const (
	paretoMin = 0.5
	paretoMax = 1000
)

// workFactor is a factor of mean 1 on the work of a class.
func (s *Sim) workFactor() float64 {
	random := s.streams.work
	switch s.scenario.Load.WorkDistribution {
	case distributionFixed:
		return 1
	case distributionUniform:
		return 1 + s.scenario.Load.WorkSpread*(2*random.Float64()-1)
	case distributionPareto:
		return min(paretoMin/math.Sqrt(1-random.Float64()), paretoMax)
	}
	return random.ExpFloat64()
}

// allocDemand puts a demand into a free slot of the table.
func (s *Sim) allocDemand(added demand) int32 {
	if n := len(s.free.demands); n > 0 {
		i := s.free.demands[n-1]
		s.free.demands = s.free.demands[:n-1]
		s.demands[i] = added
		return i
	}
	s.demands = append(s.demands, added)
	return int32(len(s.demands) - 1)
}

// startClientAttempt sends a demand to its proxy, again after the first time.
func (s *Sim) startClientAttempt(demandIndex int32) {
	demand := &s.demands[demandIndex]
	if demand.attempts == 0 {
		demand.arrivedAt = s.now
		if class := &s.scenario.Classes[demand.class]; class.Deadline > 0 {
			demand.deadline = s.now + int64(class.Deadline)
		}
	}
	if demand.attempts++; demand.attempts == 1 && demand.counted {
		s.tally.countArrival(s, demandIndex)
	}
	proxy := &s.proxies[demand.proxy]
	if !proxy.alive {
		s.attemptAnswered(demandIndex, failed, 0, true)
		return
	}
	requestIndex := s.allocRequest()
	req := &s.requests[requestIndex]
	*req = request{
		demand: demandIndex, proxy: demand.proxy, incarnation: proxy.incarnation,
		generation: req.generation + 1, used: true, attempts: req.attempts[:0],
	}
	demand.refs++
	req.deadline = demand.deadline
	if class := &s.scenario.Classes[demand.class]; class.Deadline > 0 {
		req.deadline = min(demand.deadline, s.now+int64(float64(class.Deadline)*s.scenario.Clients.TimeoutFraction))
		tooLate := req.deadline + int64(s.scenario.Rules.AnswerGrace) + 1
		s.add(tooLate, event{kind: evClientTimeout, target: requestIndex, stamp: uint64(req.generation)})
	}
	if s.inFlight++; s.inFlight > s.scenario.MaxInFlight {
		s.overflow = true
		return
	}
	s.monitor.record(s, "arrives", demand.number, -1)
	s.apply(demand.proxy, proxy.agent.Request(time.Duration(s.now), balance.Request{
		ID: s.requestID(requestIndex), Class: int(demand.class), Tenant: int(demand.tenant),
		Key: demand.key, HasKey: demand.key != 0, Deadline: time.Duration(req.deadline),
	}, s.actions[:0]))
}

// allocRequest returns a free slot of the table.
func (s *Sim) allocRequest() int32 {
	if n := len(s.free.requests); n > 0 {
		requestIndex := s.free.requests[n-1]
		s.free.requests = s.free.requests[:n-1]
		return requestIndex
	}
	s.requests = append(s.requests, request{})
	return int32(len(s.requests) - 1)
}

// clientTimeout is when a request should have been answered at the latest.
func (s *Sim) clientTimeout(requestIndex int32, generation uint64) {
	req := &s.requests[requestIndex]
	if !req.used || uint64(req.generation) != generation || req.answered {
		return
	}
	s.monitor.recordViolation(s, OneAnswer, s.demands[req.demand].number, -1)
	proxy := &s.proxies[req.proxy]
	id := s.requestID(requestIndex)
	s.answerRequest(requestIndex, failed, 0)
	if proxy.alive && proxy.incarnation == req.incarnation {
		s.apply(req.proxy, proxy.agent.ClientDisconnected(time.Duration(s.now), id, s.actions[:0]))
	}
}

// answerRequest gives a request its final answer; retryAfter is what a refusal asks the client to wait.
func (s *Sim) answerRequest(requestIndex int32, how answer, retryAfter time.Duration) {
	req := &s.requests[requestIndex]
	if req.answered {
		return
	}
	req.answered = true
	s.inFlight--
	demand := &s.demands[req.demand]
	if how == refused && s.scenario.Classes[demand.class].AtMostOnce && req.started {
		s.monitor.recordViolation(s, AtMostOnce, demand.number, -1) // a refusal says that a retry is safe
	}
	s.monitor.record(s, how.String(), demand.number, -1)
	s.attemptAnswered(req.demand, how, retryAfter, false)
	s.releaseRequest(requestIndex)
}

// attemptAnswered is the client's side of an answer: a retry, or the end of its demand. An unreachable proxy
// has begun nothing.
func (s *Sim) attemptAnswered(demandIndex int32, how answer, retryAfter time.Duration, unreachable bool) {
	demand := &s.demands[demandIndex]
	class := &s.scenario.Classes[demand.class]
	retries := how != served && int(demand.attempts) < s.scenario.Clients.MaxAttempts &&
		(how == refused || unreachable || !class.AtMostOnce)
	backoff := s.scenario.Clients.Backoff
	if how == refused && demand.honorsRetryAfter {
		backoff = max(backoff, retryAfter)
	}
	if at := s.now + int64(backoff); retries && at < demand.deadline {
		s.inFlight++
		s.add(max(at, s.now+1), event{kind: evClientAttempt, target: demandIndex})
		return
	}
	if demand.counted {
		s.tally.countAnswer(s, demand, how)
	}
	demand.done = true
	if demand.refs == 0 {
		s.free.demands = append(s.free.demands, demandIndex)
	}
}

// releaseRequest frees a request's slot once nothing refers to it.
func (s *Sim) releaseRequest(requestIndex int32) {
	req := &s.requests[requestIndex]
	if req.used && req.answered && req.open == 0 && req.jobs == 0 {
		req.used = false
		s.free.requests = append(s.free.requests, requestIndex)
		demand := &s.demands[req.demand]
		if demand.refs--; demand.refs == 0 && demand.done {
			s.free.demands = append(s.free.demands, req.demand)
		}
	}
}
