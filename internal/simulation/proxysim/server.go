package proxysim

import "cresshub/balance"

// server is one zone server.
type server struct {
	kind, hall, cores, incarnation int32
	speed                          float64
	up, unresponsive, draining     bool
	started                        int64 // 0 is long ago
	running                        []int32
	queue                          []int32 // waiting jobs, from head on
	head                           int
	conns                          int32 // open connections
	pausedUntil                    int64
	probeWork                      float64 // work of probes that is not done yet, ns on a core of speed 1

	overloadedSince, idleSince int64 // 0 where it isn't
	choked, everChoked         bool
	chokeSeq                   uint64 // identifies the overload in events

	warmKeys  map[uint64]int64 // time of the last request, by key
	warmOrder []uint64         // ring of the keys in order of their first request
	warmNext  int              // position of the oldest

	reportedAt int64
	reported   [3]float64

	slowStartFrom int64   // begin of the current window of slow start
	slowStartWork float64 // that arrived in it, ns on a core of speed 1
	collapsed     bool    // by overload in slow start
}

// queued is the number of waiting jobs.
func (v *server) queued() int { return len(v.queue) - v.head }

// inSystem is the number of running and waiting jobs, the server's load.
func (v *server) inSystem() int { return len(v.running) + v.queued() }

// job is an attempt at a server.
type job struct {
	req, attempt, server, incarnation int32
	work, handshake                   float64 // ns on a core of speed 1
	key                               uint64
	doneAt                            int64
	generation                        uint32
	used, abandoned                   bool
}

// allocJob puts a job into a free slot of the table.
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

// finishJob ends a job, of whose result its proxy learns after a delay.
func (s *Sim) finishJob(jobIndex int32, res balance.Result, delay int64) {
	j := &s.jobs[jobIndex]
	token := s.requests[j.req].attemptToken(int(j.attempt))
	s.add(s.now+delay, evAttemptEnd, j.req, int32(res), token)
	s.dropJob(jobIndex)
}

// dropJob ends a job without an answer and frees its slot.
func (s *Sim) dropJob(jobIndex int32) {
	j := &s.jobs[jobIndex]
	q := &s.requests[j.req]
	q.attempts[j.attempt].job = -1
	q.jobs--
	j.used = false
	s.free.jobs = append(s.free.jobs, jobIndex)
	s.releaseRequest(j.req)
}

// returnLatency draws the latency from a job's server to its proxy.
func (s *Sim) returnLatency(j *job) int64 {
	return s.latency(s.servers[j.server].hall, s.proxies[s.requests[j.req].proxy].hall)
}

// arriveAtServer runs, queues or rejects a job that has reached its server.
func (s *Sim) arriveAtServer(jobIndex int32) {
	j := &s.jobs[jobIndex]
	v := &s.servers[j.server]
	back := s.returnLatency(j)
	d := &s.demands[s.requests[j.req].demand]
	switch {
	case v.unresponsive:
		s.dropJob(jobIndex)
		return
	case !v.up || v.incarnation != j.incarnation:
		s.finishJob(jobIndex, balance.Reset, back)
		return
	}
	s.trackSlowStart(j.server, j.work+j.handshake, d.number)
	limit := s.scenario.Servers.QueueLimit
	if v.draining || v.collapsed || len(v.running) >= int(v.cores) && limit > 0 && v.queued() >= limit {
		s.tally.rejected++
		s.finishJob(jobIndex, balance.Rejected, back)
		return
	}
	if len(v.running) < int(v.cores) {
		s.startJob(jobIndex)
	} else {
		v.queue = append(v.queue, jobIndex)
	}
	s.board.recordLoad(s, j.server)
	s.board.readOnAccess(s, s.requests[j.req].proxy)
	s.trackOverload(j.server)
}

// collapseSlack is how many jobs a core a server in slow start is sent by chance, beyond the rule.
const collapseSlack = 4

// trackSlowStart sums the work that reaches a server in slow start, which collapses under too much of it.
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
	slack := collapseSlack * float64(v.cores) * work
	if v.slowStartWork > s.scenario.Rules.CollapseFactor*can+slack {
		v.collapsed = true
		s.monitor.recordViolation(s, SlowStartObeyed, number, i)
	}
}

// slowStartFraction is the fraction of its capacity that a server has now.
func (s *Sim) slowStartFraction(v *server) float64 {
	o := &s.scenario.Servers
	if o.SlowStartMin >= 1 || v.started == 0 || o.SlowStartWindow <= 0 {
		return 1
	}
	return min(1, o.SlowStartMin+(1-o.SlowStartMin)*float64(s.now-v.started)/float64(o.SlowStartWindow))
}

// startJob runs a job on a free core.
func (s *Sim) startJob(jobIndex int32) {
	j := &s.jobs[jobIndex]
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
	v.running = append(v.running, jobIndex)
	s.add(j.doneAt, evJobDone, jobIndex, v.incarnation, uint64(j.generation))
}

// touchKey reports whether a key is warm and records its use; the oldest key is evicted.
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

// jobDone ends a job on its core, on which the next one starts.
func (s *Sim) jobDone(jobIndex, incarnation int32, generation uint64) {
	j := &s.jobs[jobIndex]
	if !j.used || uint64(j.generation) != generation {
		return
	}
	i := j.server
	v := &s.servers[i]
	if v.incarnation != incarnation {
		return
	}
	if v.pausedUntil > s.now { // the rest is done after the pause
		j.doneAt = max(j.doneAt, v.pausedUntil)
	}
	if j.doneAt > s.now {
		s.add(j.doneAt, evJobDone, jobIndex, incarnation, generation)
		return
	}
	for n, r := range v.running {
		if r == jobIndex {
			v.running[n] = v.running[len(v.running)-1]
			v.running = v.running[:len(v.running)-1]
			break
		}
	}
	if j.abandoned {
		s.tally.wasted += j.work
	}
	if back := s.returnLatency(j); v.unresponsive {
		s.dropJob(jobIndex)
	} else {
		s.finishJob(jobIndex, balance.Done, back)
	}
	for v.queued() > 0 && len(v.running) < int(v.cores) {
		next := v.queue[v.head]
		if v.head++; v.head > 64 && 2*v.head > len(v.queue) {
			v.queue = v.queue[:copy(v.queue, v.queue[v.head:])]
			v.head = 0
		}
		if s.jobs[next].abandoned && s.scenario.Servers.DropsAbandoned {
			s.dropJob(next)
			continue
		}
		s.startJob(next)
	}
	s.board.recordLoad(s, i)
	s.trackOverload(i)
}
