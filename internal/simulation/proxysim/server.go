package proxysim

import (
	"slices"

	"cresshub/balance"
)

// server is one zone server. Times are virtual, in ns; work is in ns on a core of speed 1.
type server struct {
	kind, hall   int32 // positions in the scenario's lists
	cores        int32
	speed        float64 // of a core
	incarnation  int32   // of the process; rises as it ends
	up           bool    // the process runs
	unresponsive bool    // nothing is answered, though the process runs
	draining     bool    // new jobs are rejected
	started      int64   // 0 is long ago
	running      []int32 // jobs
	queue        []int32 // waiting jobs, from head on
	head         int
	conns        int32 // open connections
	pausedUntil  int64
	probeWork    float64 // work of probes that is not done yet

	overloadedSince, idleSince int64 // 0 where it isn't
	choked, everChoked         bool
	chokeSeq                   uint64 // identifies the overload in events

	warmKeys  map[uint64]int64 // time of the last request, by key
	warmOrder []uint64         // ring of the keys in order of their first request
	warmNext  int              // position of the oldest

	reportedAt int64      // 0 before the first report
	reported   loadReport // the report of then

	slowStartFrom int64   // begin of the current window of slow start
	slowStartWork float64 // that arrived in it
	collapsed     bool    // by overload in slow start
}

// queued is the number of waiting jobs.
func (srv *server) queued() int { return len(srv.queue) - srv.head }

// inSystem is the number of running and waiting jobs, the server's load.
func (srv *server) inSystem() int { return len(srv.running) + srv.queued() }

// removeRunning removes a job from those that run.
func (srv *server) removeRunning(jobIndex int32) {
	last := len(srv.running) - 1
	if core := slices.Index(srv.running, jobIndex); core >= 0 {
		srv.running[core] = srv.running[last]
		srv.running = srv.running[:last]
	}
}

// minCompacted is how many jobs must have left a queue before it is moved to the front of its memory.
const minCompacted = 64

// dequeue removes the job that has waited longest; there must be one.
func (srv *server) dequeue() int32 {
	next := srv.queue[srv.head]
	srv.head++
	if srv.head > minCompacted && 2*srv.head > len(srv.queue) {
		srv.queue = srv.queue[:copy(srv.queue, srv.queue[srv.head:])]
		srv.head = 0
	}
	return next
}

