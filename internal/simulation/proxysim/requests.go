package proxysim

import (
	"math"
	"slices"
	"time"

	"cresshub/balance"
)

// demand is what a client wants: one request with all its tries.
type demand struct {
	class, tenant, proxy int32
	number               int32 // from 1, in order of arrival
	attempts             int32
	starts               int32 // times that it began to run
	refs                 int32 // requests that are of it
	done                 bool
	key                  uint64
	work                 float64 // ns on a core of speed 1
	arrivedAt, deadline  int64
	value                float64
	honorsRetryAfter     bool
	counted              bool // arrived after the warm-up
}

// request is one try at a proxy.
type request struct {
	demand      int32
	proxy       int32
	incarnation int32 // of the proxy
	generation  uint32
	used        bool
	answered    bool
	started     bool // some attempt has begun to run
	open        int32
	jobs        int32 // at servers
	at          int64
	deadline    int64
	attempts    []attempt
}

type attempt struct {
	server  int32
	job     int32
	sent    int64
	until   int64
	open    bool
	hasConn bool // holds a connection
}

// what became of a try or a demand
const (
	served = iota
	refused
	failed
)

// nextArrival is when the next request of the stream comes: the stream is one, whatever the number of
// proxies.
func (s *Sim) nextArrival() int64 {
	rate := s.rate * s.burst
	if rate <= 0 {
		return s.now + int64(time.Second)
	}
	return s.now + int64(s.streams.arrivals.ExpFloat64()/rate*1e9)
}

// pickCumulative draws a position from cumulated shares.
func pickCumulative(cum []float64, x float64) int32 {
	i, _ := slices.BinarySearch(cum, x*cum[len(cum)-1])
	return int32(min(i, len(cum)-1))
}

func (s *Sim) arrival() {
	sc := s.scenario
	if s.now > s.arrivalsEnd || sc.Requests > 0 && s.arrived >= sc.Requests {
		s.arrived = -1 // the stream is over
		return
	}
	// Everything about the request is drawn here, whatever becomes of it.
	shape := s.streams.shape
	proxyIndex := pickCumulative(s.proxyCum, shape.Float64())
	n := 1
	if sc.Load.Arrivals == "bursty" {
		n = max(1, int(sc.Load.Burst+0.5))
	}
	gap := 0.0
	for i := range n {
		d := s.newDemand(proxyIndex)
		if i == 0 {
			s.startClientAttempt(d)
		} else {
			mean := sc.Load.BurstGap * s.meanService
			if mean == 0 {
				mean = s.proxies[proxyIndex].meanGap / float64(n)
			}
			gap += shape.ExpFloat64() * mean
			s.inFlight++ // it will come, so the day is not over
			s.add(s.now+int64(gap), evClientAttempt, d, 1, 0)
		}
	}
	next := s.nextArrival()
	if n > 1 { // as many requests in all
		next = s.now + int64(float64(next-s.now)*float64(n))
	}
	if s.arrived >= 0 {
		s.add(next, evArrival, 0, 0, 0)
	}
}

func (s *Sim) newDemand(proxyIndex int32) int32 {
	sc, shape := s.scenario, s.streams.shape
	s.arrived++
	s.lastArrival = s.now
	d := demand{proxy: proxyIndex, class: pickCumulative(s.shareCum.class, shape.Float64()),
		number: int32(s.arrived), arrivedAt: s.now}
	if len(s.shareCum.tenant) > 0 {
		d.tenant = pickCumulative(s.shareCum.tenant, shape.Float64())
	}
	d.honorsRetryAfter = shape.Float64() < sc.Clients.HonorRetryAfter
	if s.zipf != nil {
		d.key = s.zipf.Uint64()*0x9e3779b97f4a7c15 + 1
	}
	c := &sc.Classes[d.class]
	d.work = float64(c.Work) * s.workFactor()
	d.deadline = s.now + int64(forever)
	if c.Deadline > 0 {
		d.deadline = s.now + int64(c.Deadline)
	}
	d.value = c.Value
	// An application stops and starts with its proxy: what it would have sent meanwhile is not asked for.
	d.counted = s.now >= int64(sc.WarmUp) && s.arrived > sc.WarmUpRequests && s.proxies[proxyIndex].alive
	return s.allocDemand(d)
}

// workFactor is a factor of mean 1 on the work of a class.
func (s *Sim) workFactor() float64 {
	w := s.streams.work
	switch s.scenario.Load.WorkDistribution {
	case "fixed":
		return 1
	case "uniform":
		return 1 + s.scenario.Load.WorkSpread*(2*w.Float64()-1)
	case "pareto": // bounded from 0.5 on with exponent 2: mean 1
		return min(0.5/math.Sqrt(1-w.Float64()), 1000)
	}
	return w.ExpFloat64()
}

