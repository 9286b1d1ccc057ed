package proxysim

import (
	"time"

	"cresshub/balance"
)

// registry is the service that lists servers: with a delay, of fixed capacity, knowing processes only.
type registry struct {
	push       bool // changes reach the proxies at once, without a watch
	maxServers int  // upper bound over the run
	entries    []balance.Server
	changes    []change
	busyUntil  int64 // ns, with calls queued so far
	lag        int64 // further delay of changes now, ns
	calls      int
}

// change is a change of one entry, with the time of its publication.
type change struct {
	at    int64
	entry balance.Server
}

func (g *registry) init(s *Sim) {
	o := &s.scenario.Discovery
	g.push = o.Delay == 0 && o.ServiceTime == 0
	g.maxServers = len(s.servers)
	for _, t := range s.scenario.Faults {
		if t.Type == FaultRolling {
			g.maxServers += int(t.Size*float64(len(s.servers))) + 1
		}
	}
	mean := s.capacity() / float64(len(s.servers))
	for i := range s.servers {
		g.entries = append(g.entries, entry(s, int32(i), mean))
	}
}

// entry is a server's list entry, rated by its capacity relative to the mean.
func entry(s *Sim, i int32, mean float64) balance.Server {
	v := &s.servers[i]
	return balance.Server{ID: balance.ServerID(i + 1), Zone: int(v.hall), Kind: int(v.kind), Cell: int(i),
		Rating: float64(v.cores) * v.speed / mean, Started: time.Duration(v.started)}
}

func (g *registry) version() uint64 { return uint64(len(g.changes)) }

// fullList is the current list: the servers that are up or draining.
func (g *registry) fullList() []balance.Server {
	var all []balance.Server
	for _, e := range g.entries {
		if e.State != balance.Removed {
			all = append(all, e)
		}
	}
	return all
}

// publishState records a server's new state and schedules its delivery to every proxy.
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

// watchList is a proxy's call for a watch of the changes from now on.
func (s *Sim) watchList(i int32) {
	g := &s.registry
	o := &s.scenario.Discovery
	g.calls++
	way := s.latency(0, s.proxies[i].hall)
	begin := max(g.busyUntil, s.now)
	incarnation := uint64(s.proxies[i].incarnation)
	if o.MaxWait > 0 && begin-s.now > int64(o.MaxWait) {
		s.add(s.now+int64(o.MaxWait)+2*way, evListAnswer, i, 1, incarnation)
		return
	}
	g.busyUntil = begin + int64(o.ServiceTime)
	s.add(g.busyUntil+2*way, evListAnswer, i, 0, incarnation)
}

// listAnswered handles the answer to a call.
func (s *Sim) listAnswered(i int32, fails bool, incarnation int32) {
	p := &s.proxies[i]
	if !p.alive || p.incarnation != incarnation {
		return
	}
	if fails {
		p.watching = false
		s.apply(i, p.agent.List(time.Duration(s.now), balance.ListFailed, nil, s.actions[:0]))
		return
	}
	p.watching = true
	g := &s.registry
	visible := g.version() // the newest change that is old enough to be delivered
	for visible > p.version && g.changes[visible-1].at > s.now-int64(s.scenario.Discovery.Delay)-g.lag {
		visible--
	}
	s.sendDeltas(i, visible, true)
}

// deliverChanges delivers the changes up to a version to a proxy that watches.
func (s *Sim) deliverChanges(i int32, version uint64) {
	if p := &s.proxies[i]; p.alive && (p.watching || s.registry.push) {
		s.sendDeltas(i, version, false)
	}
}

// sendDeltas delivers the changes after the proxy's version up to another; no changes only if empty is set.
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
	s.apply(i, p.agent.List(time.Duration(s.now), balance.ListDelta, list, s.actions[:0]))
}
