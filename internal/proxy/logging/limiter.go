package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// limitedHandler drops records whose message repeats too often.
type limitedHandler struct {
	slog.Handler
	repeats *repeatLimiter
}

// Handle passes a record on with the number of records dropped before it, or drops it.
func (h *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	dropped, ok := h.repeats.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int64(Dropped, dropped))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler with attributes that shares the limits.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{h.Handler.WithAttrs(attrs), h.repeats}
}

// WithGroup returns a handler for a group that shares the limits.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{h.Handler.WithGroup(name), h.repeats}
}

// repeatLimiter limits the rate of records with the same message. Messages are constants of the program, so
// there are few; maxMessages bounds the memory in case one is formatted at run time by mistake.
type repeatLimiter struct {
	mu      sync.Mutex
	rate    float64 // records per second of each message; 0 is no limit
	buckets map[string]*bucket
}

// maxMessages bounds the number of token buckets; a new message beyond it resets all of them.
const maxMessages = 512

// bucket is the token bucket of one message: it gains repeatLimiter.rate tokens per second
// and holds as many, but at least 1.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	dropped    int64 // records since the last one that was allowed
}

func newRepeatLimiter() *repeatLimiter { return &repeatLimiter{buckets: map[string]*bucket{}} }

// setRate sets the limit of records per second of each message.
func (r *repeatLimiter) setRate(rate float64) {
	r.mu.Lock()
	r.rate = rate
	r.mu.Unlock()
}

// allow reports whether a record may be written, and how many were dropped before it.
func (r *repeatLimiter) allow(message string, now time.Time) (dropped int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate <= 0 || message == RequestMessage || message == CountersMessage {
		return 0, true
	}
	b := r.buckets[message]
	if b == nil {
		if len(r.buckets) >= maxMessages {
			clear(r.buckets)
		}
		b = &bucket{tokens: max(r.rate, 1), refilledAt: now}
		r.buckets[message] = b
	}
	b.tokens = min(b.tokens+r.rate*now.Sub(b.refilledAt).Seconds(), max(r.rate, 1))
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return 0, false
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}

// unreportedDrops returns how many dropped records no written record has reported yet.
func (r *repeatLimiter) unreportedDrops() (n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.buckets {
		n += b.dropped
	}
	return n
}
