package pending

import (
	"context"
	"time"

	"cresshub/internal/cluster/ledger"
)

const (
	// proposeTimeout bounds the duration of one proposal.
	proposeTimeout = 2 * time.Second
	// minBackoff is the first backoff between two attempts to commit a batch. It doubles up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// runSender proposes the queued batches in their order, each until the group has answered.
func (r *Recorder) runSender() {
	for {
		batch, ok := r.nextBatch()
		if !ok || !r.send(batch) {
			return
		}
	}
}

// nextBatch waits for a batch and returns the one at the head of the queue, false once the recorder is
// closed.
func (r *Recorder) nextBatch() (queuedBatch, bool) {
	for {
		r.mu.Lock()
		if len(r.queue) > 0 {
			batch := r.queue[0]
			r.mu.Unlock()
			return batch, true
		}
		r.mu.Unlock()
		select {
		case <-r.queued:
		case <-r.ctx.Done():
			return queuedBatch{}, false
		}
	}
}

// send proposes a batch until the group has answered. It returns false once the recorder is closed.
func (r *Recorder) send(batch queuedBatch) bool {
	startedAt := time.Now()
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result, err := r.propose(batch)
		if err == nil {
			r.handleResult(batch, result, time.Since(startedAt))
			return true
		}
		r.opts.Log.Debug("ledger: batch not committed, will be retried", "err", err)
		select {
		case <-time.After(backoff):
		case <-r.ctx.Done():
			return false
		}
	}
}

// propose makes one attempt to commit a batch, and counts the attempt.
func (r *Recorder) propose(batch queuedBatch) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(r.ctx, proposeTimeout)
	defer cancel()
	result, err := r.opts.Propose(ctx, batch.raw)
	r.mu.Lock()
	r.stats.Attempts++
	r.mu.Unlock()
	return result, err
}

// handleResult removes the batch from the head of the queue and counts it by its result. latency is the
// time since its first attempt.
func (r *Recorder) handleResult(batch queuedBatch, result ledger.Result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = r.queue[1:]
	r.queuedBytes -= int64(len(batch.raw))
	r.stats.Queued -= batch.answers
	if batch.key != 0 {
		r.committedKeys = append(r.committedKeys, batch.key)
	}
	switch result.Status {
	case ledger.StatusCounted, ledger.StatusDuplicate:
		if result.Status == ledger.StatusDuplicate {
			r.stats.Duplicates++
		}
		r.stats.Committed += batch.answers
		r.stats.Batches++
		r.recordLatency(latency)
	default:
		r.stats.Lost += batch.answers
		r.opts.Log.Error("ledger: batch rejected for good", "answers", batch.answers, "result", result.String())
	}
}

// recordLatency records the commit latency of a batch. The caller holds r.mu.
func (r *Recorder) recordLatency(latency time.Duration) {
	r.maxLatency = max(r.maxLatency, latency)
	// RecordValue can't fail, since the value is within the histogram's range.
	_ = r.commitLatency.RecordValue(min(latency, maxCommitLatency).Microseconds())
}
