package proxysim

import (
	"math"
	"time"

	"cresshub/balance"
)

// server is one zone server.
type server struct {
	kind, hall, cores, incarnation int32
	speed                          float64
	up, unresponsive, draining     bool
	started                        int64 // 0 is long ago
	running                        []int32
	queue                          []int32 // jobs waiting, from head on
	head                           int
	conns                          int32 // connections
	pausedUntil                    int64
	probeWork                      float64 // work of probes not done yet

	overloadedSince, idleSince int64 // since then, 0 where not
	choked, everChoked         bool
	chokeSeq                   uint64 // stamp

	warmKeys  map[uint64]int64 // keys met, with when
	warmOrder []uint64         // keys in the order met
	warmNext  int

	reportedAt int64
	reported   [3]float64

	slowStartFrom int64 // of what reached it while cold
	slowStartWork float64
	collapsed     bool
}

func (v *server) queued() int   { return len(v.queue) - v.head }
func (v *server) inSystem() int { return len(v.running) + v.queued() }

// job is an attempt at a server.
type job struct {
	req, attempt, server, incarnation int32
	work, handshake                   float64 // ns on a core of speed 1; extra is its connection's
	key                               uint64
	doneAt                            int64
	generation                        uint32
	used, abandoned                   bool
}

func (s *Sim) allocJob(j job) int32 {
	j.used = true
	if n := len(s.free.jobs); n > 0 {
		i := s.free.jobs[n-1]
		s.free.jobs = s.free.jobs[:n-1]
		j.generation = s.jobs[i].generation + 1
		s.jobs[i] = j
		return i
	}
	s.jobs = append(s.jobs, j)
	return int32(len(s.jobs) - 1)
}

// finishJob gives a job's place back and has its attempt end so, after that time; never where it says
// nothing.
func (s *Sim) finishJob(ji int32, res balance.Result, delay int64, notify bool) {
	j := &s.jobs[ji]
	q := &s.requests[j.req]
	q.attempts[j.attempt].job = -1
	q.jobs--
	if notify {
		s.add(s.now+delay, evAttemptEnd, j.req, int32(res), uint64(q.generation)<<8|uint64(j.attempt))
	}
	j.used = false
	s.free.jobs = append(s.free.jobs, ji)
	s.releaseRequest(j.req)
}

// returnLatency is one way from a server to the proxy of a job.
func (s *Sim) returnLatency(j *job) int64 {
	return s.latency(s.servers[j.server].hall, s.proxies[s.requests[j.req].proxy].hall)
}

// arriveAtServer takes a request in at its server.
func (s *Sim) arriveAtServer(ji int32) {
	j := &s.jobs[ji]
	v := &s.servers[j.server]
	back := s.returnLatency(j)
	d := &s.demands[s.requests[j.req].demand]
	switch {
	case v.unresponsive:
		s.finishJob(ji, 0, 0, false)
		return
	case !v.up || v.incarnation != j.incarnation:
		s.finishJob(ji, balance.Reset, back, true)
		return
	}
	s.trackSlowStart(j.server, j.work+j.handshake, d.number)
	limit := s.scenario.Servers.QueueLimit
	if v.draining || v.collapsed || len(v.running) >= int(v.cores) && limit > 0 && v.queued() >= limit {
		s.tally.rejected++
		s.finishJob(ji, balance.Rejected, back, true)
		return
	}
	if len(v.running) < int(v.cores) {
		s.startJob(ji)
	} else {
		v.queue = append(v.queue, ji)
	}
	s.board.recordLoad(s, j.server)
	s.board.readOnAccess(s, s.requests[j.req].proxy)
	s.trackOverload(j.server)
}

// trackSlowStart sums up what reaches a cold server. Sent too much for too long, it falls over and stays
// down.
func (s *Sim) trackSlowStart(i int32, work float64, number int32) {
	v := &s.servers[i]
	c := s.slowStartFraction(v)
	if s.scenario.Rules.CollapseFactor <= 0 || c >= 1 || v.collapsed {
		return
	}
	after := int64(s.scenario.Rules.CollapseAfter)
	if s.now-v.slowStartFrom > after {
		v.slowStartFrom, v.slowStartWork = s.now, 0
	}
	v.slowStartWork += work
	can := c * float64(v.cores) * v.speed * float64(after)
	// a little slack for chance
	if v.slowStartWork > s.scenario.Rules.CollapseFactor*can+4*float64(v.cores)*work {
		v.collapsed = true
		s.monitor.recordViolation(s, SlowStartObeyed, number, i)
	}
}

