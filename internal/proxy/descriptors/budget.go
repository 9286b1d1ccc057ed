// Package descriptors keeps the program under its limit on descriptors.
package descriptors

import "sync"

// reserved are the descriptors outside the budget: standard streams, the poller, the listener, files
// opened in passing, and room to turn a client away with an answer.
const reserved = 24

// Side is who a connection is for.
type Side int

// The two sides.
const (
	Clients Side = iota // the application
	Servers             // zone servers and discovery
)

// Budget counts the open connections of both sides together.
type Budget struct {
	mu                              sync.Mutex
	limit                           int
	sideLimits                      [2]int // for each side
	crowdedAt                       int    // places of clients
	used                            [2]int
	reclaim                         [2]func() bool
	clientFraction, crowdedFraction float64 // the parts that the two above are of the limit
}

// NewBudget returns the budget of a process that may hold so many descriptors. Clients get a part of the
// places, for a request that is in but cannot get out only holds one; beyond the part crowded of all
// places they count as many.
func NewBudget(descriptors int, clientFraction, crowdedFraction float64) *Budget {
	b := &Budget{clientFraction: clientFraction, crowdedFraction: crowdedFraction}
	b.setLimits(descriptors)
	return b
}

func (b *Budget) setLimits(descriptors int) {
	b.limit = max(descriptors-reserved, 8)
	part := func(of float64) int { return int(of*float64(b.limit) + 1e-9) }
	b.sideLimits = [2]int{Clients: part(b.clientFraction), Servers: b.limit}
	b.crowdedAt = part(b.crowdedFraction)
}

// Resize changes how many descriptors the process may hold. Of what is beyond that, idle connections close
// at once and the others as they end.
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

// SetReclaim sets how to close one idle connection of a side; it gives its place back before it returns true.
func (b *Budget) SetReclaim(side Side, closeOne func() bool) { b.reclaim[side] = closeOne }

// Acquire takes a place for a connection.
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
		// A side that has all it may have makes room itself, so that a flood of clients does not cost the
		// connections to servers.
		if !(!sideFull && b.reclaimOne(Servers)) && !b.reclaimOne(Clients) {
			return false
		}
	}
}

// Crowded tells whether clients hold more than the part that counts as many. They, too, hold only so many
// connections, and some keep each for good after one request: what rests then keeps their next ones out.
func (b *Budget) Crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Clients] > b.crowdedAt
}

func (b *Budget) reclaimOne(side Side) bool { return b.reclaim[side] != nil && b.reclaim[side]() }

// Release returns a place.
func (b *Budget) Release(side Side) {
	b.mu.Lock()
	b.used[side]--
	b.mu.Unlock()
}
