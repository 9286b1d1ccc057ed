package proxysim

import (
	"time"

	"cresshub/balance"
)

// registry is the service that lists servers: late, of fixed capacity, knowing only of processes.
type registry struct {
	push    bool // changes come unasked and at once
	most    int  // servers that there may ever be
	entries []balance.Server
	changes []change
	busy    int64 // handles calls until then
	behind  int64 // told so much later, now
	calls   int
	fails   int
	lines   int
}

type change struct {
	at    int64
	entry balance.Server
}

func (g *registry) init(s *Sim) {
	o := &s.sc.Discovery
	g.push = o.Delay == 0 && o.Service == 0
	g.most = len(s.servers)
	for _, t := range s.sc.Troubles {
		if t.What == "rolling" {
			g.most += int(t.Size*float64(len(s.servers))) + 1
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

// whole is the list as it is, of what is in service or drains.
func (g *registry) whole() []balance.Server {
	var all []balance.Server
	for _, e := range g.entries {
		if e.State != balance.Removed {
			all = append(all, e)
		}
	}
	return all
}

// change takes a server's new state in; every proxy is told later.
func (s *Sim) change(i int32, state balance.ServerState) {
	g := &s.registry
	if int(i) == len(g.entries) {
		g.entries = append(g.entries, entry(s, i, s.capacity()/float64(len(s.servers))))
	}
	e := &g.entries[i]
	e.State, e.Started = state, time.Duration(s.servers[i].started)
	g.changes = append(g.changes, change{s.now, *e})
	at := s.now + int64(s.sc.Discovery.Delay) + g.behind
	for p := range s.proxies {
		s.add(at, evTell, int32(p), 0, g.version())
	}
}

// follow is a proxy's call for the changes from now on.
func (s *Sim) follow(i int32) {
	g := &s.registry
	o := &s.sc.Discovery
	g.calls++
	way := s.latency(0, s.proxies[i].hall)
	begin := max(g.busy, s.now)
	life := uint64(s.proxies[i].life)
	if o.Wait > 0 && begin-s.now > int64(o.Wait) {
		g.fails++
		s.add(s.now+int64(o.Wait)+2*way, evListed, i, 1, life)
		return
	}
	g.busy = begin + int64(o.Service)
	s.add(g.busy+2*way, evListed, i, 0, life)
}

// listed is the answer to a call.
func (s *Sim) listed(i int32, fails bool, life int32) {
	p := &s.proxies[i]
	if !p.alive || p.life != life {
		return
	}
	if fails {
		p.watching = false
		s.do(i, p.agent.List(time.Duration(s.now), balance.ListFailed, nil, s.acts[:0]))
		return
	}
	p.watching = true
	g := &s.registry
	shown := g.version() // that is old enough to be told
	for shown > p.version && g.changes[shown-1].at > s.now-int64(s.sc.Discovery.Delay)-g.behind {
		shown--
	}
	s.deltas(i, shown, true)
}

// tell hands a proxy the changes up to a version, if it watches.
func (s *Sim) tell(i int32, version uint64) {
	if p := &s.proxies[i]; p.alive && (p.watching || s.registry.push) {
		s.deltas(i, version, false)
	}
}

func (s *Sim) deltas(i int32, version uint64, empty bool) {
	p := &s.proxies[i]
	if version <= p.version && !empty {
		return
	}
	var list []balance.Server
	for ; p.version < version; p.version++ {
		e := s.registry.changes[p.version].entry
		list = append(list, e)
		if p.told == nil {
			p.told = map[int32]int64{}
		}
		server := int32(e.ID) - 1
		if e.State == balance.Up {
			delete(p.told, server)
		} else if _, known := p.told[server]; !known {
			p.told[server] = s.now
		}
	}
	s.registry.lines += len(list)
	s.do(i, p.agent.List(time.Duration(s.now), balance.ListDelta, list, s.acts[:0]))
}

// trouble plays one of the scenario's troubles. Stage 0 begins it; the others are its own.
func (s *Sim) trouble(n int, stage int32, c uint64, o Options) {
	t := &s.sc.Troubles[n]
	later := func(d time.Duration, stage int32, c uint64) {
		s.add(s.now+int64(d), evTrouble, int32(n), stage, c)
	}
	part := func() int { return int(t.Size*float64(s.sc.Servers.Count) + 0.5) }
	switch t.What {
	case "burst":
		if s.surge = t.Size; stage == 0 {
			later(t.For, 1, 0)
		} else {
			s.surge = 1
		}
	case "discovery_stale":
		if s.registry.behind = int64(t.Behind); stage == 0 {
			later(t.For, 1, 0)
		} else {
			s.registry.behind = 0
		}
	case "pauses":
		for _, i := range s.some(part()) {
			s.servers[i].paused = s.now + int64(t.Pause)
			for _, j := range s.servers[i].running {
				s.jobs[j].end += int64(t.Pause)
			}
		}
		if s.now+int64(t.Every) < int64(t.At+t.For) {
			later(t.Every, 0, 0)
		}
	case "crash", "hall_loss":
		if stage == 0 {
			later(t.For, 1, 0)
		}
		s.loss(t, stage == 0, o)
	case "shrink", "rolling":
		s.replace(t, stage, c, part(), later)
	}
}

// some draws so many servers that are up.
func (s *Sim) some(n int) (all []int32) {
	for _, i := range s.streams.troubles.Perm(len(s.servers)) {
		if v := &s.servers[i]; v.up && !v.draining && len(all) < n {
			all = append(all, int32(i))
		}
	}
	return all
}

// loss takes a hall or one server away, or brings it back cold.
func (s *Sim) loss(t *Trouble, begins bool, o Options) {
	hall := int32(-1)
	for h, name := range s.halls {
		if name == t.Hall {
			hall = int32(h)
		}
	}
	for i := range s.servers {
		v := &s.servers[i]
		if t.What == "crash" && i != 0 || t.What == "hall_loss" && v.hall != hall || v.draining {
			continue
		}
		switch {
		case begins && t.Silent:
			v.silent = true
		case begins:
			s.die(int32(i))
			s.change(int32(i), balance.Removed)
		case t.Silent: // cut off, it went on; what it held is answered to nobody
			v.silent = false
			s.die(int32(i))
			s.rise(int32(i))
		default:
			s.rise(int32(i))
		}
	}
	for i := range s.proxies {
		if p := &s.proxies[i]; t.What == "hall_loss" && t.Proxies && p.hall == hall {
			if begins {
				s.kill(int32(i))
			} else if err := s.startProxy(int32(i), o); err != nil {
				s.monitor.stop = true // the same settings were taken before
			}
		}
	}
}

// die ends a server's process: what it holds is reset.
func (s *Sim) die(i int32) {
	v := &s.servers[i]
	all := append(append([]int32(nil), v.running...), v.queue[v.head:]...)
	for _, j := range all {
		s.end(j, balance.Reset, s.back(&s.jobs[j]), true)
	}
	v.running, v.queue, v.head = v.running[:0], v.queue[:0], 0
	v.up = false
	v.life++
	v.choked, v.crowdedAt, v.idleAt = false, 0, 0
	for p := range s.proxies { // its connections are gone
		pr := s.pair(int32(p), i)
		v.open -= int32(len(pr.idle))
		pr.idle = pr.idle[:0]
	}
	s.board.changed(s, i)
}

// rise starts a server's process anew, cold.
func (s *Sim) rise(i int32) {
	v := &s.servers[i]
	v.up, v.fell, v.warm, v.started = true, false, nil, max(s.now, 1)
	s.change(i, balance.Up)
}

// kill ends a proxy: what it held is left to its clients.
func (s *Sim) kill(i int32) {
	p := &s.proxies[i]
	p.life++
	p.alive, p.watching = false, false
	for r := range s.reqs {
		if q := &s.reqs[r]; q.used && !q.over && q.proxy == i {
			q.over = true
			s.held--
			s.over(q.demand, failed, 0, !q.ran)
			s.release(int32(r))
		}
	}
}

// replace drains servers one after the other; a rolling replacement starts another, cold, for each.
func (s *Sim) replace(t *Trouble, stage int32, c uint64, n int, later func(time.Duration, int32, uint64)) {
	switch stage {
	case 0: // the c-th goes now
		if c >= uint64(n) {
			return
		}
		gone := s.some(1)
		if len(gone) == 0 {
			return
		}
		s.servers[gone[0]].draining = true
		s.change(gone[0], balance.Draining)
		later(t.Every, 1, uint64(gone[0]))
		if t.What == "rolling" && len(s.servers) < s.registry.most {
			old := s.servers[gone[0]]
			s.servers = append(s.servers, server{kind: old.kind, hall: old.hall, cores: old.cores,
				speed: old.speed, started: max(s.now, 1), up: true})
			s.board.grow(s)
			s.change(int32(len(s.servers)-1), balance.Up)
		}
		later(t.For/time.Duration(n), 0, c+1)
	case 1:
		i := int32(c)
		s.die(i)
		s.change(i, balance.Removed)
	}
}
