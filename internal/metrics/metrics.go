// Package metrics holds a program's figures and writes them in the text format that Prometheus and its kin
// read. A client library would bring the packages of its HTTP server with it, which cost each process more
// memory than all figures together.
package metrics

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// ContentType is the media type of a page.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Label qualifies a figure.
type Label struct{ Name, Value string }

// Counter counts up from 0. The zero value is ready.
type Counter struct{ value atomic.Int64 }

// Add counts n more.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Value returns the count.
func (c *Counter) Value() int64 { return c.value.Load() }

// CounterFamily is a set of counters that differ in the values of their labels. The zero value is ready.
type CounterFamily struct {
	mu       sync.Mutex
	counters map[string]*Counter // by rendered labels
	keys     []string
}

// With returns the counter for a set of labels. The values must come from a small, fixed set.
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

// histogramBounds are the upper ends of a Histogram's buckets.
var histogramBounds = [...]time.Duration{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond,
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// Histogram counts durations by size. The zero value is ready.
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

// Page collects figures as text. Figures of one name have to follow each other.
type Page struct {
	text     []byte
	lastName string // the name that was last described
}

// Text returns the page.
func (p *Page) Text() []byte { return p.text }

// Counter writes a figure that only rises while the process runs.
func (p *Page) Counter(name, help string, value int64, labels ...Label) {
	p.describe(name, help, "counter")
	p.sample(name, renderLabels(labels), strconv.FormatInt(value, 10))
}

// Gauge writes a figure that is true now.
func (p *Page) Gauge(name, help string, value float64, labels ...Label) {
	p.describe(name, help, "gauge")
	p.sample(name, renderLabels(labels), formatFloat(value))
}

// Flag writes 1 where a condition holds now, else 0.
func (p *Page) Flag(name, help string, holds bool, labels ...Label) {
	value := 0.0
	if holds {
		value = 1
	}
	p.Gauge(name, help, value, labels...)
}

// CounterFamily writes all counters of a family.
func (p *Page) Family(name, help string, family *CounterFamily) {
	p.describe(name, help, "counter")
	family.mu.Lock()
	defer family.mu.Unlock()
	for _, key := range family.keys {
		p.sample(name, key, strconv.FormatInt(family.counters[key].Value(), 10))
	}
}

// Histogram writes the durations of a histogram in seconds.
func (p *Page) Histogram(name, help string, h *Histogram) {
	p.describe(name, help, "histogram")
	var count int64
	for bucket := range h.buckets {
		count += h.buckets[bucket].Load()
		upperBound := "+Inf"
		if bucket < len(histogramBounds) {
			upperBound = formatFloat(histogramBounds[bucket].Seconds())
		}
		p.sample(name+"_bucket", renderLabels([]Label{{"le", upperBound}}), strconv.FormatInt(count, 10))
	}
	p.sample(name+"_sum", "", formatFloat(time.Duration(h.sum.Load()).Seconds()))
	p.sample(name+"_count", "", strconv.FormatInt(count, 10))
}

func (p *Page) describe(name, help, kind string) {
	if p.lastName == name {
		return
	}
	p.lastName = name
	p.text = append(p.text, "# HELP "+name+" "+help+"\n# TYPE "+name+" "+kind+"\n"...)
}

func (p *Page) sample(name, labels, value string) {
	p.text = append(p.text, name+labels+" "+value+"\n"...)
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

// renderLabels lays labels out as they stand behind a name.
func renderLabels(labels []Label) string {
	if len(labels) == 0 {
		return ""
	}
	text := []byte{'{'}
	for i, label := range labels {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, label.Name...)
		text = append(text, '=', '"')
		text = appendEscaped(text, label.Value)
		text = append(text, '"')
	}
	return string(append(text, '}'))
}

// appendEscaped appends a label's value with the three escapes that the format knows.
func appendEscaped(text []byte, value string) []byte {
	for i := range len(value) {
		switch c := value[i]; c {
		case '\n':
			text = append(text, '\\', 'n')
		case '"', '\\':
			text = append(text, '\\', c)
		default:
			text = append(text, c)
		}
	}
	return text
}
