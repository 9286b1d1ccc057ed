// Package bodybudget bounds the memory that bodies of messages take, over all connections of the process.
// What is kept of a body is taken from the budget first; who gets nothing there streams instead, so nobody
// waits for another's place.
package bodybudget

import "sync/atomic"

// ChunkSize is how much of a body a transfer moves at a time, where the budget has it.
const ChunkSize = 16 << 10

// fallbackChunkSize is what a transfer works with where the budget is spent. It is not counted: the number of
// connections bounds it, beside which it is little.
const fallbackChunkSize = 2 << 10

// Budget is the bytes that bodies may take.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.Resize(bytes)
	return b
}

// Resize changes the limit; what was taken stays taken.
func (b *Budget) Resize(bytes int64) { b.limit.Store(bytes) }

// Reserve takes n bytes, or none and returns false.
func (b *Budget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit.Load() {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release gives n bytes back.
func (b *Budget) Release(n int) { b.used.Add(int64(-n)) }

// Used is how many bytes are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Buffer returns room for a transfer and what gives it back.
func (b *Budget) Buffer() ([]byte, func()) {
	if !b.Reserve(ChunkSize) {
		return make([]byte, fallbackChunkSize), func() {}
	}
	return make([]byte, ChunkSize), func() { b.Release(ChunkSize) }
}
