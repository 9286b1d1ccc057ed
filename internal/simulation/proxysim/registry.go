package proxysim

import (
	"time"

	"cresshub/balance"
)

// registry is the service that lists servers: late, of fixed capacity, knowing only of processes.
type registry struct {
	push       bool // changes come unasked and at once
	maxServers int  // servers that there may ever be
	entries    []balance.Server
	changes    []change
	busyUntil  int64 // handles calls until then
	lag        int64 // told so much later, now
	calls      int
	fails      int
	lines      int
}

type change struct {
	at    int64
	entry balance.Server
}

func (g *registry) init(s *Sim) {
	o := &s.scenario.Discovery
	g.push = o.Delay == 0 && o.ServiceTime == 0
	g.maxServers = len(s.servers)
	for _, t := range s.scenario.Faults {
		if t.Type == "rolling" {
			g.maxServers += int(t.Size*float64(len(s.servers))) + 1
		}
	}
	// Room for those that replace others, so that pairs have a place.
	mean := s.capacity() / float64(len(s.servers))
	for i := range s.servers {
		g.entries = append(g.entries, entry(s, int32(i), mean))
	}
}

// entry is a server's line; its rating is its size beside the usual.
func entry(s *Sim, i int32, mean float64) balance.Server {
	v := &s.servers[i]
	return balance.Server{ID: balance.ServerID(i + 1), Zone: int(v.hall), Kind: int(v.kind), Cell: int(i),
		Rating: float64(v.cores) * v.speed / mean, Started: time.Duration(v.started)}
}

func (g *registry) version() uint64 { return uint64(len(g.changes)) }

// fullList is the list as it is, of what is in service or drains.
func (g *registry) fullList() []balance.Server {
	var all []balance.Server
	for _, e := range g.entries {
		if e.State != balance.Removed {
			all = append(all, e)
		}
	}
	return all
}

// publishState takes a server's new state in; every proxy is told later.
func (s *Sim) publishState(i int32, state balance.ServerState) {
	g := &s.registry
	if int(i) == len(g.entries) {
		g.entries = append(g.entries, entry(s, i, s.capacity()/float64(len(s.servers))))
	}
	e := &g.entries[i]
	e.State, e.Started = state, time.Duration(s.servers[i].started)
	g.changes = append(g.changes, change{s.now, *e})
	at := s.now + int64(s.scenario.Discovery.Delay) + g.lag
	for p := range s.proxies {
		s.add(at, evListChange, int32(p), 0, g.version())
	}
}

// watchList is a proxy's call for the changes from now on.
func (s *Sim) watchList(i int32) {
	g := &s.registry
	o := &s.scenario.Discovery
	g.calls++
	way := s.latency(0, s.proxies[i].hall)
	begin := max(g.busyUntil, s.now)
	life := uint64(s.proxies[i].incarnation)
	if o.MaxWait > 0 && begin-s.now > int64(o.MaxWait) {
		g.fails++
		s.add(s.now+int64(o.MaxWait)+2*way, evListAnswer, i, 1, life)
		return
	}
	g.busyUntil = begin + int64(o.ServiceTime)
	s.add(g.busyUntil+2*way, evListAnswer, i, 0, life)
}

// listAnswered is the answer to a call.
func (s *Sim) listAnswered(i int32, fails bool, life int32) {
	p := &s.proxies[i]
	if !p.alive || p.incarnation != life {
		return
	}
	if fails {
		p.watching = false
		s.apply(i, p.agent.List(time.Duration(s.now), balance.ListFailed, nil, s.actions[:0]))
		return
	}
	p.watching = true
	g := &s.registry
	visible := g.version() // that is old enough to be told
	for visible > p.version && g.changes[visible-1].at > s.now-int64(s.scenario.Discovery.Delay)-g.lag {
		visible--
	}
	s.sendDeltas(i, visible, true)
}

// deliverChanges hands a proxy the changes up to a version, if it watches.
func (s *Sim) deliverChanges(i int32, version uint64) {
	if p := &s.proxies[i]; p.alive && (p.watching || s.registry.push) {
		s.sendDeltas(i, version, false)
	}
}

func (s *Sim) sendDeltas(i int32, version uint64, empty bool) {
	p := &s.proxies[i]
	if version <= p.version && !empty {
		return
	}
	var list []balance.Server
	for ; p.version < version; p.version++ {
		e := s.registry.changes[p.version].entry
		list = append(list, e)
		if p.withdrawnAt == nil {
			p.withdrawnAt = map[int32]int64{}
		}
		server := int32(e.ID) - 1
		if e.State == balance.Up {
			delete(p.withdrawnAt, server)
		} else if _, known := p.withdrawnAt[server]; !known {
			p.withdrawnAt[server] = s.now
		}
	}
	s.registry.lines += len(list)
	s.apply(i, p.agent.List(time.Duration(s.now), balance.ListDelta, list, s.actions[:0]))
}

