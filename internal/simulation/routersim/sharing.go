package routersim

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// shareInterval is how often proxies tell what they have under way.
const shareInterval = 25 * time.Millisecond

// loadSharer is a policy that hears what the other proxies have under way.
type loadSharer interface {
	InFlightChanges(all bool) []scheduler.InFlightLoad
	SetPeerLoad(now time.Duration, others []scheduler.InFlightLoad, whole bool)
	TakeNewPrefixes() []scheduler.CachedPrefixes
	AddCachedPrefixes(all []scheduler.CachedPrefixes)
	MarkFleetStart(now time.Duration)
}

// startSharing has the proxies tell each other, from the start to the end.
func (f *fleet) startSharing() {
	for _, p := range f.proxies {
		if s, ok := p.policy.(loadSharer); ok {
			s.MarkFleetStart(f.clock.now)
		}
	}
	for at := time.Duration(0); at < f.scenario.Length; at += shareInterval {
		f.clock.after(at, f.exchangeInFlight)
	}
}

// exchangeInFlight lets each proxy hear after a while what all others have under way now, and what they have
// sent to servers for the first time since the last call.
func (f *fleet) exchangeInFlight() {
	ownLoads := make([]map[string]scheduler.InFlightLoad, len(f.proxies))
	prompts := make([][]scheduler.CachedPrefixes, len(f.proxies))
	sum := map[string]scheduler.InFlightLoad{}
	for i, p := range f.proxies {
		s, ok := p.policy.(loadSharer)
		if !ok {
			return
		}
		ownLoads[i], prompts[i] = map[string]scheduler.InFlightLoad{}, s.TakeNewPrefixes()
		for _, one := range s.InFlightChanges(true) {
			ownLoads[i][one.Server] = one
			sum[one.Server] = addScaled(sum[one.Server], one, 1)
		}
	}
	f.clock.after(f.scenario.PeerLoadDelay, func() {
		for i, p := range f.proxies {
			f.deliver(p.policy.(loadSharer), i, sum, ownLoads[i], prompts)
		}
	})
}

// deliver tells one proxy the sum less its own part, and the others' prompts.
func (f *fleet) deliver(s loadSharer, number int, sum, ownLoads map[string]scheduler.InFlightLoad,
	prompts [][]scheduler.CachedPrefixes) {
	others := make([]scheduler.InFlightLoad, 0, len(sum))
	for server, all := range sum {
		all.Server = server
		others = append(others, addScaled(all, ownLoads[server], -1))
	}
	s.SetPeerLoad(f.clock.now, others, true)
	for i, told := range prompts {
		if i != number {
			s.AddCachedPrefixes(told)
		}
	}
}

// addScaled adds a contribution times a factor to another one.
func addScaled(to, one scheduler.InFlightLoad, times int) scheduler.InFlightLoad {
	to.Prefill += time.Duration(times) * one.Prefill
	to.Calls += times * one.Calls
	return to
}