func (s *Sim) allocDemand(d demand) int32 {
	if n := len(s.free.demands); n > 0 {
		i := s.free.demands[n-1]
		s.free.demands = s.free.demands[:n-1]
		s.demands[i] = d
		return i
	}
	s.demands = append(s.demands, d)
	return int32(len(s.demands) - 1)
}

// startClientAttempt sends a demand to its proxy once more.
func (s *Sim) startClientAttempt(di int32) {
	d := &s.demands[di]
	if d.attempts == 0 {
		d.arrivedAt = s.now
		if c := &s.scenario.Classes[d.class]; c.Deadline > 0 {
			d.deadline = s.now + int64(c.Deadline)
		}
	}
	if d.attempts++; d.attempts == 1 && d.counted {
		s.tally.countArrival(s, di)
	}
	p := &s.proxies[d.proxy]
	if !p.alive { // its application went with it, or finds nobody
		s.attemptAnswered(di, failed, 0, true)
		return
	}
	var r int32
	if n := len(s.free.requests); n > 0 {
		r = s.free.requests[n-1]
		s.free.requests = s.free.requests[:n-1]
	} else {
		s.requests = append(s.requests, request{})
		r = int32(len(s.requests) - 1)
	}
	q := &s.requests[r]
	*q = request{demand: di, proxy: d.proxy, incarnation: p.incarnation, generation: q.generation + 1,
		used: true, at: s.now,
		attempts: q.attempts[:0]}
	d.refs++
	q.deadline = d.deadline
	if c := &s.scenario.Classes[d.class]; c.Deadline > 0 {
		q.deadline = min(d.deadline, s.now+int64(float64(c.Deadline)*s.scenario.Clients.TimeoutFraction))
		s.add(q.deadline+int64(s.scenario.Rules.AnswerGrace)+1, evClientTimeout, r, 0, uint64(q.generation))
	}
	if s.inFlight++; s.inFlight > s.scenario.MaxInFlight {
		s.overflow = true
		return
	}
	s.monitor.record(s, "arrives", d.number, -1)
	s.apply(d.proxy, p.agent.Request(time.Duration(s.now), balance.Request{
		ID: s.requestID(r), Class: int(d.class), Tenant: int(d.tenant), Key: d.key, HasKey: d.key != 0,
		Deadline: time.Duration(q.deadline),
	}, s.actions[:0]))
}

// clientTimeout comes when a try should long have been answered.
func (s *Sim) clientTimeout(r int32, gen uint64) {
	q := &s.requests[r]
	if !q.used || uint64(q.generation) != gen || q.answered {
		return
	}
	s.monitor.recordViolation(s, OneAnswer, s.demands[q.demand].number, -1)
	p := &s.proxies[q.proxy]
	id := s.requestID(r)
	s.answerRequest(r, failed, 0)
	if p.alive && p.incarnation == q.incarnation {
		s.apply(q.proxy, p.agent.ClientGone(time.Duration(s.now), id, s.actions[:0]))
	}
}

// answerRequest gives a try its final answer.
func (s *Sim) answerRequest(r int32, how int, wait time.Duration) {
	q := &s.requests[r]
	if q.answered {
		return
	}
	q.answered = true
	s.inFlight--
	d := &s.demands[q.demand]
	if how == refused && s.scenario.Classes[d.class].AtMostOnce && q.started {
		s.monitor.recordViolation(s, AtMostOnce, d.number, -1) // it says that trying again is harmless
	}
	s.monitor.record(s, [...]string{"is served", "is refused", "fails"}[how], d.number, -1)
	s.attemptAnswered(q.demand, how, wait, false)
	s.releaseRequest(r)
}

// attemptAnswered is the client's side of an answer: another try, or the end of its request.
func (s *Sim) attemptAnswered(di int32, how int, wait time.Duration, unreachable bool) {
	d := &s.demands[di]
	c := &s.scenario.Classes[d.class]
	again := how != served && int(d.attempts) < s.scenario.Clients.MaxAttempts &&
		(how == refused || unreachable || !c.AtMostOnce)
	pause := s.scenario.Clients.Backoff
	if how == refused && d.honorsRetryAfter {
		pause = max(pause, wait)
	}
	if at := s.now + int64(pause); again && at < d.deadline {
		s.inFlight++
		s.add(max(at, s.now+1), evClientAttempt, di, 0, 0)
		return
	}
	if d.counted {
		s.tally.countAnswer(s, d, how)
	}
	d.done = true
	if d.refs == 0 {
		s.free.demands = append(s.free.demands, di)
	}
}

