package proxystandin

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is what became of one request.
type Kind int

// The kinds of ends.
const (
	Served      Kind = iota // 200
	Refused                 // 429 or 503: trying again is harmless
	Failed                  // any other answer
	NoAnswer                // taken, and no answer until its deadline and the slack
	Unreachable             // it could not be sent
	NotSent                 // the load itself was short of connections
	kinds
)

// Outcome is the end of one request.
type Outcome struct {
	Class  *LoadClass
	Kind   Kind
	Took   time.Duration // from when it was due
	Server string        // that served it
	Wrong  bool          // the answer is to another request
	Second bool          // more than one answer came
}

// Tally counts ends. Its methods may be called from any goroutine.
type Tally struct {
	mu sync.Mutex
	t  Totals
	h  *hdrhistogram.Histogram
}

// Totals are the counts of a Tally.
type Totals struct {
	Offered      int
	By           [kinds]int
	InTime       int // served within the aim
	Worth, Asked float64
	Wrong        int // answers to another request
	Second       int // second answers
	Servers      map[string]int
	P50, P99     time.Duration // of served requests
	Max          time.Duration
	Lag          time.Duration // longest that the load itself sent late
}

// NewTally returns an empty one.
func NewTally() *Tally {
	return &Tally{
		t: Totals{Servers: map[string]int{}}, h: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
}

func (t *Tally) lag(d time.Duration) {
	t.mu.Lock()
	t.t.Lag = max(t.t.Lag, d)
	t.mu.Unlock()
}

// second counts an answer that came behind the one to its request.
func (t *Tally) second() {
	t.mu.Lock()
	t.t.Second++
	t.mu.Unlock()
}

func (t *Tally) add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.t
	s.Offered++
	s.By[o.Kind]++
	s.Asked += o.Class.Worth
	if o.Wrong {
		s.Wrong++
	}
	if o.Second {
		s.Second++
	}
	if o.Kind != Served {
		return
	}
	s.Servers[o.Server]++
	if o.Took <= o.Class.Aim {
		s.InTime++
		s.Worth += o.Class.Worth
	}
	t.h.RecordValue(max(o.Took.Microseconds(), 1)) // the range holds any request's time
}

// Totals returns the counts so far.
func (t *Tally) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.t
	s.Servers = maps.Clone(s.Servers)
	at := func(q float64) time.Duration { return time.Duration(t.h.ValueAtQuantile(q)) * time.Microsecond }
	s.P50, s.P99, s.Max = at(50), at(99), time.Duration(t.h.Max())*time.Microsecond
	return s
}
