// Package bodybudget bounds the memory that message bodies take over all connections of the process. A
// connection reserves memory before it buffers a body. If the budget is exhausted, it forwards the body as a
// stream instead, so no connection waits until another releases memory. All methods of Budget are safe for
// concurrent use.
package bodybudget

import "sync/atomic"

// ChunkSize is the buffer size of a transfer in bytes, where the budget allows it.
const ChunkSize = 16 << 10

// fallbackChunkSize is the buffer size of a transfer in bytes where the budget is exhausted. These buffers do
// not count against the budget: the number of connections bounds them, and they are small beside the other
// memory of a connection.
const fallbackChunkSize = 2 << 10

// Budget counts the bytes that bodies have reserved against a limit.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewBudget returns a budget with a limit of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.Resize(bytes)
	return b
}

// Resize changes the limit to the given number of bytes. Existing reservations remain.
func (b *Budget) Resize(bytes int64) { b.limit.Store(bytes) }

// Reserve reserves n bytes. It returns false and reserves nothing if that would exceed the limit.
func (b *Budget) Reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit.Load() {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release releases n reserved bytes.
func (b *Budget) Release(n int) { b.used.Add(int64(-n)) }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Buffer returns a buffer for a transfer, and the function that releases its reservation.
func (b *Budget) Buffer() ([]byte, func()) {
	if !b.Reserve(ChunkSize) {
		return make([]byte, fallbackChunkSize), func() {}
	}
	return make([]byte, ChunkSize), func() { b.Release(ChunkSize) }
}
