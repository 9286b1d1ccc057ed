package pending

import (
	"time"

	"cresshub/internal/cluster/ledger"
)

// runFlusher flushes at each interval and once more at the end.
func (r *Recorder) runFlusher() {
	defer r.wg.Done()
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

// flush cuts a batch from the current usage, adds it to the outbox, deletes committed batches there, and
// queues the batch. A batch that the disk doesn't take is queued all the same: once committed it is as safe
// as any.
func (r *Recorder) flush() {
	r.mu.Lock()
	committed := r.committedKeys
	var batch queuedBatch
	switch full := r.queuedBytes >= r.opts.MaxQueuedBytes || len(r.queue) >= maxQueuedBatches; {
	case full:
		r.current.dropIDs()
	case r.current.answers > 0:
		batch = r.sealBatch()
	}
	r.mu.Unlock()
	if batch.raw == nil && len(committed) == 0 {
		return
	}
	err := r.write(batch, committed)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.committedKeys = r.committedKeys[len(committed):]
	} else {
		r.stats.FileErrors++
		if r.stats.FileErrors == 1 {
			r.opts.Log.Error("ledger: outbox not written, usage waits in memory", "err", err)
		}
		batch.key = 0
	}
	if batch.raw != nil {
		r.enqueue(batch)
	}
}

func (r *Recorder) write(batch queuedBatch, committed []uint64) error {
	if r.opts.Faults != nil {
		if err := r.opts.Faults.Sync(); err != nil {
			return err
		}
	}
	return r.outbox.write(batch, committed)
}

// sealBatch makes a batch of the current usage. The caller holds r.mu.
func (r *Recorder) sealBatch() queuedBatch {
	r.seq++
	r.lastKey++
	b := ledger.Batch{Member: r.opts.Member, Incarnation: r.incarnation, Seq: r.seq}
	for _, usage := range r.current.usage {
		b.Usage = append(b.Usage, *usage)
	}
	batch := queuedBatch{key: r.lastKey, raw: b.Encode(), answers: r.current.answers, createdAt: r.current.since}
	r.current = current{usage: map[ledger.Key]*ledger.KeyUsage{}}
	return batch
}

// enqueue hands a batch to the sender. The caller holds r.mu.
func (r *Recorder) enqueue(batch queuedBatch) {
	r.queue = append(r.queue, batch)
	r.queuedBytes += int64(len(batch.raw))
	r.stats.Queued += batch.answers
	select {
	case r.queued <- struct{}{}:
	default:
	}
}

// dropIDs sums up the answers that have a request id, so that the size is bounded by the number of keys.
// Further answers are counted without their id until the next batch.
func (c *current) dropIDs() {
	for _, u := range c.usage {
		for i := range u.IDs {
			u.Add(ledger.Usage{Count: 1, BytesIn: u.BytesInByID[i], BytesOut: u.BytesOutByID[i]})
		}
		u.IDs, u.BytesInByID, u.BytesOutByID = nil, nil, nil
	}
	c.ids = maxBatchIDs
}
