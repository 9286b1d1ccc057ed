// Package descriptors keeps the process below its limit on file descriptors, which client connections and
// connections to servers share. A Budget counts open connections. When it is exhausted, it has an idle
// connection closed, so that neither a flood of clients nor idle connections to servers prevent requests from
// being served.
package descriptors

import "sync"

const (
	// reservedDescriptors is the number of descriptors outside the budget: standard streams, the poller, the
	// listener, files that are open for a short time, and connections on which a client is rejected with a
	// response.
	reservedDescriptors = 24
	// minConnections is the smallest budget, however low the limit of the process is.
	minConnections = 8
	// roundingTolerance is added to a product before it is truncated, which rounding may have left just below a
	// whole number.
	roundingTolerance = 1e-9
)

// Side tells the proxy's connections from clients and those to servers apart.
type Side int

// The two sides.
const (
	Clients Side = iota // connections from clients
	Servers             // connections to zone servers and discovery
)

// Budget limits the number of open connections, for both sides together and for each. Its methods may be
// called from any goroutine, except for SetReclaim, which must be called before the first Acquire. It holds
// no lock while it calls the functions set by SetReclaim.
type Budget struct {
	clientFraction  float64
	crowdedFraction float64
	reclaim         [2]func() bool // by Side

	mu         sync.Mutex
	limit      int    // maximum number of connections of both sides together
	sideLimits [2]int // maximum number of connections, by Side
	crowdedAt  int    // number of client connections above which Crowded returns true
	used       [2]int // number of open connections, by Side
}

// NewBudget returns the budget of a process that may have descriptors open file descriptors. Client
// connections may use at most clientFraction of the budget, because their requests need connections to
// servers too. Crowded returns true when they use more than crowdedFraction.
func NewBudget(descriptors int, clientFraction, crowdedFraction float64) *Budget {
	b := &Budget{clientFraction: clientFraction, crowdedFraction: crowdedFraction}
	b.setLimits(descriptors)
	return b
}

// setLimits derives all limits from the number of descriptors that the process may have open. The caller
// holds the lock, except in NewBudget.
func (b *Budget) setLimits(descriptors int) {
	b.limit = max(descriptors-reservedDescriptors, minConnections)
	connections := func(fraction float64) int { // e.g. 3 for 0.3 of 10
		return int(fraction*float64(b.limit) + roundingTolerance)
	}
	b.sideLimits = [2]int{Clients: connections(b.clientFraction), Servers: b.limit}
	b.crowdedAt = connections(b.crowdedFraction)
}

// Resize changes the number of descriptors that the process may have open. If more connections than that
// allows are in use, idle ones are closed at once. Others stay open, but Acquire grants no new ones until
// enough have ended.
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

// SetReclaim sets the function that closes one idle connection of a side. closeOne must call Release before
// it returns true, and returns false if no connection is idle.
func (b *Budget) SetReclaim(side Side, closeOne func() bool) { b.reclaim[side] = closeOne }

// Acquire counts one more connection of a side, and first has idle connections closed if that is needed. It
// returns false if the budget is exhausted and no connection may be closed for it.
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
		// When clients are at their own limit, only idle client connections are closed, so that a flood of
		// clients doesn't close connections to servers.
		reclaimed := !sideFull && b.reclaimOne(Servers) || b.reclaimOne(Clients)
		if !reclaimed {
			return false
		}
	}
}

// Crowded reports whether client connections use more than crowdedFraction of the budget, so that idle ones
// should be closed early. Some clients leave a connection open after each request, and have a limit of their
// own on open connections: their idle connections would keep them from opening the next one.
func (b *Budget) Crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Clients] > b.crowdedAt
}

// reclaimOne closes one idle connection of a side. It returns false if none is idle.
func (b *Budget) reclaimOne(side Side) bool { return b.reclaim[side] != nil && b.reclaim[side]() }

// Release records that a connection of a side was closed.
func (b *Budget) Release(side Side) {
	b.mu.Lock()
	b.used[side]--
	b.mu.Unlock()
}
