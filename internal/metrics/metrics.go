// Package metrics provides counters and histograms, and writes them in the Prometheus text format.
//
// It does not use a client library, which would bring an HTTP server and a registry and so cost each process
// more memory than all its metrics together. There is no registry here: each component keeps its metrics as
// fields and adds them to a Page on each scrape. Counter, CounterFamily and Histogram are safe for concurrent
// use; a Page is not.
package metrics

import (
	"sync"
	"sync/atomic"
	"time"
)

// Label is one label of a metric.
type Label struct{ Name, Value string }

// Counter counts up from 0. The zero value is ready for use.
type Counter struct{ value atomic.Int64 }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Value returns the count.
func (c *Counter) Value() int64 { return c.value.Load() }

// CounterFamily is a set of counters that differ in the values of their labels. The zero value is ready for
// use.
type CounterFamily struct {
	mu       sync.Mutex
	counters map[string]*Counter // by rendered labels
	keys     []string            // keys of counters, in the order of their first use
}

// With returns the counter for a set of labels, and creates it on first use. The values must come from a
// small, fixed set, because counters are never removed.
func (f *CounterFamily) With(labels ...Label) *Counter {
	key := renderLabels(labels)
	f.mu.Lock()
	defer f.mu.Unlock()
	if counter := f.counters[key]; counter != nil {
		return counter
	}
	if f.counters == nil {
		f.counters = map[string]*Counter{}
	}
	counter := &Counter{}
	f.counters[key] = counter
	f.keys = append(f.keys, key)
	return counter
}

// Total returns the sum of all counters.
func (f *CounterFamily) Total() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total int64
	for _, counter := range f.counters {
		total += counter.Value()
	}
	return total
}

// histogramBounds are the inclusive upper bounds of a Histogram's buckets; a further bucket has none.
var histogramBounds = [...]time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// Histogram counts durations in buckets with upper bounds from 1 ms to 10 s, and one without. The zero value
// is ready for use.
type Histogram struct {
	buckets [len(histogramBounds) + 1]atomic.Int64 // counts of each bucket alone, not cumulative
	sum     atomic.Int64                           // nanoseconds
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	bucket := 0
	for bucket < len(histogramBounds) && d > histogramBounds[bucket] {
		bucket++
	}
	h.buckets[bucket].Add(1)
	h.sum.Add(int64(d))
}
