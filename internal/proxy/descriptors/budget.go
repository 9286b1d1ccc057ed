// Package descriptors keeps the process under its limit on file descriptors, which connections of clients and
// connections to servers share. A Budget counts open connections. Where it is exhausted it has an idle one
// closed, so that neither a flood of clients nor idle connections to servers keep requests from being served.
package descriptors

import "sync"

const (
	// reserved is the number of descriptors outside the budget: standard streams, the poller, the listener,
	// files that are open for a moment, and connections on which a client is rejected with a response.
	reserved = 24
	// minConnections is the smallest budget, whatever the limit of the process.
	minConnections = 8
	// roundingError makes up for that of a product of a fraction and a number.
	roundingError = 1e-9
)

// Side is who a connection is for.
type Side int

// The two sides.
const (
	Clients Side = iota // connections from the application
	Servers             // connections to zone servers and discovery
)

// Budget counts the open connections of both sides together. Its methods may be called from any goroutine,
// except for SetReclaim, which must be called before the first Acquire. It holds no lock while it has a
// connection closed.
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
// clientFraction of the connections at most, because their requests need connections to servers too; Crowded
// is true beyond crowdedFraction.
func NewBudget(descriptors int, clientFraction, crowdedFraction float64) *Budget {
	b := &Budget{clientFraction: clientFraction, crowdedFraction: crowdedFraction}
	b.setLimits(descriptors)
	return b
}

// setLimits sets the limits of a process that may hold so many descriptors. The lock is held, except in
// NewBudget.
func (b *Budget) setLimits(descriptors int) {
	b.limit = max(descriptors-reserved, minConnections)
	connections := func(fraction float64) int { // 0.3 of 10 is 3
		return int(fraction*float64(b.limit) + roundingError)
	}
	b.sideLimits = [2]int{Clients: connections(b.clientFraction), Servers: b.limit}
	b.crowdedAt = connections(b.crowdedFraction)
}

// Resize changes how many descriptors the process may hold. Where more are in use, idle connections are
// closed at once; the others are not, but no new one is acquired until enough have ended.
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
		// For clients at their own limit only idle clients are closed, so that a flood of clients doesn't close
		// connections to servers.
		reclaimed := !sideFull && b.reclaimOne(Servers) || b.reclaimOne(Clients)
		if !reclaimed {
			return false
		}
	}
}

// Crowded reports whether clients hold more than crowdedFraction of the connections, so that idle ones should
// be closed early. Some clients leave a connection open after each request and have a limit of their own on
// open connections: their idle connections would keep them from opening the next one.
func (b *Budget) Crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Clients] > b.crowdedAt
}

// reclaimOne closes one idle connection of a side; false where none is idle.
func (b *Budget) reclaimOne(side Side) bool { return b.reclaim[side] != nil && b.reclaim[side]() }

// Release counts one connection of a side less.
func (b *Budget) Release(side Side) {
	b.mu.Lock()
	b.used[side]--
	b.mu.Unlock()
}
