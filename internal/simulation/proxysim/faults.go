package proxysim

import (
	"time"

	"cresshub/balance"
)

// The stages of a fault, as the details of its events.
const (
	faultBegins int32 = 0 // of pauses each round, of shrink and rolling each server
	faultEnds   int32 = 1 // of shrink and rolling the end of a server
)

// playFault handles an event of one of the scenario's faults. For shrink and rolling, number is how many
// servers were drained before (at faultBegins), or the server (at faultEnds).
func (s *Sim) playFault(faultIndex, stage int32, number uint64, options Options) {
	fault := &s.scenario.Faults[faultIndex]
	begins := stage == faultBegins
	switch fault.Type {
	case FaultPauses:
		s.pauseServers(faultIndex)
		return
	case FaultShrink, FaultRolling:
		if begins {
			s.replaceNextServer(faultIndex, int(number))
		} else {
			s.killServer(int32(number))
			s.publishState(int32(number), balance.Removed)
		}
		return
	case FaultBurst:
		s.burst = 1
		if begins {
			s.burst = fault.Size
		}
	case FaultDiscoveryStale:
		s.registry.lag = 0
		if begins {
			s.registry.lag = int64(fault.Lag)
		}
	}
	if begins {
		s.scheduleFault(faultIndex, fault.Duration, faultEnds, 0)
	}
	if fault.Type == FaultCrash || fault.Type == FaultHallLoss {
		s.loseServers(fault, begins)
		s.loseProxies(fault, begins, options)
	}
}

// scheduleFault queues the next event of a fault.
func (s *Sim) scheduleFault(faultIndex int32, delay time.Duration, stage int32, number uint64) {
	s.add(s.now+int64(delay), event{kind: evFault, target: faultIndex, detail: stage, stamp: number})
}

// affectedServers is the number of servers that a fault affects by its size.
func (s *Sim) affectedServers(fault *Fault) int {
	return int(fault.Size*float64(s.scenario.Servers.Count) + 0.5)
}

// pauseServers plays one round of pauses and schedules the next one.
func (s *Sim) pauseServers(faultIndex int32) {
	fault := &s.scenario.Faults[faultIndex]
	for _, serverIndex := range s.drawServers(s.affectedServers(fault)) {
		s.servers[serverIndex].pausedUntil = s.now + int64(fault.PauseDuration)
		for _, jobIndex := range s.servers[serverIndex].running {
			s.jobs[jobIndex].doneAt += int64(fault.PauseDuration)
		}
	}
	if s.now+int64(fault.Interval) < int64(fault.At+fault.Duration) {
		s.scheduleFault(faultIndex, fault.Interval, faultBegins, 0)
	}
}

// drawServers draws up to n servers that are up.
func (s *Sim) drawServers(n int) (all []int32) {
	for _, i := range s.streams.faults.Perm(len(s.servers)) {
		if srv := &s.servers[i]; srv.up && !srv.draining && len(all) < n {
			all = append(all, int32(i))
		}
	}
	return all
}

// hallIndex is the index of a fault's hall, -1 where it has none.
func (s *Sim) hallIndex(fault *Fault) int32 {
	hall := int32(-1)
	for index, name := range s.halls {
		if name == fault.Hall {
			hall = int32(index)
		}
	}
	return hall
}

// loseServers takes the servers of a hall, or one server, down, or restarts them.
func (s *Sim) loseServers(fault *Fault, begins bool) {
	hall := s.hallIndex(fault)
	for i := range s.servers {
		srv := &s.servers[i]
		if fault.Type == FaultCrash && i != 0 || fault.Type == FaultHallLoss && srv.hall != hall || srv.draining {
			continue
		}
		switch {
		case begins && fault.Unresponsive:
			srv.unresponsive = true
		case begins:
			s.killServer(int32(i))
			s.publishState(int32(i), balance.Removed)
		case fault.Unresponsive: // it went on in isolation; its requests are answered to nobody
			srv.unresponsive = false
			s.killServer(int32(i))
			s.restartServer(int32(i))
		default:
			s.restartServer(int32(i))
		}
	}
}

