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
	tries                int32
	runs                 int32 // times that it began to run
	refs                 int32 // requests that are of it
	done                 bool
	key                  uint64
	work                 float64 // ns on a core of speed 1
	at, deadline         int64
	worth                float64
	honours              bool
	counted              bool // arrived after the warm-up
}

// request is one try at a proxy.
type request struct {
	demand   int32
	proxy    int32
	life     int32 // of the proxy
	gen      uint32
	used     bool
	over     bool
	ran      bool // some attempt has begun to run
	out      int32
	jobs     int32 // at servers
	at       int64
	deadline int64
	attempts []attempt
}

type attempt struct {
	server int32
	job    int32
	sent   int64
	until  int64
	out    bool
	conn   bool // holds a connection
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
	rate := s.rate * s.surge
	if rate <= 0 {
		return s.now + int64(time.Second)
	}
	return s.now + int64(s.streams.arrivals.ExpFloat64()/rate*1e9)
}

// pick draws a position from cumulated shares.
func pick(cum []float64, x float64) int32 {
	i, _ := slices.BinarySearch(cum, x*cum[len(cum)-1])
	return int32(min(i, len(cum)-1))
}

func (s *Sim) arrival() {
	sc := s.sc
	if s.now > s.ends || sc.Requests > 0 && s.arrived >= sc.Requests {
		s.arrived = -1 // the stream is over
		return
	}
	// Everything about the request is drawn here, whatever becomes of it.
	sh := s.streams.shape
	who := pick(s.cum, sh.Float64())
	n := 1
	if sc.Load.Arrivals == "bursty" {
		n = max(1, int(sc.Load.Burst+0.5))
	}
	gap := 0.0
	for i := range n {
		d := s.newDemand(who)
		if i == 0 {
			s.try(d)
		} else {
			mean := sc.Load.Gap * s.serv
			if mean == 0 {
				mean = s.proxies[who].gap / float64(n)
			}
			gap += sh.ExpFloat64() * mean
			s.held++ // it will come, so the day is not over
			s.add(s.now+int64(gap), evTry, d, 1, 0)
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

func (s *Sim) newDemand(who int32) int32 {
	sc, sh := s.sc, s.streams.shape
	s.arrived++
	s.last = s.now
	d := demand{proxy: who, class: pick(s.cum2.class, sh.Float64()), number: int32(s.arrived), at: s.now}
	if len(s.cum2.tenant) > 0 {
		d.tenant = pick(s.cum2.tenant, sh.Float64())
	}
	d.honours = sh.Float64() < sc.Clients.Honour
	if s.zipf != nil {
		d.key = s.zipf.Uint64()*0x9e3779b97f4a7c15 + 1
	}
	c := &sc.Classes[d.class]
	d.work = float64(c.Work) * s.draw()
	d.deadline = s.now + int64(forever)
	if c.Deadline > 0 {
		d.deadline = s.now + int64(c.Deadline)
	}
	d.worth = c.Worth
	// An application stops and starts with its proxy: what it would have sent meanwhile is not asked for.
	d.counted = s.now >= int64(sc.WarmUp) && s.arrived > sc.WarmN && s.proxies[who].alive
	return s.takeDemand(d)
}

// draw is a factor of mean 1 on the work of a class.
func (s *Sim) draw() float64 {
	w := s.streams.work
	switch s.sc.Load.Work {
	case "fixed":
		return 1
	case "uniform":
		return 1 + s.sc.Load.Spread*(2*w.Float64()-1)
	case "pareto": // bounded from 0.5 on with exponent 2: mean 1
		return min(0.5/math.Sqrt(1-w.Float64()), 1000)
	}
	return w.ExpFloat64()
}

func (s *Sim) takeDemand(d demand) int32 {
	if n := len(s.free.demands); n > 0 {
		i := s.free.demands[n-1]
		s.free.demands = s.free.demands[:n-1]
		s.demands[i] = d
		return i
	}
	s.demands = append(s.demands, d)
	return int32(len(s.demands) - 1)
}

// try sends a demand to its proxy once more.
func (s *Sim) try(di int32) {
	d := &s.demands[di]
	if d.tries == 0 {
		d.at = s.now
		if c := &s.sc.Classes[d.class]; c.Deadline > 0 {
			d.deadline = s.now + int64(c.Deadline)
		}
	}
	if d.tries++; d.tries == 1 && d.counted {
		s.tally.asked(s, di)
	}
	p := &s.proxies[d.proxy]
	if !p.alive { // its application went with it, or finds nobody
		s.over(di, failed, 0, true)
		return
	}
	var r int32
	if n := len(s.free.reqs); n > 0 {
		r = s.free.reqs[n-1]
		s.free.reqs = s.free.reqs[:n-1]
	} else {
		s.reqs = append(s.reqs, request{})
		r = int32(len(s.reqs) - 1)
	}
	q := &s.reqs[r]
	*q = request{demand: di, proxy: d.proxy, life: p.life, gen: q.gen + 1, used: true, at: s.now,
		attempts: q.attempts[:0]}
	d.refs++
	q.deadline = d.deadline
	if c := &s.sc.Classes[d.class]; c.Deadline > 0 {
		q.deadline = min(d.deadline, s.now+int64(float64(c.Deadline)*s.sc.Clients.GiveUp))
		s.add(q.deadline+int64(s.sc.Rules.Slack)+1, evTryEnd, r, 0, uint64(q.gen))
	}
	if s.held++; s.held > s.sc.MostHeld {
		s.overflow = true
		return
	}
	s.monitor.note(s, "arrives", d.number, -1)
	s.do(d.proxy, p.agent.Request(time.Duration(s.now), balance.Request{
		ID: s.name(r), Class: int(d.class), Tenant: int(d.tenant), Key: d.key, HasKey: d.key != 0,
		Deadline: time.Duration(q.deadline),
	}, s.acts[:0]))
}

// tryEnd comes when a try should long have been answered.
func (s *Sim) tryEnd(r int32, gen uint64) {
	q := &s.reqs[r]
	if !q.used || uint64(q.gen) != gen || q.over {
		return
	}
	s.monitor.broken(s, OneAnswer, s.demands[q.demand].number, -1)
	p := &s.proxies[q.proxy]
	id := s.name(r)
	s.answer(r, failed, 0)
	if p.alive && p.life == q.life {
		s.do(q.proxy, p.agent.ClientGone(time.Duration(s.now), id, s.acts[:0]))
	}
}

// answer gives a try its final answer.
func (s *Sim) answer(r int32, how int, wait time.Duration) {
	q := &s.reqs[r]
	if q.over {
		return
	}
	q.over = true
	s.held--
	d := &s.demands[q.demand]
	if how == refused && s.sc.Classes[d.class].Unsafe && q.ran {
		s.monitor.broken(s, NeverTwice, d.number, -1) // it says that trying again is harmless
	}
	s.monitor.note(s, [...]string{"is served", "is refused", "fails"}[how], d.number, -1)
	s.over(q.demand, how, wait, false)
	s.release(r)
}

// over is the client's side of an answer: another try, or the end of its request.
func (s *Sim) over(di int32, how int, wait time.Duration, unreachable bool) {
	d := &s.demands[di]
	c := &s.sc.Classes[d.class]
	again := how != served && int(d.tries) < s.sc.Clients.Tries &&
		(how == refused || unreachable || !c.Unsafe)
	pause := s.sc.Clients.Wait
	if how == refused && d.honours {
		pause = max(pause, wait)
	}
	if at := s.now + int64(pause); again && at < d.deadline {
		s.held++
		s.add(max(at, s.now+1), evTry, di, 0, 0)
		return
	}
	if d.counted {
		s.tally.ended(s, d, how)
	}
	d.done = true
	if d.refs == 0 {
		s.free.demands = append(s.free.demands, di)
	}
}

// release gives a request's place back once nothing refers to it.
func (s *Sim) release(r int32) {
	q := &s.reqs[r]
	if q.used && q.over && q.out == 0 && q.jobs == 0 {
		q.used = false
		s.free.reqs = append(s.free.reqs, r)
		d := &s.demands[q.demand]
		if d.refs--; d.refs == 0 && d.done {
			s.free.demands = append(s.free.demands, q.demand)
		}
	}
}

// send starts an attempt.
func (s *Sim) send(r, to int32, wait int64) {
	q := &s.reqs[r]
	d := &s.demands[q.demand]
	n := len(q.attempts)
	until := q.deadline
	if wait > 0 {
		until = min(until, s.now+wait)
	}
	q.attempts = append(q.attempts, attempt{server: to, job: -1, sent: s.now, until: until, out: true})
	q.out++
	c := uint64(q.gen)<<8 | uint64(n)
	p, sv := &s.proxies[q.proxy], &s.servers[to]
	if q.over || n >= s.sc.Rules.Attempts || until < s.now {
		s.add(s.now, evOutcome, r, int32(balance.Skipped), c)
		return
	}
	s.monitor.sent(s, q, to, d)
	s.tally.sent(s, d, p.hall != sv.hall)
	way := s.latency(p.hall, sv.hall)
	handshake := 0.0
	if !s.reuse(q.proxy, to) {
		switch {
		case sv.silent:
			s.add(min(s.now+int64(s.sc.Network.Dial), until), evOutcome, r, int32(balance.ConnRefused), c)
			return
		case !sv.up || s.sc.Servers.Conns > 0 && int(sv.open) >= s.sc.Servers.Conns:
			s.add(s.now+2*way, evOutcome, r, int32(balance.ConnRefused), c)
			return
		}
		s.tally.handshakes++
		sv.open++
		handshake = float64(s.sc.Servers.Handshake)
		way += 2 * s.latency(p.hall, sv.hall)
	}
	q.attempts[n].conn = true
	j := s.takeJob(job{req: r, attempt: int32(n), server: to, life: sv.life, work: d.work, extra: handshake,
		key: d.key})
	q.attempts[n].job = j
	q.jobs++
	s.add(s.now+way, evArrive, j, 0, 0)
	if s.sc.Classes[d.class].Deadline > 0 || wait > 0 {
		s.add(until, evOutcome, r, int32(balance.TimedOut), c)
	}
}

// cancel gives an attempt up.
func (s *Sim) cancel(r int32, n int) {
	q := &s.reqs[r]
	if n < len(q.attempts) && q.attempts[n].out {
		s.add(s.now, evOutcome, r, int32(balance.Cancelled), uint64(q.gen)<<8|uint64(n))
	}
}

// outcome ends an attempt at its proxy. The first that comes counts.
func (s *Sim) outcome(r int32, res balance.Result, c uint64) {
	q := &s.reqs[r]
	n := int(c & 255)
	if !q.used || uint64(q.gen) != c>>8 || !q.attempts[n].out {
		return
	}
	a := &q.attempts[n]
	a.out = false
	q.out--
	i := q.proxy
	p := &s.proxies[i]
	if a.conn {
		s.park(i, a.server, res == balance.Done || res == balance.Rejected || res == balance.Error)
	}
	if a.job >= 0 && (res == balance.TimedOut || res == balance.Cancelled) {
		s.jobs[a.job].abandoned = true
	}
	if !p.alive || p.life != q.life {
		s.release(r)
		return
	}
	wins := res == balance.Done && !q.over
	if res == balance.Done && !wins {
		s.tally.wasted += s.demands[q.demand].work
	}
	id, server, sent := s.name(r), a.server, a.sent
	s.monitor.note(s, resultNames[res], s.demands[q.demand].number, server)
	if wins {
		s.answer(r, served, 0)
	} else {
		s.release(r)
	}
	over := wins || !s.reqs[r].used || s.reqs[r].over
	s.do(i, p.agent.Outcome(time.Duration(s.now), balance.Outcome{
		ID: id, Attempt: n, Server: balance.ServerID(server + 1), Result: res, Final: over,
		Latency: time.Duration(s.now - sent),
	}, s.acts[:0]))
}

var resultNames = [...]string{
	"done", "error", "turned away", "timed out", "no connection", "reset", "cancelled", "not sent",
}