// slowStartFraction is the part of its capacity that a server has now.
func (s *Sim) slowStartFraction(v *server) float64 {
	o := &s.scenario.Servers
	if o.SlowStartMin >= 1 || v.started == 0 || o.SlowStartWindow <= 0 {
		return 1
	}
	return min(1, o.SlowStartMin+(1-o.SlowStartMin)*float64(s.now-v.started)/float64(o.SlowStartWindow))
}

// startJob puts a job on a core.
func (s *Sim) startJob(ji int32) {
	j := &s.jobs[ji]
	v := &s.servers[j.server]
	q := &s.requests[j.req]
	d := &s.demands[q.demand]
	s.monitor.record(s, "runs", d.number, j.server)
	if d.starts++; d.starts > 1 && s.scenario.Classes[d.class].AtMostOnce {
		s.monitor.recordViolation(s, AtMostOnce, d.number, j.server)
	}
	q.started = true
	work := j.work
	if s.touchKey(v, j.key) {
		work *= s.scenario.Servers.WarmKeyWork
	}
	took := (work + j.handshake + v.probeWork) / (v.speed * s.slowStartFraction(v))
	v.probeWork = 0
	if v.choked {
		took *= s.scenario.Servers.ChokeFactor
	}
	j.doneAt = max(s.now, v.pausedUntil) + int64(took)
	v.running = append(v.running, ji)
	s.add(j.doneAt, evJobDone, ji, v.incarnation, uint64(j.generation))
}

// touchKey tells whether a key is warm and remembers it; who was met longest ago is forgotten first.
func (s *Sim) touchKey(v *server, key uint64) bool {
	o := &s.scenario.Servers
	if o.WarmKeyTTL <= 0 || key == 0 {
		return false
	}
	if v.warmKeys == nil {
		v.warmKeys, v.warmOrder = make(map[uint64]int64, o.MaxWarmKeys), make([]uint64, o.MaxWarmKeys)
	}
	at, met := v.warmKeys[key]
	if !met {
		if old := v.warmOrder[v.warmNext]; old != 0 {
			delete(v.warmKeys, old)
		}
		v.warmOrder[v.warmNext] = key
		v.warmNext = (v.warmNext + 1) % len(v.warmOrder)
	}
	v.warmKeys[key] = s.now
	return met && s.now-at <= int64(o.WarmKeyTTL)
}

// jobDone ends a job on its core and gives the core to the next.
func (s *Sim) jobDone(ji, life int32, stamp uint64) {
	j := &s.jobs[ji]
	if !j.used || uint64(j.generation) != stamp {
		return
	}
	i := j.server
	v := &s.servers[i]
	if v.incarnation != life {
		return
	}
	if v.pausedUntil > s.now { // it stood still meanwhile: what is left is done after that
		j.doneAt = max(j.doneAt, v.pausedUntil)
	}
	if j.doneAt > s.now {
		s.add(j.doneAt, evJobDone, ji, life, stamp)
		return
	}
	for n, r := range v.running {
		if r == ji {
			v.running[n] = v.running[len(v.running)-1]
			v.running = v.running[:len(v.running)-1]
			break
		}
	}
	if j.abandoned {
		s.tally.wasted += j.work
	}
	s.finishJob(ji, balance.Done, s.returnLatency(j), !v.unresponsive)
	for v.queued() > 0 && len(v.running) < int(v.cores) {
		next := v.queue[v.head]
		if v.head++; v.head > 64 && 2*v.head > len(v.queue) {
			v.queue = v.queue[:copy(v.queue, v.queue[v.head:])]
			v.head = 0
		}
		if s.jobs[next].abandoned && s.scenario.Servers.DropsAbandoned {
			s.finishJob(next, 0, 0, false)
			continue
		}
		s.startJob(next)
	}
	s.board.recordLoad(s, i)
	s.trackOverload(i)
}

// trackOverload follows whether a server is crowded or idle, and chokes it or frees it when that has lasted.
func (s *Sim) trackOverload(i int32) {
	o := &s.scenario.Servers
	v := &s.servers[i]
	if o.ChokeQueue <= 0 {
		return
	}
	if float64(v.queued()) > o.ChokeQueue*float64(v.cores) {
		if v.overloadedSince == 0 && !v.choked {
			v.overloadedSince = s.now
			v.chokeSeq++
			s.add(s.now+int64(o.ChokeAfter), evChoke, i, 0, v.chokeSeq)
		}
	} else {
		v.overloadedSince = 0
	}
	if idle := v.inSystem()*2 <= int(v.cores); !idle {
		v.idleSince = 0
	} else if v.choked && v.idleSince == 0 {
		v.idleSince = s.now
		s.add(s.now+int64(o.ChokeIdle), evChoke, i, 1, uint64(s.now))
	}
}

