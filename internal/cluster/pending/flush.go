package pending

import (
	"encoding/binary"
	"time"

	bolt "go.etcd.io/bbolt"

	"cresshub/internal/cluster/ledger"
)

func (r *Recorder) flushing() {
	defer r.done.Done()
	tick := time.NewTicker(r.opt.Flush)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.flush()
		case <-r.stop:
			r.flush()
			return
		}
	}
}

// flush makes a batch of what was counted, writes it to the file, and drops there what has been committed.
// Where the file does not take it, or too much waits, the counts stay in memory, summed up.
func (r *Recorder) flush() {
	r.mu.Lock()
	acked := r.acked
	var w waiting
	if full := r.bytes >= r.opt.Most || len(r.queue) >= batchesMost; r.n > 0 && !full {
		w = r.take()
	} else if full {
		r.sumUp()
	}
	r.mu.Unlock()
	if w.raw == nil && len(acked) == 0 {
		return
	}
	err := r.write(w, acked)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if r.fig.FileErrors++; r.fig.FileErrors == 1 {
			r.opt.Log.Error("ledger: counts are not written to the file of those that wait; they wait in memory",
				"err", err)
		}
		if w.raw == nil {
			return
		}
		// Without the file the batch is sent all the same: committed, it is as safe as any.
		w.key = 0
	} else {
		r.acked = r.acked[len(acked):]
	}
	if w.raw != nil {
		r.queue = append(r.queue, w)
		r.bytes += int64(len(w.raw))
		r.fig.Waiting += w.n
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// take makes a batch of what was counted since the last; r.mu is held.
func (r *Recorder) take() waiting {
	r.seq++
	r.key++
	b := ledger.Batch{Member: r.opt.Member, Incarnation: r.inc, Seq: r.seq}
	for _, a := range r.now {
		b.Answers = append(b.Answers, *a)
	}
	w := waiting{key: r.key, raw: b.Encode(), n: r.n, born: r.since}
	r.now, r.n, r.ids = map[ledger.Key]*ledger.Answers{}, 0, 0
	return w
}

// sumUp drops the ids of what was counted: what is left is bounded by the number of keys; r.mu is held.
func (r *Recorder) sumUp() {
	for _, a := range r.now {
		for i := range a.IDs {
			a.Add(ledger.Sum{N: 1, In: a.Ins[i], Out: a.Outs[i]})
		}
		a.IDs, a.Ins, a.Outs = nil, nil, nil
	}
	r.ids = idsMost // none until the next batch
}

func (r *Recorder) write(w waiting, acked []uint64) error {
	if r.opt.Faults != nil {
		if err := r.opt.Faults.Sync(); err != nil {
			return err
		}
	}
	return r.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(batches)
		for _, k := range acked {
			if err := b.Delete(binary.BigEndian.AppendUint64(nil, k)); err != nil {
				return err
			}
		}
		if w.raw == nil {
			return nil
		}
		return b.Put(binary.BigEndian.AppendUint64(nil, w.key), w.raw)
	})
}
