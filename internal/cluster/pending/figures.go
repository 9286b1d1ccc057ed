package pending

import (
	"time"
)

// Stats say how much is promised and how much is not.
type Stats struct {
	Counted     int64   `json:"counted"`       // answers since the start, with what waited from an earlier life
	Committed   int64   `json:"promised"`      // of them committed
	Queued      int64   `json:"waiting"`       // in the file, not committed: lost with this machine's disk
	InMemory    int64   `json:"in_memory"`     // since the last flush: lost with this process
	OldestMS    int64   `json:"oldest_ms"`     // how long the oldest count is unpromised
	Batches     int64   `json:"batches"`       // committed
	Attempts    int64   `json:"tries"`         // calls on the group
	Duplicates  int64   `json:"again"`         // batches that the group had counted before
	Lost        int64   `json:"lost"`          // answers whose batch the group will never count
	FileErrors  int64   `json:"file_errors"`   // flushes that the disk did not take
	CommitP50MS float64 `json:"commit_p50_ms"` // from a batch's first try to its commit
	CommitP99MS float64 `json:"commit_p99_ms"`
	CommitMaxMS float64 `json:"commit_max_ms"`
}

// Stats are as of now.
func (r *Recorder) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats
	stats.InMemory = r.currentAnswers
	oldest := time.Time{}
	if len(r.queue) > 0 {
		oldest = r.queue[0].createdAt
	} else if r.currentAnswers > 0 {
		oldest = r.currentSince
	}
	if !oldest.IsZero() {
		stats.OldestMS = time.Since(oldest).Milliseconds()
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	stats.CommitP50MS, stats.CommitP99MS = ms(r.commitLatency.ValueAtQuantile(50)),
		ms(r.commitLatency.ValueAtQuantile(99))
	stats.CommitMaxMS = ms(r.commitLatency.Max())
	return stats
}
