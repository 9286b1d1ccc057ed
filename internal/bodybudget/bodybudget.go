// Package bodybudget bounds the memory that bodies of messages take, over all connections of the process.
// Who buffers a body reserves the memory first; who gets none forwards the body as a stream instead, so
// nobody waits for another's release. All methods are safe for concurrent use.
package bodybudget

import "sync/atomic"

// ChunkSize is how many bytes of a body a transfer moves at a time, where the budget has them.
const ChunkSize = 16 << 10

// fallbackChunkSize is the buffer of a transfer where the budget is spent, in bytes. It is not counted: the
// number of connections bounds it, and it is little beside what they take.
const fallbackChunkSize = 2 << 10

// Budget counts the bytes that bodies have reserved against a limit.
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

// Resize changes the limit, in bytes; what is reserved stays reserved.
func (b *Budget) Resize(bytes int64) { b.limit.Store(bytes) }

// Reserve reserves n bytes; it returns false, and reserves none, where the limit does not allow them all.
func (b *Budget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit.Load() {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release returns n bytes that were reserved.
func (b *Budget) Release(n int) { b.used.Add(int64(-n)) }

// Used is how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Buffer returns a buffer for a transfer, and the function that releases it.
func (b *Budget) Buffer() ([]byte, func()) {
	if !b.Reserve(ChunkSize) {
		return make([]byte, fallbackChunkSize), func() {}
	}
	return make([]byte, ChunkSize), func() { b.Release(ChunkSize) }
}
