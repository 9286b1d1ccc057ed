package pending

import (
	"encoding/binary"
	"time"

	bolt "go.etcd.io/bbolt"

	"cresshub/internal/cluster/ledger"
)

func (r *Recorder) runFlusher() {
	defer r.wg.Done()
	tick := time.NewTicker(r.opts.FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.flush()
		case <-r.stopCh:
			r.flush()
			return
		}
	}
}

// flush makes a batch of what was counted, writes it to the file, and drops there what has been committed.
// Where the file does not take it, or too much waits, the counts stay in memory, summed up.
func (r *Recorder) flush() {
	r.mu.Lock()
	committed := r.committedKeys
	var batch queuedBatch
	if full := r.queuedBytes >= r.opts.MaxQueuedBytes ||
		len(r.queue) >= maxQueuedBatches; r.currentAnswers > 0 && !full {
		batch = r.sealBatch()
	} else if full {
		r.dropIDs()
	}
	r.mu.Unlock()
	if batch.raw == nil && len(committed) == 0 {
		return
	}
	err := r.write(batch, committed)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if r.stats.FileErrors++; r.stats.FileErrors == 1 {
			r.opts.Log.Error("ledger: counts are not written to the file of those that wait; they wait in memory",
				"err", err)
		}
		if batch.raw == nil {
			return
		}
		// Without the file the batch is sent all the same: committed, it is as safe as any.
		batch.key = 0
	} else {
		r.committedKeys = r.committedKeys[len(committed):]
	}
	if batch.raw != nil {
		r.queue = append(r.queue, batch)
		r.queuedBytes += int64(len(batch.raw))
		r.stats.Queued += batch.answers
		select {
		case r.queued <- struct{}{}:
		default:
		}
	}
}

// sealBatch makes a batch of what was counted since the last; r.mu is held.
func (r *Recorder) sealBatch() queuedBatch {
	r.seq++
	r.lastKey++
	b := ledger.Batch{Member: r.opts.Member, Incarnation: r.incarnation, Seq: r.seq}
	for _, a := range r.current {
		b.Usage = append(b.Usage, *a)
	}
	batch := queuedBatch{key: r.lastKey, raw: b.Encode(), answers: r.currentAnswers, createdAt: r.currentSince}
	r.current, r.currentAnswers, r.currentIDs = map[ledger.Key]*ledger.KeyUsage{}, 0, 0
	return batch
}

// dropIDs drops the ids of what was counted: what is left is bounded by the number of keys; r.mu is held.
func (r *Recorder) dropIDs() {
	for _, a := range r.current {
		for i := range a.IDs {
			a.Add(ledger.Usage{Count: 1, BytesIn: a.BytesInByID[i], BytesOut: a.BytesOutByID[i]})
		}
		a.IDs, a.BytesInByID, a.BytesOutByID = nil, nil, nil
	}
	r.currentIDs = maxBatchIDs // none until the next batch
}

func (r *Recorder) write(batch queuedBatch, committed []uint64) error {
	if r.opts.Faults != nil {
		if err := r.opts.Faults.Sync(); err != nil {
			return err
		}
	}
	return r.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(batchesBucket)
		for _, k := range committed {
			if err := b.Delete(binary.BigEndian.AppendUint64(nil, k)); err != nil {
				return err
			}
		}
		if batch.raw == nil {
			return nil
		}
		return b.Put(binary.BigEndian.AppendUint64(nil, batch.key), batch.raw)
	})
}