// playFault plays one of the scenario's troubles. Stage 0 begins it; the others are its own.
func (s *Sim) playFault(n int, stage int32, c uint64, o Options) {
	t := &s.scenario.Faults[n]
	later := func(d time.Duration, stage int32, c uint64) {
		s.add(s.now+int64(d), evFault, int32(n), stage, c)
	}
	part := func() int { return int(t.Size*float64(s.scenario.Servers.Count) + 0.5) }
	switch t.Type {
	case "burst":
		if s.burst = t.Size; stage == 0 {
			later(t.Duration, 1, 0)
		} else {
			s.burst = 1
		}
	case "discovery_stale":
		if s.registry.lag = int64(t.Lag); stage == 0 {
			later(t.Duration, 1, 0)
		} else {
			s.registry.lag = 0
		}
	case "pauses":
		for _, i := range s.drawServers(part()) {
			s.servers[i].pausedUntil = s.now + int64(t.PauseFor)
			for _, j := range s.servers[i].running {
				s.jobs[j].doneAt += int64(t.PauseFor)
			}
		}
		if s.now+int64(t.Interval) < int64(t.At+t.Duration) {
			later(t.Interval, 0, 0)
		}
	case "crash", "hall_loss":
		if stage == 0 {
			later(t.Duration, 1, 0)
		}
		s.loseServers(t, stage == 0, o)
	case "shrink", "rolling":
		s.replaceServers(t, stage, c, part(), later)
	}
}

// drawServers draws so many servers that are up.
func (s *Sim) drawServers(n int) (all []int32) {
	for _, i := range s.streams.faults.Perm(len(s.servers)) {
		if v := &s.servers[i]; v.up && !v.draining && len(all) < n {
			all = append(all, int32(i))
		}
	}
	return all
}

// loseServers takes a hall or one server away, or brings it back cold.
func (s *Sim) loseServers(t *Fault, begins bool, o Options) {
	hall := int32(-1)
	for h, name := range s.halls {
		if name == t.Hall {
			hall = int32(h)
		}
	}
	for i := range s.servers {
		v := &s.servers[i]
		if t.Type == "crash" && i != 0 || t.Type == "hall_loss" && v.hall != hall || v.draining {
			continue
		}
		switch {
		case begins && t.Unresponsive:
			v.unresponsive = true
		case begins:
			s.killServer(int32(i))
			s.publishState(int32(i), balance.Removed)
		case t.Unresponsive: // cut off, it went on; what it held is answered to nobody
			v.unresponsive = false
			s.killServer(int32(i))
			s.restartServer(int32(i))
		default:
			s.restartServer(int32(i))
		}
	}
	for i := range s.proxies {
		if p := &s.proxies[i]; t.Type == "hall_loss" && t.Proxies && p.hall == hall {
			if begins {
				s.killProxy(int32(i))
			} else if err := s.startProxy(int32(i), o); err != nil {
				s.monitor.stop = true // the same settings were taken before
			}
		}
	}
}

// killServer ends a server's process: what it holds is reset.
func (s *Sim) killServer(i int32) {
	v := &s.servers[i]
	all := append(append([]int32(nil), v.running...), v.queue[v.head:]...)
	for _, j := range all {
		s.finishJob(j, balance.Reset, s.returnLatency(&s.jobs[j]), true)
	}
	v.running, v.queue, v.head = v.running[:0], v.queue[:0], 0
	v.up = false
	v.incarnation++
	v.choked, v.overloadedSince, v.idleSince = false, 0, 0
	for p := range s.proxies { // its connections are gone
		pr := s.idleConnsOf(int32(p), i)
		v.conns -= int32(len(pr.parkedAt))
		pr.parkedAt = pr.parkedAt[:0]
	}
	s.board.recordLoad(s, i)
}

// restartServer starts a server's process anew, cold.
func (s *Sim) restartServer(i int32) {
	v := &s.servers[i]
	v.up, v.collapsed, v.warmKeys, v.started = true, false, nil, max(s.now, 1)
	s.publishState(i, balance.Up)
}

// killProxy ends a proxy: what it held is left to its clients.
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

// replaceServers drains servers one after the other; a rolling replacement starts another, cold, for each.
func (s *Sim) replaceServers(t *Fault, stage int32, c uint64, n int,
	later func(time.Duration, int32, uint64)) {
	switch stage {
	case 0: // the c-th goes now
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
		if t.Type == "rolling" && len(s.servers) < s.registry.maxServers {
			old := s.servers[drained[0]]
			s.servers = append(s.servers, server{kind: old.kind, hall: old.hall, cores: old.cores,
				speed: old.speed, started: max(s.now, 1), up: true})
			s.board.addServer(s)
			s.publishState(int32(len(s.servers)-1), balance.Up)
		}
		later(t.Duration/time.Duration(n), 0, c+1)
	case 1:
		i := int32(c)
		s.killServer(i)
		s.publishState(i, balance.Removed)
	}
}
