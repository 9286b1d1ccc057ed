package pending

import "time"

// Stats report how much of this member's usage is committed, and how much would be lost with this process
// or with this machine's disk.
type Stats struct {
	Counted     int64   `json:"counted"`       // answers counted since the start or found in the outbox then
	Committed   int64   `json:"promised"`      // answers committed by the group
	Queued      int64   `json:"waiting"`       // answers in batches not committed: lost with this machine's disk
	InMemory    int64   `json:"in_memory"`     // answers not in the outbox yet: lost with this process
	OldestMS    int64   `json:"oldest_ms"`     // age of the oldest usage that isn't committed
	Batches     int64   `json:"batches"`       // committed batches
	Attempts    int64   `json:"tries"`         // proposals to the group
	Duplicates  int64   `json:"again"`         // committed batches that the group had counted before
	Lost        int64   `json:"lost"`          // answers in batches that the group will never count
	FileErrors  int64   `json:"file_errors"`   // failed writes of the outbox
	CommitP50MS float64 `json:"commit_p50_ms"` // from the first attempt of a batch to its commit
	CommitP99MS float64 `json:"commit_p99_ms"`
	CommitMaxMS float64 `json:"commit_max_ms"`
}

// Stats returns the current numbers.
func (r *Recorder) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats
	stats.InMemory = r.current.answers + r.writing.answers
	switch {
	case len(r.queue) > 0:
		stats.OldestMS = time.Since(r.queue[0].createdAt).Milliseconds()
	case r.writing.answers > 0:
		stats.OldestMS = time.Since(r.writing.createdAt).Milliseconds()
	case r.current.answers > 0:
		stats.OldestMS = time.Since(r.current.since).Milliseconds()
	}
	stats.CommitP50MS = millis(r.commitLatency.ValueAtQuantile(50))
	stats.CommitP99MS = millis(r.commitLatency.ValueAtQuantile(99))
	stats.CommitMaxMS = millis(r.maxLatency.Microseconds())
	return stats
}

// millis converts microseconds to milliseconds.
func millis(micros int64) float64 { return float64(micros) / 1000 }
