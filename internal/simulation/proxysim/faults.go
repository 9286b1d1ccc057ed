package proxysim

import (
	"time"

	"cresshub/balance"
)

// playFault handles an event of one of the scenario's faults. Stage 0 begins it; the meaning of later stages
// and of c depends on its type.
func (s *Sim) playFault(n int, stage int32, c uint64, o Options) {
	t := &s.scenario.Faults[n]
	later := func(d time.Duration, stage int32, c uint64) {
		s.add(s.now+int64(d), evFault, int32(n), stage, c)
	}
	part := func() int { return int(t.Size*float64(s.scenario.Servers.Count) + 0.5) }
	switch t.Type {
	case FaultBurst:
		if s.burst = t.Size; stage == 0 {
			later(t.Duration, 1, 0)
		} else {
			s.burst = 1
		}
	case FaultDiscoveryStale:
		if s.registry.lag = int64(t.Lag); stage == 0 {
			later(t.Duration, 1, 0)
		} else {
			s.registry.lag = 0
		}
	case FaultPauses:
		for _, i := range s.drawServers(part()) {
			s.servers[i].pausedUntil = s.now + int64(t.PauseDuration)
			for _, j := range s.servers[i].running {
				s.jobs[j].doneAt += int64(t.PauseDuration)
			}
		}
		if s.now+int64(t.Interval) < int64(t.At+t.Duration) {
			later(t.Interval, 0, 0)
		}
	case FaultCrash, FaultHallLoss:
		if stage == 0 {
			later(t.Duration, 1, 0)
		}
		s.loseServers(t, stage == 0)
		s.loseProxies(t, stage == 0, o)
	case FaultShrink, FaultRolling:
		s.replaceServers(t, stage, c, part(), later)
	}
}

// drawServers draws up to n servers that are up.
func (s *Sim) drawServers(n int) (all []int32) {
	for _, i := range s.streams.faults.Perm(len(s.servers)) {
		if v := &s.servers[i]; v.up && !v.draining && len(all) < n {
			all = append(all, int32(i))
		}
	}
	return all
}

// hallIndex is the index of a fault's hall, -1 where it has none.
func (s *Sim) hallIndex(t *Fault) int32 {
	hall := int32(-1)
	for h, name := range s.halls {
		if name == t.Hall {
			hall = int32(h)
		}
	}
	return hall
}

// loseServers takes the servers of a hall, or one server, down, or restarts them.
func (s *Sim) loseServers(t *Fault, begins bool) {
	hall := s.hallIndex(t)
	for i := range s.servers {
		v := &s.servers[i]
		if t.Type == FaultCrash && i != 0 || t.Type == FaultHallLoss && v.hall != hall || v.draining {
			continue
		}
		switch {
		case begins && t.Unresponsive:
			v.unresponsive = true
		case begins:
			s.killServer(int32(i))
			s.publishState(int32(i), balance.Removed)
		case t.Unresponsive: // it went on in isolation; its requests are answered to nobody
			v.unresponsive = false
			s.killServer(int32(i))
			s.restartServer(int32(i))
		default:
			s.restartServer(int32(i))
		}
	}
}

// loseProxies takes the proxies of a lost hall down, or restarts them.
func (s *Sim) loseProxies(t *Fault, begins bool, o Options) {
	if t.Type != FaultHallLoss || !t.Proxies {
		return
	}
	hall := s.hallIndex(t)
	for i := range s.proxies {
		if s.proxies[i].hall != hall {
			continue
		}
		if begins {
			s.killProxy(int32(i))
		} else if err := s.startProxy(int32(i), o); err != nil {
			s.monitor.stop = true // the same settings were accepted before
		}
	}
}

// killServer ends a server's process and resets its jobs.
func (s *Sim) killServer(i int32) {
	v := &s.servers[i]
	all := append(append([]int32(nil), v.running...), v.queue[v.head:]...)
	for _, j := range all {
		s.finishJob(j, balance.Reset, s.returnLatency(&s.jobs[j]))
	}
	v.running, v.queue, v.head = v.running[:0], v.queue[:0], 0
	v.up = false
	v.incarnation++
	v.choked, v.overloadedSince, v.idleSince = false, 0, 0
	for p := range s.proxies { // its idle connections end
		pr := s.idleConnsOf(int32(p), i)
		v.conns -= int32(len(pr.parkedAt))
		pr.parkedAt = pr.parkedAt[:0]
	}
	s.board.recordLoad(s, i)
}

// restartServer starts a server's process again, in slow start.
func (s *Sim) restartServer(i int32) {
	v := &s.servers[i]
	v.up, v.collapsed, v.warmKeys, v.started = true, false, nil, max(s.now, 1)
	s.publishState(i, balance.Up)
}

// killProxy ends a proxy's process: its requests fail.
func (s *Sim) killProxy(i int32) {
	p := &s.proxies[i]
	p.incarnation++
	p.alive, p.watching = false, false
	for r := range s.requests {
		if q := &s.requests[r]; q.used && !q.answered && q.proxy == i {
			q.answered = true
			s.inFlight--
			s.attemptAnswered(q.demand, failed, 0, !q.started)
			s.releaseRequest(int32(r))
		}
	}
}

// replaceServers drains servers one after the other; a rolling replacement starts another for each.
func (s *Sim) replaceServers(t *Fault, stage int32, c uint64, n int,
	later func(time.Duration, int32, uint64)) {
	switch stage {
	case 0: // c servers were drained before
		if c >= uint64(n) {
			return
		}
		drained := s.drawServers(1)
		if len(drained) == 0 {
			return
		}
		s.servers[drained[0]].draining = true
		s.publishState(drained[0], balance.Draining)
		later(t.Interval, 1, uint64(drained[0]))
		if t.Type == FaultRolling && len(s.servers) < s.registry.maxServers {
			old := s.servers[drained[0]]
			s.servers = append(s.servers, server{kind: old.kind, hall: old.hall, cores: old.cores,
				speed: old.speed, started: max(s.now, 1), up: true})
			s.board.addServer(s)
			s.publishState(int32(len(s.servers)-1), balance.Up)
		}
		later(t.Duration/time.Duration(n), 0, c+1)
	case 1: // server c ends
		i := int32(c)
		s.killServer(i)
		s.publishState(i, balance.Removed)
	}
}