// loseProxies takes the proxies of a lost hall down, or restarts them.
func (s *Sim) loseProxies(fault *Fault, begins bool, options Options) {
	if fault.Type != FaultHallLoss || !fault.Proxies {
		return
	}
	hall := s.hallIndex(fault)
	for i := range s.proxies {
		if s.proxies[i].hall != hall {
			continue
		}
		if begins {
			s.killProxy(int32(i))
		} else if err := s.startProxy(int32(i), options); err != nil {
			s.monitor.stop = true // the same settings were accepted before
		}
	}
}

// killServer ends a server's process and resets its jobs.
func (s *Sim) killServer(serverIndex int32) {
	srv := &s.servers[serverIndex]
	all := append(append([]int32(nil), srv.running...), srv.queue[srv.head:]...)
	for _, jobIndex := range all {
		s.finishJob(jobIndex, balance.Reset, s.returnLatency(&s.jobs[jobIndex]))
	}
	srv.running, srv.queue, srv.head = srv.running[:0], srv.queue[:0], 0
	srv.up = false
	srv.incarnation++
	srv.choked, srv.overloadedSince, srv.idleSince = false, 0, 0
	for proxyIndex := range s.proxies { // its idle connections end
		idle := s.idleConnsOf(int32(proxyIndex), serverIndex)
		srv.conns -= int32(len(idle.parkedAt))
		idle.parkedAt = idle.parkedAt[:0]
	}
	s.board.recordLoad(s, serverIndex)
}

// restartServer starts a server's process again, in slow start.
func (s *Sim) restartServer(serverIndex int32) {
	srv := &s.servers[serverIndex]
	srv.up, srv.collapsed, srv.warmKeys, srv.started = true, false, nil, max(s.now, 1)
	s.publishState(serverIndex, balance.Up)
}

// killProxy ends a proxy's process: its requests fail.
func (s *Sim) killProxy(proxyIndex int32) {
	proxy := &s.proxies[proxyIndex]
	proxy.incarnation++
	proxy.alive, proxy.watching = false, false
	for requestIndex := range s.requests {
		if req := &s.requests[requestIndex]; req.used && !req.answered && req.proxy == proxyIndex {
			req.answered = true
			s.inFlight--
			s.attemptAnswered(req.demand, failed, 0, !req.started)
			s.releaseRequest(int32(requestIndex))
		}
	}
}

// replaceNextServer drains a server, after which another one of the fault is next; a rolling replacement
// starts a new server for it.
func (s *Sim) replaceNextServer(faultIndex int32, drainedBefore int) {
	fault := &s.scenario.Faults[faultIndex]
	count := s.affectedServers(fault)
	if drainedBefore >= count {
		return
	}
	drained := s.drawServers(1)
	if len(drained) == 0 {
		return
	}
	s.servers[drained[0]].draining = true
	s.publishState(drained[0], balance.Draining)
	s.scheduleFault(faultIndex, fault.Interval, faultEnds, uint64(drained[0]))
	if fault.Type == FaultRolling && len(s.servers) < s.registry.maxServers {
		s.startReplacement(drained[0])
	}
	s.scheduleFault(faultIndex, fault.Duration/time.Duration(count), faultBegins, uint64(drainedBefore+1))
}

// startReplacement starts a server of the same make as another one.
func (s *Sim) startReplacement(serverIndex int32) {
	old := &s.servers[serverIndex]
	s.servers = append(s.servers, server{kind: old.kind, hall: old.hall, cores: old.cores,
		speed: old.speed, started: max(s.now, 1), up: true})
	s.board.addServer(s)
	s.publishState(int32(len(s.servers)-1), balance.Up)
}
