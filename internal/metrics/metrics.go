// Package metrics has the counters and histograms of a program, and writes them in the text format of
// Prometheus.
//
// A client library is not used because it would bring an HTTP server and a registry, which cost each process
// more memory than all its metrics together. There is no registry here: an owner keeps its metrics as fields
// and adds them to a Page when one is asked for. Counters, families and histograms may be used by any
// goroutine; a Page by one.
package metrics

import (
	"sync"
	"sync/atomic"
	"time"
)

// Label qualifies a metric.
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
	keys     []string            // of counters, in the order in which they were first used
}

// With returns the counter for a set of labels. The values must come from a small, fixed set, because
// counters are never removed.
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

// histogramBounds are the inclusive upper bounds of a Histogram's buckets; one more bucket has no bound.
var histogramBounds = [...]time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// Histogram counts durations in buckets from 1 ms to 10 s. The zero value is ready for use.
type Histogram struct {
	buckets [len(histogramBounds) + 1]atomic.Int64
	sum     atomic.Int64 // nanoseconds
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
