package proxystandin

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// OutcomeKind classifies what became of one request.
type OutcomeKind int

// The kinds of outcomes.
const (
	Served      OutcomeKind = iota // 200
	Refused                        // 429 or 503: a retry is harmless
	Failed                         // any other answer
	NoAnswer                       // sent, without an answer by its deadline and the slack
	Unreachable                    // it could not be sent
	NotSent                        // the load itself had no connection left
	outcomeKinds
)

// Outcome is the result of one request.
type Outcome struct {
	Class       *LoadClass
	Kind        OutcomeKind
	Latency     time.Duration // from its scheduled arrival
	Server      string        // the server that answered
	Mismatched  bool          // the answer belongs to another request
	ExtraAnswer bool          // more than one answer came
}

// Tally aggregates outcomes. Its methods may be called from any goroutine.
type Tally struct {
	mu        sync.Mutex
	totals    Totals
	latencies *hdrhistogram.Histogram
}

// Totals are the counts of a Tally.
type Totals struct {
	Offered                   int
	ByKind                    [outcomeKinds]int
	InTime                    int // served within the latency target
	ServedValue, OfferedValue float64
	Mismatched                int // answers that belong to another request
	ExtraAnswers              int // answers beyond the first
	Servers                   map[string]int
	P50, P99                  time.Duration // of served requests
	Max                       time.Duration
	Lag                       time.Duration // the most that the load itself was late in sending
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		totals:    Totals{Servers: map[string]int{}},
		latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
}

func (t *Tally) recordLag(d time.Duration) {
	t.mu.Lock()
	t.totals.Lag = max(t.totals.Lag, d)
	t.mu.Unlock()
}

// addExtraAnswer counts an answer that arrived after the one to its request.
func (t *Tally) addExtraAnswer() {
	t.mu.Lock()
	t.totals.ExtraAnswers++
	t.mu.Unlock()
}

func (t *Tally) add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.totals
	s.Offered++
	s.ByKind[o.Kind]++
	s.OfferedValue += o.Class.Value
	if o.Mismatched {
		s.Mismatched++
	}
	if o.ExtraAnswer {
		s.ExtraAnswers++
	}
	if o.Kind != Served {
		return
	}
	s.Servers[o.Server]++
	if o.Latency <= o.Class.LatencyTarget {
		s.InTime++
		s.ServedValue += o.Class.Value
	}
	// No request takes the hour that ends the range.
	_ = t.latencies.RecordValue(max(o.Latency.Microseconds(), 1))
}

// Totals returns the counts so far.
func (t *Tally) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.totals
	s.Servers = maps.Clone(s.Servers)
	at := func(q float64) time.Duration {
		return time.Duration(t.latencies.ValueAtQuantile(q)) * time.Microsecond
	}
	s.P50, s.P99, s.Max = at(50), at(99), time.Duration(t.latencies.Max())*time.Microsecond
	return s
}
