package routersim

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// peerExchangeInterval is how often the proxies report to each other what they have in flight.
const peerExchangeInterval = 25 * time.Millisecond

// inFlightPeer is a policy that takes what the other proxies have in flight.
type inFlightPeer interface {
	TakeInFlightLoads(scope scheduler.LoadScope) []scheduler.InFlightLoad
	SetPeerLoad(now time.Duration, peers []scheduler.InFlightLoad, scope scheduler.LoadScope)
	TakeNewPrefixes() []scheduler.CachedPrefixes
	AddCachedPrefixes(added []scheduler.CachedPrefixes)
	MarkFleetStart(now time.Duration)
}

var _ inFlightPeer = (*scheduler.Scheduler)(nil)

// loadObserver is a policy that takes the loads that servers reported to other proxies.
type loadObserver interface {
	ObserveLoadAt(at time.Duration, server string, load scheduler.Load)
}

// reportToPeers reports a load that a server reported here to the other proxies, in scenarios with
// LoadExchangeDelay.
func (p *proxy) reportToPeers(server string, load scheduler.Load) {
	f := p.fleet
	if f.scenario.LoadExchangeDelay == 0 {
		return
	}
	at := f.clock.now
	f.clock.after(f.scenario.LoadExchangeDelay, func() {
		for _, other := range f.proxies {
			if observer, ok := other.policy.(loadObserver); ok && other != p {
				observer.ObserveLoadAt(at, server, load)
			}
		}
	})
}

// startPeerExchange schedules the exchanges between the proxies, from the start to the end of the run.
func (f *fleet) startPeerExchange() {
	for _, p := range f.proxies {
		if peer, ok := p.policy.(inFlightPeer); ok {
			peer.MarkFleetStart(f.clock.now)
		}
	}
	for at := time.Duration(0); at < f.scenario.Length; at += peerExchangeInterval {
		f.clock.after(at, f.exchangeInFlight)
	}
}

// exchangeInFlight collects what each proxy has in flight now, and the prefixes that it has sent to servers
// since the last time, and delivers them to the others after PeerLoadDelay.
func (f *fleet) exchangeInFlight() {
	ownLoads := make([]map[string]scheduler.InFlightLoad, len(f.proxies)) // by server
	newPrefixes := make([][]scheduler.CachedPrefixes, len(f.proxies))
	sums := map[string]scheduler.InFlightLoad{} // by server
	for i, p := range f.proxies {
		peer, ok := p.policy.(inFlightPeer)
		if !ok {
			return
		}
		ownLoads[i], newPrefixes[i] = map[string]scheduler.InFlightLoad{}, peer.TakeNewPrefixes()
		for _, load := range peer.TakeInFlightLoads(scheduler.AllServers) {
			ownLoads[i][load.Server] = load
			sums[load.Server] = addScaled(sums[load.Server], load, 1)
		}
	}
	f.clock.after(f.scenario.PeerLoadDelay, func() {
		for i, p := range f.proxies {
			peer := p.policy.(inFlightPeer)
			peer.SetPeerLoad(f.clock.now, loadsOfOthers(sums, ownLoads[i]), scheduler.AllServers)
			for j, prefixes := range newPrefixes {
				if j != i {
					peer.AddCachedPrefixes(prefixes)
				}
			}
		}
	})
}

// loadsOfOthers returns the sums less the loads of one proxy.
func loadsOfOthers(sums, ownLoads map[string]scheduler.InFlightLoad) []scheduler.InFlightLoad {
	others := make([]scheduler.InFlightLoad, 0, len(sums))
	for server, sum := range sums {
		sum.Server = server
		others = append(others, addScaled(sum, ownLoads[server], -1))
	}
	return others
}

// addScaled adds a load times a factor to another one.
func addScaled(to, load scheduler.InFlightLoad, factor int) scheduler.InFlightLoad {
	to.Prefill += time.Duration(factor) * load.Prefill
	to.Calls += factor * load.Calls
	return to
}