// updateChoke begins it where the crowd has lasted, and ends it where the idleness has, or after its time.
func (s *Sim) updateChoke(i int32, ends bool, stamp uint64) {
	v := &s.servers[i]
	switch {
	case ends && v.choked && (uint64(v.idleSince) == stamp && v.idleSince != 0 || stamp == v.chokeSeq<<1|1<<63):
		v.choked, v.overloadedSince, v.idleSince = false, 0, 0
		s.trackOverload(i)
	case !ends && !v.choked && v.overloadedSince != 0 && v.chokeSeq == stamp:
		v.choked, v.everChoked = true, true
		s.add(s.now+int64(s.scenario.Servers.MaxChoke), evChoke, i, 1, v.chokeSeq<<1|1<<63)
	}
}

// idleConns is the idle connections of a proxy to a server: when each was parked, the last at the end.
type idleConns struct{ parkedAt []int64 }

func (s *Sim) idleConnsOf(i, to int32) *idleConns {
	return &s.idleConns[int(i)*s.registry.maxServers+int(to)]
}

// reuseConn takes the connection parked last.
func (s *Sim) reuseConn(i, to int32) bool {
	p := s.idleConnsOf(i, to)
	if len(p.parkedAt) == 0 || !s.servers[to].up {
		return false
	}
	p.parkedAt = p.parkedAt[:len(p.parkedAt)-1]
	return true
}

// parkConn keeps a connection for the next attempt, or closes it.
func (s *Sim) parkConn(i, to int32, again bool) {
	if !again {
		s.servers[to].conns--
		return
	}
	p := s.idleConnsOf(i, to)
	p.parkedAt = append(p.parkedAt, s.now)
	s.add(s.now+int64(s.scenario.Network.IdleTimeout), evIdleTimeout, i, to, 0)
}

// closeIdleConns closes connections that have rested too long.
func (s *Sim) closeIdleConns(i, to int32) {
	p := s.idleConnsOf(i, to)
	n := 0
	for n < len(p.parkedAt) && p.parkedAt[n] <= s.now-int64(s.scenario.Network.IdleTimeout) {
		n++
	}
	if n > 0 {
		p.parkedAt = p.parkedAt[:copy(p.parkedAt, p.parkedAt[n:])]
		s.servers[to].conns -= int32(n)
	}
}

// probeAnswer is one on its way back.
type probeAnswer struct {
	server, incarnation int32
	sent                int64
	res                 balance.Result
	report              [3]float64
}

// probeServer is at its server. Under a model of the literature it is told what the board says.
func (s *Sim) probeServer(to, i, life int32) {
	v := &s.servers[to]
	p := &s.proxies[i]
	way := s.latency(v.hall, p.hall)
	a := probeAnswer{server: to, incarnation: life, sent: s.now - way}
	after := way
	switch {
	case v.unresponsive:
		a.res, after = balance.TimedOut, int64(s.scenario.Network.DialTimeout)
	case !v.up:
		a.res = balance.ConnRefused
	default:
		v.probeWork += float64(s.scenario.Reports.ProbeWork)
		if a.report = s.loadReport(v); s.scenario.Reports.Model != "probe" {
			a.report[0] = s.board.load(s, i, to)
			a.report[1] = max(a.report[0]-float64(v.cores), 0)
		}
	}
	n := int32(len(s.answers))
	if k := len(s.free.answers); k > 0 {
		n = s.free.answers[k-1]
		s.free.answers = s.free.answers[:k-1]
		s.answers[n] = a
	} else {
		s.answers = append(s.answers, a)
	}
	s.add(s.now+after, evProbeAnswer, n, i, 0)
}

// loadReport is what a server says of its load: made anew now and then, a little wrong.
func (s *Sim) loadReport(v *server) [3]float64 {
	if refresh := int64(s.scenario.Reports.Refresh); v.reportedAt == 0 || s.now-v.reportedAt >= refresh {
		v.reportedAt = max(s.now, 1)
		noise := func(x float64) float64 {
			if s.scenario.Reports.Noise > 0 {
				x *= 1 + s.scenario.Reports.Noise*(2*s.streams.reports.Float64()-1)
			}
			return math.Round(x)
		}
		v.reported = [3]float64{noise(float64(v.inSystem())), noise(float64(v.queued())),
			float64(len(v.running)) / float64(v.cores)}
	}
	return v.reported
}

func (s *Sim) probeAnswered(n, i int32) {
	a := s.answers[n]
	s.free.answers = append(s.free.answers, n)
	p := &s.proxies[i]
	if !p.alive || p.incarnation != a.incarnation {
		return
	}
	var row []float64
	if a.res == balance.Done {
		row = a.report[:]
	}
	s.apply(i, p.agent.Probed(time.Duration(s.now), balance.ProbeResult{
		Server: balance.ServerID(a.server + 1), Result: a.res, Latency: time.Duration(s.now - a.sent), Report: row,
	}, s.actions[:0]))
}