// releaseRequest gives a request's place back once nothing refers to it.
func (s *Sim) releaseRequest(r int32) {
	q := &s.requests[r]
	if q.used && q.answered && q.open == 0 && q.jobs == 0 {
		q.used = false
		s.free.requests = append(s.free.requests, r)
		d := &s.demands[q.demand]
		if d.refs--; d.refs == 0 && d.done {
			s.free.demands = append(s.free.demands, q.demand)
		}
	}
}

// startAttempt starts an attempt.
func (s *Sim) startAttempt(r, to int32, wait int64) {
	q := &s.requests[r]
	d := &s.demands[q.demand]
	n := len(q.attempts)
	until := q.deadline
	if wait > 0 {
		until = min(until, s.now+wait)
	}
	q.attempts = append(q.attempts, attempt{server: to, job: -1, sent: s.now, until: until, open: true})
	q.open++
	c := uint64(q.generation)<<8 | uint64(n)
	p, sv := &s.proxies[q.proxy], &s.servers[to]
	if q.answered || n >= s.scenario.Rules.MaxAttempts || until < s.now {
		s.add(s.now, evAttemptEnd, r, int32(balance.Skipped), c)
		return
	}
	s.monitor.checkSend(s, q, to, d)
	s.tally.countAttempt(s, d, p.hall != sv.hall)
	way := s.latency(p.hall, sv.hall)
	handshake := 0.0
	if !s.reuseConn(q.proxy, to) {
		switch {
		case sv.unresponsive:
			s.add(min(s.now+int64(s.scenario.Network.DialTimeout), until), evAttemptEnd, r,
				int32(balance.ConnRefused), c)
			return
		case !sv.up || s.scenario.Servers.MaxConns > 0 && int(sv.conns) >= s.scenario.Servers.MaxConns:
			s.add(s.now+2*way, evAttemptEnd, r, int32(balance.ConnRefused), c)
			return
		}
		s.tally.handshakes++
		sv.conns++
		handshake = float64(s.scenario.Servers.HandshakeWork)
		way += 2 * s.latency(p.hall, sv.hall)
	}
	q.attempts[n].hasConn = true
	j := s.allocJob(job{req: r, attempt: int32(n), server: to, incarnation: sv.incarnation, work: d.work,
		handshake: handshake,
		key:       d.key})
	q.attempts[n].job = j
	q.jobs++
	s.add(s.now+way, evServerArrival, j, 0, 0)
	if s.scenario.Classes[d.class].Deadline > 0 || wait > 0 {
		s.add(until, evAttemptEnd, r, int32(balance.TimedOut), c)
	}
}

// cancelAttempt gives an attempt up.
func (s *Sim) cancelAttempt(r int32, n int) {
	q := &s.requests[r]
	if n < len(q.attempts) && q.attempts[n].open {
		s.add(s.now, evAttemptEnd, r, int32(balance.Cancelled), uint64(q.generation)<<8|uint64(n))
	}
}

// attemptEnded ends an attempt at its proxy. The first that comes counts.
func (s *Sim) attemptEnded(r int32, res balance.Result, c uint64) {
	q := &s.requests[r]
	n := int(c & 255)
	if !q.used || uint64(q.generation) != c>>8 || !q.attempts[n].open {
		return
	}
	a := &q.attempts[n]
	a.open = false
	q.open--
	i := q.proxy
	p := &s.proxies[i]
	if a.hasConn {
		s.parkConn(i, a.server, res == balance.Done || res == balance.Rejected || res == balance.Error)
	}
	if a.job >= 0 && (res == balance.TimedOut || res == balance.Cancelled) {
		s.jobs[a.job].abandoned = true
	}
	if !p.alive || p.incarnation != q.incarnation {
		s.releaseRequest(r)
		return
	}
	wins := res == balance.Done && !q.answered
	if res == balance.Done && !wins {
		s.tally.wasted += s.demands[q.demand].work
	}
	id, server, sent := s.requestID(r), a.server, a.sent
	s.monitor.record(s, resultNames[res], s.demands[q.demand].number, server)
	if wins {
		s.answerRequest(r, served, 0)
	} else {
		s.releaseRequest(r)
	}
	over := wins || !s.requests[r].used || s.requests[r].answered
	s.apply(i, p.agent.Outcome(time.Duration(s.now), balance.Outcome{
		ID: id, Attempt: n, Server: balance.ServerID(server + 1), Result: res, Final: over,
		Latency: time.Duration(s.now - sent),
	}, s.actions[:0]))
}

var resultNames = [...]string{
	"done", "error", "turned away", "timed out", "no connection", "reset", "cancelled", "not sent",
}
