package routerstandin

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// KindTally is what has become of the requests of one kind. Times are in milliseconds, from a request's first
// attempt to its answer, of a stream to the first event.
type KindTally struct {
	Kind        string  `json:"kind"`
	Asked       int     `json:"asked"`
	InTime      int     `json:"in_time"`
	Late        int     `json:"late"`
	Rejected    int     `json:"rejected"`
	Failed      int     `json:"failed"`
	Interrupted int     `json:"interrupted,omitempty"` // by the end of the trial
	Attempts    int     `json:"attempts"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`

	latencies []time.Duration
}

// Served is how many were answered with success.
func (t *KindTally) Served() int { return t.InTime + t.Late }

// Tally counts results by kind. Its methods are safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	kinds  []string
	byKind map[string]*KindTally

	reasons map[string]int
}

// NewTally returns a tally of those kinds.
func NewTally(kinds []*Kind) *Tally {
	t := &Tally{byKind: map[string]*KindTally{}, reasons: map[string]int{}}
	for _, kind := range kinds {
		t.kinds = append(t.kinds, kind.Name)
		t.byKind[kind.Name] = &KindTally{Kind: kind.Name}
	}
	return t
}

func (t *Tally) recordAsked(kind *Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byKind[kind.Name].Asked++
}

func (t *Tally) add(r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.byKind[r.Kind.Name]
	k.Attempts += r.Attempts
	switch {
	case r.Outcome == Interrupted:
		k.Interrupted++
	case r.Outcome == Rejected:
		k.Rejected++
	case r.Outcome == Failed:
		k.Failed++
	case r.InTime:
		k.InTime++
	default:
		k.Late++
	}
	switch r.Outcome {
	case Served:
		k.latencies = append(k.latencies, r.Latency)
	case Rejected, Failed:
		t.reasons[r.Kind.Name+": "+r.Reason]++
	}
}

// Reason is why requests of a kind were not served, and how many.
type Reason struct {
	Count int    `json:"count"`
	Text  string `json:"text"`
}

// Reasons returns why requests were not served, the most frequent first.
func (t *Tally) Reasons() []Reason {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []Reason{}
	for text, count := range t.reasons {
		all = append(all, Reason{count, text})
	}
	slices.SortFunc(all, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Text, b.Text))
	})
	return all
}

// Kinds returns the counts of each kind.
func (t *Tally) Kinds() []KindTally {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []KindTally
	for _, name := range t.kinds {
		k := *t.byKind[name]
		sorted := slices.Sorted(slices.Values(k.latencies))
		k.P50, k.P99 = percentile(sorted, 50), percentile(sorted, 99)
		k.latencies = nil
		all = append(all, k)
	}
	return all
}

// Total returns the counts of all kinds together, without times.
func (t *Tally) Total() KindTally {
	total := KindTally{Kind: "all"}
	for _, k := range t.Kinds() {
		total.Asked += k.Asked
		total.InTime += k.InTime
		total.Late += k.Late
		total.Rejected += k.Rejected
		total.Failed += k.Failed
		total.Interrupted += k.Interrupted
		total.Attempts += k.Attempts
	}
	return total
}

// percentile returns a percentile of sorted values in ms.
func percentile(sorted []time.Duration, hundredths int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(len(sorted)*hundredths/100, len(sorted)-1)
	return float64(sorted[at].Microseconds()) / 1000
}
