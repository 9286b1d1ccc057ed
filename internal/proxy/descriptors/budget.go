// Package descriptors keeps the process under its limit on file descriptors, which clients and servers share.
// A Budget counts open connections; where it is exhausted it closes an idle one of the side that may spare
// it, so that neither a flood of clients nor idle connections to servers keep requests from being served.
package descriptors

import "sync"

// reserved are the descriptors outside the budget: standard streams, the poller, the listener, files opened
// in passing, and those on which a client is rejected with a response.
const reserved = 24

// Side is who a connection is for.
type Side int

// The two sides.
const (
	Clients Side = iota // connections from the application
	Servers             // connections to zone servers and discovery
)

// Budget counts the open connections of both sides together. Its methods may be called from any goroutine,
// except for SetReclaim, which is called before the first Acquire.
type Budget struct {
	clientFraction  float64
	crowdedFraction float64
	reclaim         [2]func() bool // by Side

	mu         sync.Mutex
	limit      int    // connections of both sides
	sideLimits [2]int // by Side
	crowdedAt  int    // connections of clients beyond which Crowded is true
	used       [2]int // by Side
}

// NewBudget returns the budget of a process that may hold so many descriptors. Clients get the fraction
// clientFraction of the connections at most, since a client whose request can't be sent on to a server only
// waits; Crowded is true beyond crowdedFraction.
func NewBudget(descriptors int, clientFraction, crowdedFraction float64) *Budget {
	b := &Budget{clientFraction: clientFraction, crowdedFraction: crowdedFraction}
	b.setLimits(descriptors)
	return b
}

func (b *Budget) setLimits(descriptors int) {
	b.limit = max(descriptors-reserved, 8)
	fraction := func(f float64) int { return int(f*float64(b.limit) + 1e-9) } // 0.3 of 10 is 3
	b.sideLimits = [2]int{Clients: fraction(b.clientFraction), Servers: b.limit}
	b.crowdedAt = fraction(b.crowdedFraction)
}

// Resize changes how many descriptors the process may hold. Where more are in use, idle connections close at
// once and the others as they end.
func (b *Budget) Resize(descriptors int) {
	b.mu.Lock()
	b.setLimits(descriptors)
	b.mu.Unlock()
	for {
		b.mu.Lock()
		over := b.used[Clients]+b.used[Servers] > b.limit
		b.mu.Unlock()
		if !over || !b.reclaimOne(Servers) && !b.reclaimOne(Clients) {
			return
		}
	}
}

// SetReclaim sets what closes one idle connection of a side. It calls Release before it returns true, and
// returns false where none is idle.
func (b *Budget) SetReclaim(side Side, closeOne func() bool) { b.reclaim[side] = closeOne }

// Acquire counts one more connection of a side, after closing an idle one where that is needed. It returns
// false where the budget is exhausted and nothing is idle.
func (b *Budget) Acquire(side Side) bool {
	for {
		b.mu.Lock()
		sideFull := b.used[side] >= b.sideLimits[side]
		full := b.used[Clients]+b.used[Servers] >= b.limit
		if !sideFull && !full {
			b.used[side]++
			b.mu.Unlock()
			return true
		}
		b.mu.Unlock()
		// Clients at their own limit cost only idle clients, so that a flood of them doesn't close the
		// connections to servers.
		reclaimed := !sideFull && b.reclaimOne(Servers) || b.reclaimOne(Clients)
		if !reclaimed {
			return false
		}
	}
}

// Crowded reports whether clients hold more than the fraction that counts as many. Clients have a limit on
// their connections, too, and some keep each open after its one request: idle ones then keep their next ones
// out.
func (b *Budget) Crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Clients] > b.crowdedAt
}

func (b *Budget) reclaimOne(side Side) bool { return b.reclaim[side] != nil && b.reclaim[side]() }

// Release counts one connection of a side less.
func (b *Budget) Release(side Side) {
	b.mu.Lock()
	b.used[side]--
	b.mu.Unlock()
}
