// Package descriptors keeps the program under its limit on descriptors.
package descriptors

import "sync"

// reserve are the descriptors outside the budget: standard streams, the poller, the listener, files
// opened in passing, and room to turn a client away with an answer.
const reserve = 24

// Side is who a connection is for.
type Side int

// The two sides.
const (
	Clients Side = iota // the application
	Servers             // zone servers and discovery
)

// Budget counts the open connections of both sides together.
type Budget struct {
	mu             sync.Mutex
	limit          int
	most           [2]int // for each side
	crowded        int    // places of clients
	used           [2]int
	reclaim        [2]func() bool
	clients, crowd float64 // the parts that the two above are of the limit
}

// NewBudget returns the budget of a process that may hold so many descriptors. Clients get a part of the
// places, for a request that is in but cannot get out only holds one; beyond the part crowded of all
// places they count as many.
func NewBudget(descriptors int, clients, crowded float64) *Budget {
	b := &Budget{clients: clients, crowd: crowded}
	b.set(descriptors)
	return b
}

func (b *Budget) set(descriptors int) {
	b.limit = max(descriptors-reserve, 8)
	part := func(of float64) int { return int(of*float64(b.limit) + 1e-9) }
	b.most = [2]int{Clients: part(b.clients), Servers: b.limit}
	b.crowded = part(b.crowd)
}

// Resize changes how many descriptors the process may hold. Of what is beyond that, idle connections close
// at once and the others as they end.
func (b *Budget) Resize(descriptors int) {
	b.mu.Lock()
	b.set(descriptors)
	b.mu.Unlock()
	for {
		b.mu.Lock()
		over := b.used[Clients]+b.used[Servers] > b.limit
		b.mu.Unlock()
		if !over || !b.close(Servers) && !b.close(Clients) {
			return
		}
	}
}

// OnShort sets how to close one idle connection of a side; it gives its place back before it returns true.
func (b *Budget) OnShort(side Side, closeOne func() bool) { b.reclaim[side] = closeOne }

// Take takes a place for a connection.
func (b *Budget) Take(side Side) bool {
	for {
		b.mu.Lock()
		short := b.used[side] >= b.most[side]
		full := b.used[Clients]+b.used[Servers] >= b.limit
		if !short && !full {
			b.used[side]++
			b.mu.Unlock()
			return true
		}
		b.mu.Unlock()
		// A side that has all it may have makes room itself, so that a flood of clients does not cost the
		// connections to servers.
		if !(!short && b.close(Servers)) && !b.close(Clients) {
			return false
		}
	}
}

// Crowded tells whether clients hold more than the part that counts as many. They, too, hold only so many
// connections, and some keep each for good after one request: what rests then keeps their next ones out.
func (b *Budget) Crowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[Clients] > b.crowded
}

func (b *Budget) close(side Side) bool { return b.reclaim[side] != nil && b.reclaim[side]() }

// Give returns a place.
func (b *Budget) Give(side Side) {
	b.mu.Lock()
	b.used[side]--
	b.mu.Unlock()
}
