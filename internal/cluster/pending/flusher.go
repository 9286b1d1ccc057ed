package pending

import (
	"time"

	"cresshub/internal/cluster/ledger"
)

// runFlusher flushes every Options.FlushInterval, and once more when the recorder is closed.
func (r *Recorder) runFlusher() {
	tick := time.NewTicker(r.opts.FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.flush()
		case <-r.ctx.Done():
			r.flush()
			return
		}
	}
}

// flush makes a batch of the current usage, adds it to the outbox, deletes committed batches there, and
// queues the batch. A batch that could not be written is queued all the same: once the group has committed
// it, it is as safe as any other. Only the flusher calls flush, and Close after the flusher has ended.
func (r *Recorder) flush() {
	batch, committed := r.takeBatch()
	if batch.raw == nil && len(committed) == 0 {
		return
	}
	err := r.write(batch, committed)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = queuedBatch{}
	if err == nil {
		r.committedKeys = r.committedKeys[len(committed):]
	} else {
		r.recordWriteError(err)
		batch.key = 0
	}
	if batch.raw != nil {
		r.enqueue(batch)
	}
}

// takeBatch makes a batch of the current usage. It returns the zero batch if there is no usage or too many
// batches are queued. It also returns the keys of the batches that were committed and are still in the
// outbox.
func (r *Recorder) takeBatch() (batch queuedBatch, committed []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queueFull := r.queuedBytes >= r.opts.MaxQueuedBytes || len(r.queue) >= maxQueuedBatches
	switch {
	case queueFull:
		r.current.dropIDs()
	case r.current.answers > 0:
		batch = r.makeBatch()
		r.writing = batch
	}
	return batch, r.committedKeys
}

// recordWriteError counts a failed write of the outbox, and logs only the first one. The caller holds r.mu.
func (r *Recorder) recordWriteError(err error) {
	r.stats.FileErrors++
	if r.stats.FileErrors == 1 {
		r.opts.Log.Error("ledger: outbox not written, usage waits in memory", "err", err)
	}
}

// write adds a batch to the outbox and deletes committed ones from it. The caller does not hold r.mu.
func (r *Recorder) write(batch queuedBatch, committed []uint64) error {
	if r.opts.Faults != nil {
		if err := r.opts.Faults.Sync(); err != nil {
			return err
		}
	}
	return r.outbox.write(batch, committed)
}

// makeBatch makes a batch of the current usage, and resets that. The caller holds r.mu.
func (r *Recorder) makeBatch() queuedBatch {
	r.seq++
	r.lastKey++
	content := ledger.Batch{Member: r.opts.Member, Incarnation: r.incarnation, Seq: r.seq}
	for _, usage := range r.current.usage {
		content.Usage = append(content.Usage, *usage)
	}
	batch := queuedBatch{
		key:       r.lastKey,
		raw:       content.Encode(),
		answers:   r.current.answers,
		createdAt: r.current.since,
	}
	r.current = current{usage: map[ledger.Key]*ledger.KeyUsage{}}
	return batch
}

// enqueue appends a batch to the queue of the sender, and wakes the sender. The caller holds r.mu.
func (r *Recorder) enqueue(batch queuedBatch) {
	r.queue = append(r.queue, batch)
	r.queuedBytes += int64(len(batch.raw))
	r.stats.Queued += batch.answers
	select {
	case r.queued <- struct{}{}:
	default:
	}
}

// dropIDs adds the answers with a request id to the sums of their keys and drops the ids, so that the size
// of the current usage is bounded by the number of keys. Further answers are counted without their ids
// until the next batch.
func (c *current) dropIDs() {
	for _, usage := range c.usage {
		for i := range usage.IDs {
			usage.Add(ledger.Usage{Count: 1, BytesIn: usage.BytesInByID[i], BytesOut: usage.BytesOutByID[i]})
		}
		usage.IDs, usage.BytesInByID, usage.BytesOutByID = nil, nil, nil
	}
	c.ids = maxBatchIDs
}
