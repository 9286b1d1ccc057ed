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
	maxBatchIDs      = 20_000 // ids of one batch; more wait for the next, see Count
	maxQueuedBatches = 4096   // batches that wait for the group; beyond, counts sum up in memory without ids
	proposeTimeout   = 2 * time.Second
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
)

// Faults has the disk fail, for tests and the laboratory.
type Faults interface{ Sync() error }

// Options are what a Recorder is told.
type Options struct {
	Member         string
	Dir            string // folder of its own, on a disk that lasts
	FlushInterval  time.Duration
	MaxQueuedBytes int64 // bytes of waiting batches on disk; beyond, counts sum up in memory without ids
	Faults         Faults
	Log            *slog.Logger
	// Propose has a batch committed and says what became of it.
	Propose func(ctx context.Context, batch []byte) (ledger.Result, error)
}

// queuedBatch is a batch that is not committed yet.
type queuedBatch struct {
	key       uint64 // in the file
	raw       []byte
	answers   int64
	createdAt time.Time
}

// Recorder collects and sends this member's counts. Its methods may be called from any goroutine.
type Recorder struct {
	opts        Options
	db          *bolt.DB
	incarnation uint64

	mu                         sync.Mutex
	current                    map[ledger.Key]*ledger.KeyUsage // since the last flush
	currentSince               time.Time                       // of the first of them
	currentAnswers, currentIDs int64
	seq                        uint64
	queue                      []queuedBatch
	queuedBytes                int64
	committedKeys              []uint64 // keys committed and still in the file
	lastKey                    uint64
	stats                      Stats
	commitLatency              *hdrhistogram.Histogram // us

	queued    chan struct{}
	stopCh    chan struct{}
	wg        sync.WaitGroup
	closeOnce sync.Once
}

var (
	batchesBucket = []byte("batches")
	metaBucket    = []byte("meta")
)

// OpenPeriod opens the file of waiting batches and reads what an earlier life left in it.
func Open(opts Options) (*Recorder, error) {
	if opts.Member == "" || opts.FlushInterval <= 0 || opts.MaxQueuedBytes <= 0 {
		return nil, errors.New("ledger.flush and ledger.outbox must be above zero")
	}
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(opts.Dir, "outbox.db")
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s is held by another process", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w; moved away, the counts in it that were not promised are lost", path, err)
	}
	r := &Recorder{opts: opts, db: db, current: map[ledger.Key]*ledger.KeyUsage{}, queued: make(chan struct{},
		1),
		stopCh: make(chan struct{}), commitLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
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
		m, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if raw := m.Get([]byte("incarnation")); len(raw) == 8 {
			r.incarnation = binary.BigEndian.Uint64(raw)
		}
		r.incarnation = max(r.incarnation+1, uint64(time.Now().UnixMilli()))
		if err := m.Put([]byte("incarnation"), binary.BigEndian.AppendUint64(nil, r.incarnation)); err != nil {
			return err
		}
		b, err := tx.CreateBucketIfNotExists(batchesBucket)
		if err != nil {
			return err
		}
		return b.ForEach(func(k, v []byte) error {
			batch, err := ledger.DecodeBatch(v)
			if err != nil {
				return fmt.Errorf("batch %x: %w", k, err)
			}
			r.lastKey = binary.BigEndian.Uint64(k)
			n := countAnswers(batch)
			r.queue = append(r.queue, queuedBatch{r.lastKey, append([]byte(nil), v...), n, time.Now()})
			r.queuedBytes += int64(len(v))
			r.stats.Counted += n
			r.stats.Queued += n
			return nil
		})
	})
}

func countAnswers(b *ledger.Batch) (n int64) {
	for i := range b.Usage {
		n += b.Usage[i].Count + int64(len(b.Usage[i].IDs))
	}
	return n
}

// Incarnation is this life's.
func (r *Recorder) Incarnation() uint64 { return r.incarnation }

// Count counts one final answer. id 0 is none.
func (r *Recorder) Count(k ledger.Key, id uint64, in, out int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usage := r.current[k]
	if usage == nil {
		usage = &ledger.KeyUsage{Key: k}
		r.current[k] = usage
	}
	if r.currentAnswers == 0 {
		r.currentSince = time.Now()
	}
	r.currentAnswers++
	r.stats.Counted++
	if id == 0 || r.currentIDs >= maxBatchIDs {
		usage.Add(ledger.Usage{Count: 1, BytesIn: in, BytesOut: out})
		return
	}
	r.currentIDs++
	usage.IDs = append(usage.IDs, id)
	usage.BytesInByID = append(usage.BytesInByID, in)
	usage.BytesOutByID = append(usage.BytesOutByID, out)
}

// Run flushes and sends until Close. It returns at once.
func (r *Recorder) Run() {
	r.wg.Add(2)
	go r.runFlusher()
	go r.runSender()
}

// runSender sends the batches in their order, each until the group has committed it.
func (r *Recorder) runSender() {
	defer r.wg.Done()
	backoff := minBackoff
	var startedAt time.Time
	for {
		r.mu.Lock()
		var batch queuedBatch
		if len(r.queue) > 0 {
			batch = r.queue[0]
		}
		r.mu.Unlock()
		if batch.raw == nil {
			select {
			case <-r.queued:
				continue
			case <-r.stopCh:
				return
			}
		}
		if startedAt.IsZero() {
			startedAt = time.Now()
		}
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		ended := make(chan struct{})
		go func() { // Close ends a try
			select {
			case <-r.stopCh:
				cancel()
			case <-ended:
			}
		}()
		result, err := r.opts.Propose(ctx, batch.raw)
		close(ended)
		cancel()
		r.mu.Lock()
		r.stats.Attempts++
		r.mu.Unlock()
		if err == nil {
			r.handleResult(batch, result, time.Since(startedAt))
			backoff, startedAt = minBackoff, time.Time{}
			continue
		}
		r.opts.Log.Debug("ledger: a batch was not committed; it is sent again", "err", err)
		select {
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		case <-r.stopCh:
			return
		}
	}
}

// handleResult takes the group's word on the batch at the head of the queue.
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
		r.commitLatency.RecordValue(latency.Microseconds())
	default:
		r.stats.Lost += batch.answers
		r.opts.Log.Error("ledger: the group refused a batch for good", "answers", batch.answers, "result",
			result.String())
	}
}

// WaitCommitted waits until all that was counted is committed, no longer than most.
func (r *Recorder) WaitCommitted(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		uncommitted := len(r.queue) + int(r.currentAnswers)
		r.mu.Unlock()
		if uncommitted == 0 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// Close writes what was counted to the file and stops. What is not committed is sent by the next life.
func (r *Recorder) Close() error {
	var err error
	r.closeOnce.Do(func() {
		close(r.stopCh)
		r.wg.Wait()
		r.flush() // what was committed since the last one
		err = r.db.Close()
	})
	return err
}

// DecodeResult reads what a group answered to a proposal.
func DecodeResult(raw json.RawMessage, err error) (ledger.Result, error) {
	var r ledger.Result
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	return r, err
}