// job is an attempt at a server.
type job struct {
	req         int32 // the request's slot
	attempt     int32 // its number
	server      int32
	incarnation int32   // of the server, as the attempt was sent
	work        float64 // ns on a core of speed 1
	handshake   float64 // work of a new connection, in the same unit
	key         uint64  // 0 for none
	doneAt      int64   // once it runs; a pause of the server moves it
	generation  uint32  // of the slot in the table
	used        bool    // the slot is
	abandoned   bool    // its proxy has given the attempt up
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
func (s *Sim) finishJob(jobIndex int32, result balance.Result, delay int64) {
	job := &s.jobs[jobIndex]
	token := s.requests[job.req].attemptToken(int(job.attempt))
	s.add(s.now+delay, event{kind: evAttemptEnd, target: job.req, detail: int32(result), stamp: token})
	s.dropJob(jobIndex)
}

// dropJob ends a job without an answer and frees its slot.
func (s *Sim) dropJob(jobIndex int32) {
	job := &s.jobs[jobIndex]
	req := &s.requests[job.req]
	req.attempts[job.attempt].job = -1
	req.jobs--
	job.used = false
	s.free.jobs = append(s.free.jobs, jobIndex)
	s.releaseRequest(job.req)
}

// returnLatency draws the latency from a job's server to its proxy.
func (s *Sim) returnLatency(j *job) int64 {
	return s.latency(s.servers[j.server].hall, s.proxies[s.requests[j.req].proxy].hall)
}

// arriveAtServer runs, queues or rejects a job that has reached its server.
func (s *Sim) arriveAtServer(jobIndex int32) {
	job := &s.jobs[jobIndex]
	srv := &s.servers[job.server]
	back := s.returnLatency(job)
	demand := &s.demands[s.requests[job.req].demand]
	switch {
	case srv.unresponsive:
		s.dropJob(jobIndex)
		return
	case !srv.up || srv.incarnation != job.incarnation:
		s.finishJob(jobIndex, balance.Reset, back)
		return
	}
	s.trackSlowStart(job.server, job.work+job.handshake, demand.number)
	limit := s.scenario.Servers.QueueLimit
	full := len(srv.running) >= int(srv.cores) && limit > 0 && srv.queued() >= limit
	if srv.draining || srv.collapsed || full {
		s.tally.rejected++
		s.finishJob(jobIndex, balance.Rejected, back)
		return
	}
	if len(srv.running) < int(srv.cores) {
		s.startJob(jobIndex)
	} else {
		srv.queue = append(srv.queue, jobIndex)
	}
	s.board.recordLoad(s, job.server)
	s.board.readOnAccess(s, s.requests[job.req].proxy)
	s.trackOverload(job.server)
}

// collapseSlack is how many jobs a core a server in slow start is sent by chance, beyond the rule.
const collapseSlack = 4

// trackSlowStart sums the work that reaches a server in slow start, which collapses under too much of it.
func (s *Sim) trackSlowStart(serverIndex int32, work float64, number int32) {
	srv := &s.servers[serverIndex]
	fraction := s.slowStartFraction(srv)
	if s.scenario.Rules.CollapseFactor <= 0 || fraction >= 1 || srv.collapsed {
		return
	}
	after := int64(s.scenario.Rules.CollapseAfter)
	if s.now-srv.slowStartFrom > after {
		srv.slowStartFrom, srv.slowStartWork = s.now, 0
	}
	srv.slowStartWork += work
	capacity := fraction * float64(srv.cores) * srv.speed * float64(after)
	slack := collapseSlack * float64(srv.cores) * work
	if srv.slowStartWork > s.scenario.Rules.CollapseFactor*capacity+slack {
		srv.collapsed = true
		s.monitor.recordViolation(s, SlowStartObeyed, number, serverIndex)
	}
}

// slowStartFraction is the fraction of its capacity that a server has now.
func (s *Sim) slowStartFraction(srv *server) float64 {
	servers := &s.scenario.Servers
	if servers.SlowStartMin >= 1 || srv.started == 0 || servers.SlowStartWindow <= 0 {
		return 1
	}
	rise := (1 - servers.SlowStartMin) * float64(s.now-srv.started) / float64(servers.SlowStartWindow)
	return min(1, servers.SlowStartMin+rise)
}

// startJob runs a job on a free core.
func (s *Sim) startJob(jobIndex int32) {
	job := &s.jobs[jobIndex]
	srv := &s.servers[job.server]
	req := &s.requests[job.req]
	demand := &s.demands[req.demand]
	s.monitor.record(s, "runs", demand.number, job.server)
	if demand.starts++; demand.starts > 1 && s.scenario.Classes[demand.class].AtMostOnce {
		s.monitor.recordViolation(s, AtMostOnce, demand.number, job.server)
	}
	req.started = true
	work := job.work
	if s.touchKey(srv, job.key) {
		work *= s.scenario.Servers.WarmKeyWork
	}
	took := (work + job.handshake + srv.probeWork) / (srv.speed * s.slowStartFraction(srv))
	srv.probeWork = 0
	if srv.choked {
		took *= s.scenario.Servers.ChokeFactor
	}
	job.doneAt = max(s.now, srv.pausedUntil) + int64(took)
	srv.running = append(srv.running, jobIndex)
	s.add(job.doneAt,
		event{kind: evJobDone, target: jobIndex, detail: srv.incarnation, stamp: uint64(job.generation)})
}

// touchKey reports whether a key is warm and records its use; the oldest key is evicted.
func (s *Sim) touchKey(srv *server, key uint64) bool {
	servers := &s.scenario.Servers
	if servers.WarmKeyTTL <= 0 || key == 0 {
		return false
	}
	if srv.warmKeys == nil {
		srv.warmKeys = make(map[uint64]int64, servers.MaxWarmKeys)
		srv.warmOrder = make([]uint64, servers.MaxWarmKeys)
	}
	at, met := srv.warmKeys[key]
	if !met {
		if old := srv.warmOrder[srv.warmNext]; old != 0 {
			delete(srv.warmKeys, old)
		}
		srv.warmOrder[srv.warmNext] = key
		srv.warmNext = (srv.warmNext + 1) % len(srv.warmOrder)
	}
	srv.warmKeys[key] = s.now
	return met && s.now-at <= int64(servers.WarmKeyTTL)
}

// jobDone ends a job on its core, on which the next one starts.
func (s *Sim) jobDone(jobIndex, incarnation int32, generation uint64) {
	job := &s.jobs[jobIndex]
	if !job.used || uint64(job.generation) != generation {
		return
	}
	serverIndex := job.server
	srv := &s.servers[serverIndex]
	if srv.incarnation != incarnation {
		return
	}
	if srv.pausedUntil > s.now { // the rest is done after the pause
		job.doneAt = max(job.doneAt, srv.pausedUntil)
	}
	if job.doneAt > s.now {
		s.add(job.doneAt, event{kind: evJobDone, target: jobIndex, detail: incarnation, stamp: generation})
		return
	}
	srv.removeRunning(jobIndex)
	if job.abandoned {
		s.tally.wasted += job.work
	}
	if back := s.returnLatency(job); srv.unresponsive {
		s.dropJob(jobIndex)
	} else {
		s.finishJob(jobIndex, balance.Done, back)
	}
	s.startQueued(srv)
	s.board.recordLoad(s, serverIndex)
	s.trackOverload(serverIndex)
}

// startQueued runs waiting jobs on the free cores of a server.
func (s *Sim) startQueued(srv *server) {
	for srv.queued() > 0 && len(srv.running) < int(srv.cores) {
		next := srv.dequeue()
		if s.jobs[next].abandoned && s.scenario.Servers.DropsAbandoned {
			s.dropJob(next)
			continue
		}
		s.startJob(next)
	}
}
