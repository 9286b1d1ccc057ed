// Package pending carries this member's counts to the ledger's group: it sums them, keeps each batch in a
// file of its own until the group has committed it, and sends it again until then. A count is promised once
// its batch is committed; what is not promised is told by Figures.
package pending

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"cresshub/internal/cluster/ledger"
)

const (
	idsMost     = 20_000 // ids of one batch; more wait for the next, see Count
	batchesMost = 4096   // batches that wait for the group; beyond, counts sum up in memory without ids
	tryFor      = 2 * time.Second
	restLeast   = 20 * time.Millisecond
	restMost    = time.Second
)

// Faults has the disk fail, for tests and the laboratory.
type Faults interface{ Sync() error }

// Options are what a Recorder is told.
type Options struct {
	Member string
	Dir    string // folder of its own, on a disk that lasts
	Flush  time.Duration
	Most   int64 // bytes of waiting batches on disk; beyond, counts sum up in memory without ids
	Faults Faults
	Log    *slog.Logger
	// Propose has a batch committed and says what became of it.
	Propose func(ctx context.Context, batch []byte) (ledger.Result, error)
}

// waiting is a batch that is not committed yet.
type waiting struct {
	key  uint64 // in the file
	raw  []byte
	n    int64
	born time.Time
}

// Recorder collects and sends this member's counts. Its methods may be called from any goroutine.
type Recorder struct {
	opt Options
	db  *bolt.DB
	inc uint64

	mu     sync.Mutex
	now    map[ledger.Key]*ledger.Answers // since the last flush
	since  time.Time                      // of the first of them
	n, ids int64
	seq    uint64
	queue  []waiting
	bytes  int64
	acked  []uint64 // keys committed and still in the file
	key    uint64
	fig    Figures
	commit *hdrhistogram.Histogram // us

	wake chan struct{}
	stop chan struct{}
	done sync.WaitGroup
	once sync.Once
}

var (
	batches = []byte("batches")
	meta    = []byte("meta")
)

// Open opens the file of waiting batches and reads what an earlier life left in it.
func Open(o Options) (*Recorder, error) {
	if o.Member == "" || o.Flush <= 0 || o.Most <= 0 {
		return nil, errors.New("ledger.flush and ledger.outbox must be above zero")
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(o.Dir, "outbox.db")
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s is held by another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w; moved away, the counts in it that were not promised are lost", path, err)
	}
	r := &Recorder{opt: o, db: db, now: map[ledger.Key]*ledger.Answers{}, wake: make(chan struct{}, 1),
		stop: make(chan struct{}), commit: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	if err := r.load(); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// load reads what waits and begins a new incarnation: above the last, and above the wall clock's time so that
// one whose file is lost does not come back as one that was.
func (r *Recorder) load() error {
	return r.db.Update(func(tx *bolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(meta)
		if err != nil {
			return err
		}
		if raw := m.Get([]byte("incarnation")); len(raw) == 8 {
			r.inc = binary.BigEndian.Uint64(raw)
		}
		r.inc = max(r.inc+1, uint64(time.Now().UnixMilli()))
		if err := m.Put([]byte("incarnation"), binary.BigEndian.AppendUint64(nil, r.inc)); err != nil {
			return err
		}
		b, err := tx.CreateBucketIfNotExists(batches)
		if err != nil {
			return err
		}
		return b.ForEach(func(k, v []byte) error {
			batch, err := ledger.DecodeBatch(v)
			if err != nil {
				return fmt.Errorf("batch %x: %w", k, err)
			}
			r.key = binary.BigEndian.Uint64(k)
			n := answersOf(batch)
			r.queue = append(r.queue, waiting{r.key, append([]byte(nil), v...), n, time.Now()})
			r.bytes += int64(len(v))
			r.fig.Counted += n
			r.fig.Waiting += n
			return nil
		})
	})
}

func answersOf(b *ledger.Batch) (n int64) {
	for i := range b.Answers {
		n += b.Answers[i].N + int64(len(b.Answers[i].IDs))
	}
	return n
}

// Incarnation is this life's.
func (r *Recorder) Incarnation() uint64 { return r.inc }

// Count counts one final answer. id 0 is none.
func (r *Recorder) Count(k ledger.Key, id uint64, in, out int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.now[k]
	if a == nil {
		a = &ledger.Answers{Key: k}
		r.now[k] = a
	}
	if r.n == 0 {
		r.since = time.Now()
	}
	r.n++
	r.fig.Counted++
	if id == 0 || r.ids >= idsMost {
		a.Add(ledger.Sum{N: 1, In: in, Out: out})
		return
	}
	r.ids++
	a.IDs = append(a.IDs, id)
	a.Ins = append(a.Ins, in)
	a.Outs = append(a.Outs, out)
}

// Run flushes and sends until Close. It returns at once.
func (r *Recorder) Run() {
	r.done.Add(2)
	go r.flushing()
	go r.sending()
}

// sending sends the batches in their order, each until the group has committed it.
func (r *Recorder) sending() {
	defer r.done.Done()
	rest := restLeast
	var began time.Time
	for {
		r.mu.Lock()
		var w waiting
		if len(r.queue) > 0 {
			w = r.queue[0]
		}
		r.mu.Unlock()
		if w.raw == nil {
			select {
			case <-r.wake:
				continue
			case <-r.stop:
				return
			}
		}
		if began.IsZero() {
			began = time.Now()
		}
		ctx, cancel := context.WithTimeout(context.Background(), tryFor)
		ended := make(chan struct{})
		go func() { // Close ends a try
			select {
			case <-r.stop:
				cancel()
			case <-ended:
			}
		}()
		result, err := r.opt.Propose(ctx, w.raw)
		close(ended)
		cancel()
		r.mu.Lock()
		r.fig.Tries++
		r.mu.Unlock()
		if err == nil {
			r.settle(w, result, time.Since(began))
			rest, began = restLeast, time.Time{}
			continue
		}
		r.opt.Log.Debug("ledger: a batch was not committed; it is sent again", "err", err)
		select {
		case <-time.After(rest):
			rest = min(2*rest, restMost)
		case <-r.stop:
			return
		}
	}
}

// settle takes the group's word on the batch at the head of the queue.
func (r *Recorder) settle(w waiting, result ledger.Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = r.queue[1:]
	r.bytes -= int64(len(w.raw))
	r.fig.Waiting -= w.n
	if w.key != 0 {
		r.acked = append(r.acked, w.key)
	}
	switch result.Status {
	case ledger.Counted, ledger.Duplicate:
		if result.Status == ledger.Duplicate {
			r.fig.Again++
		}
		r.fig.Promised += w.n
		r.fig.Batches++
		r.commit.RecordValue(took.Microseconds())
	default:
		r.fig.Lost += w.n
		r.opt.Log.Error("ledger: the group refused a batch for good", "answers", w.n, "result", result.String())
	}
}

// Settle waits until all that was counted is committed, no longer than most.
func (r *Recorder) Settle(most time.Duration) bool {
	for end := time.Now().Add(most); ; time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		left := len(r.queue) + int(r.n)
		r.mu.Unlock()
		if left == 0 {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// Close writes what was counted to the file and stops. What is not committed is sent by the next life.
func (r *Recorder) Close() error {
	var err error
	r.once.Do(func() {
		close(r.stop)
		r.done.Wait()
		r.flush() // what was committed since the last one
		err = r.db.Close()
	})
	return err
}

// Result reads what a group answered to a proposal.
func Result(raw json.RawMessage, err error) (ledger.Result, error) {
	var r ledger.Result
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	return r, err
}
