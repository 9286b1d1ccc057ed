package proxysim

import (
	"time"

	"cresshub/balance"
)

// registry is the service that lists servers: it tells changes with a delay, answers one call after the
// other, and knows whether processes run, not whether they answer.
type registry struct {
	push       bool             // changes reach the proxies at once, without a watch
	maxServers int              // upper bound of the number of servers over the run
	entries    []balance.Server // by server
	changes    []change         // all so far; a version of the list is their number
	busyUntil  int64            // virtual time in ns, with the calls queued so far
	lag        int64            // further delay of changes now, ns
	calls      int              // of proxies for a watch
}

// change is a change of one entry, with the time of its publication.
type change struct {
	at    int64 // virtual time in ns
	entry balance.Server
}

func (r *registry) init(s *Sim) {
	discovery := &s.scenario.Discovery
	r.push = discovery.Delay == 0 && discovery.ServiceTime == 0
	r.maxServers = len(s.servers)
	for _, fault := range s.scenario.Faults {
		if fault.Type == FaultRolling {
			r.maxServers += int(fault.Size*float64(len(s.servers))) + 1
		}
	}
	mean := s.capacity() / float64(len(s.servers))
	for i := range s.servers {
		r.entries = append(r.entries, entry(s, int32(i), mean))
	}
}

// entry is a server's list entry, rated by its capacity relative to the mean.
func entry(s *Sim, serverIndex int32, mean float64) balance.Server {
	srv := &s.servers[serverIndex]
	return balance.Server{
		ID: balance.ServerID(serverIndex + 1), Zone: int(srv.hall), Kind: int(srv.kind), Cell: int(serverIndex),
		Rating: float64(srv.cores) * srv.speed / mean, Started: time.Duration(srv.started),
	}
}

// version is the version of the list, the number of its changes.
func (r *registry) version() uint64 { return uint64(len(r.changes)) }

// fullList is the current list: the servers that are up or draining.
func (r *registry) fullList() []balance.Server {
	var all []balance.Server
	for _, entry := range r.entries {
		if entry.State != balance.Removed {
			all = append(all, entry)
		}
	}
	return all
}

// publishState records a server's new state and schedules its delivery to every proxy.
func (s *Sim) publishState(serverIndex int32, state balance.ServerState) {
	registry := &s.registry
	if int(serverIndex) == len(registry.entries) {
		registry.entries = append(registry.entries, entry(s, serverIndex, s.capacity()/float64(len(s.servers))))
	}
	published := &registry.entries[serverIndex]
	published.State, published.Started = state, time.Duration(s.servers[serverIndex].started)
	registry.changes = append(registry.changes, change{s.now, *published})
	at := s.now + int64(s.scenario.Discovery.Delay) + registry.lag
	for proxyIndex := range s.proxies {
		s.add(at, event{kind: evListChange, target: int32(proxyIndex), stamp: registry.version()})
	}
}

// watchList is a proxy's call for a watch of the changes from now on.
func (s *Sim) watchList(proxyIndex int32) {
	registry := &s.registry
	discovery := &s.scenario.Discovery
	registry.calls++
	way := s.latency(0, s.proxies[proxyIndex].hall)
	begin := max(registry.busyUntil, s.now)
	incarnation := uint64(s.proxies[proxyIndex].incarnation)
	if discovery.MaxWait > 0 && begin-s.now > int64(discovery.MaxWait) {
		s.add(s.now+int64(discovery.MaxWait)+2*way,
			event{kind: evListAnswer, target: proxyIndex, detail: listCallFailed, stamp: incarnation})
		return
	}
	registry.busyUntil = begin + int64(discovery.ServiceTime)
	s.add(registry.busyUntil+2*way, event{kind: evListAnswer, target: proxyIndex, stamp: incarnation})
}

// listAnswered handles the answer to a call.
func (s *Sim) listAnswered(proxyIndex int32, fails bool, incarnation int32) {
	proxy := &s.proxies[proxyIndex]
	if !proxy.alive || proxy.incarnation != incarnation {
		return
	}
	if fails {
		proxy.watching = false
		s.apply(proxyIndex, proxy.agent.List(time.Duration(s.now), balance.ListFailed, nil, s.actions[:0]))
		return
	}
	proxy.watching = true
	registry := &s.registry
	visible := registry.version() // the newest change that is old enough to be delivered
	deliverable := s.now - int64(s.scenario.Discovery.Delay) - registry.lag
	for visible > proxy.version && registry.changes[visible-1].at > deliverable {
		visible--
	}
	s.sendDeltas(proxyIndex, visible, true)
}

// deliverChanges delivers the changes up to a version to a proxy that watches.
func (s *Sim) deliverChanges(proxyIndex int32, version uint64) {
	if proxy := &s.proxies[proxyIndex]; proxy.alive && (proxy.watching || s.registry.push) {
		s.sendDeltas(proxyIndex, version, false)
	}
}

// sendDeltas delivers the changes after the proxy's version up to another; no changes only if empty is set.
func (s *Sim) sendDeltas(proxyIndex int32, version uint64, empty bool) {
	proxy := &s.proxies[proxyIndex]
	if version <= proxy.version && !empty {
		return
	}
	var list []balance.Server
	for ; proxy.version < version; proxy.version++ {
		entry := s.registry.changes[proxy.version].entry
		list = append(list, entry)
		if proxy.withdrawnAt == nil {
			proxy.withdrawnAt = map[int32]int64{}
		}
		server := int32(entry.ID) - 1
		if entry.State == balance.Up {
			delete(proxy.withdrawnAt, server)
		} else if _, known := proxy.withdrawnAt[server]; !known {
			proxy.withdrawnAt[server] = s.now
		}
	}
	s.apply(proxyIndex, proxy.agent.List(time.Duration(s.now), balance.ListDelta, list, s.actions[:0]))
}
