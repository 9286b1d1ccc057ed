// Package sockets keeps the program under its limit on descriptors.
package sockets

import "sync"

// reserve are the descriptors outside the budget: standard streams, the poller, the listener, files
// opened in passing, and room to turn a client away with an answer.
const reserve = 24

// Budget counts the open connections of all sides together.
type Budget struct {
	mu      sync.Mutex
	limit   int
	used    int
	reclaim []func() bool
}

// NewBudget returns the budget of a process that may hold so many descriptors.
func NewBudget(descriptors int) *Budget { return &Budget{limit: max(descriptors-reserve, 8)} }

// OnShort adds a way to close one idle connection; it gives its place back before it returns true.
func (b *Budget) OnShort(closeOne func() bool) { b.reclaim = append(b.reclaim, closeOne) }

// Client takes a place for a client's connection. Clients leave a quarter of the places to the other
// side, for a request that is in but cannot get out only holds a place.
func (b *Budget) Client() bool { return b.take(b.limit - b.limit/4) }

// Outward takes a place for a connection to a zone server or discovery.
func (b *Budget) Outward() bool { return b.take(b.limit) }

func (b *Budget) take(below int) bool {
	for {
		b.mu.Lock()
		ok := b.used < below
		if ok {
			b.used++
		}
		b.mu.Unlock()
		if ok || !b.closeOne() {
			return ok
		}
	}
}

func (b *Budget) closeOne() bool {
	for _, f := range b.reclaim {
		if f() {
			return true
		}
	}
	return false
}

// Give returns a place.
func (b *Budget) Give() {
	b.mu.Lock()
	b.used--
	b.mu.Unlock()
}
