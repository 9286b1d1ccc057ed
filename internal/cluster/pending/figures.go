package pending

import (
	"time"
)

// Figures say how much is promised and how much is not.
type Figures struct {
	Counted     int64   `json:"counted"`       // answers since the start, with what waited from an earlier life
	Promised    int64   `json:"promised"`      // of them committed
	Waiting     int64   `json:"waiting"`       // in the file, not committed: lost with this machine's disk
	InMemory    int64   `json:"in_memory"`     // since the last flush: lost with this process
	OldestMS    int64   `json:"oldest_ms"`     // how long the oldest count is unpromised
	Batches     int64   `json:"batches"`       // committed
	Tries       int64   `json:"tries"`         // calls on the group
	Again       int64   `json:"again"`         // batches that the group had counted before
	Lost        int64   `json:"lost"`          // answers whose batch the group will never count
	FileErrors  int64   `json:"file_errors"`   // flushes that the disk did not take
	CommitP50MS float64 `json:"commit_p50_ms"` // from a batch's first try to its commit
	CommitP99MS float64 `json:"commit_p99_ms"`
	CommitMaxMS float64 `json:"commit_max_ms"`
}

// Figures are as of now.
func (r *Recorder) Figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fig
	f.InMemory = r.n
	oldest := time.Time{}
	if len(r.queue) > 0 {
		oldest = r.queue[0].born
	} else if r.n > 0 {
		oldest = r.since
	}
	if !oldest.IsZero() {
		f.OldestMS = time.Since(oldest).Milliseconds()
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	f.CommitP50MS, f.CommitP99MS = ms(r.commit.ValueAtQuantile(50)), ms(r.commit.ValueAtQuantile(99))
	f.CommitMaxMS = ms(r.commit.Max())
	return f
}
