// Package pending holds the usage that this member has counted until the ledger's Raft group has committed
// it. A Recorder sums usage in memory, cuts a batch from it at each flush, stores the batch in the outbox, a
// file of its own, and proposes it until the group has committed it: the transactional outbox pattern, where
// the ledger recognizes a batch by member, incarnation and sequence number. Stats say how much is committed
// and how much would be lost with this process or this machine's disk. A PeriodCloser proposes the end of
// periods.
//
// Usage is in one of three states: current (in memory, not in a batch), queued (in a batch, which is in the
// outbox unless the disk failed), and committed. A committed batch is deleted from the outbox at the next
// flush.
//
// A Recorder has two goroutines, the flusher and the sender, between Run and Close. Its methods may be called
// from any goroutine.
package pending

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cresshub/internal/cluster/ledger"
)

const (
	// maxBatchIDs bounds the request ids in a batch. Further answers are counted without their id.
	maxBatchIDs = 20_000
	// maxQueuedBatches bounds the batches that wait for the group, as Options.MaxQueuedBytes does. While either
	// is reached no batch is cut, and the current usage is summed up without request ids.
	maxQueuedBatches = 4096
)

// Faults injects faults into the disk, for tests and the laboratory.
type Faults interface {
	// Sync runs before each write of the outbox, which fails with its error.
	Sync() error
}

// Options of a Recorder.
type Options struct {
	Member         string
	Dir            string // the outbox's folder; has to survive restarts
	FlushInterval  time.Duration
	MaxQueuedBytes int64  // bound on the batches that wait for the group, see maxQueuedBatches
	Faults         Faults // nil but in tests
	Log            *slog.Logger
	// Propose commits a batch and returns its result. An error says that it may or may not be committed.
	Propose func(ctx context.Context, batch []byte) (ledger.Result, error)
}

// queuedBatch is a batch that isn't committed yet.
type queuedBatch struct {
	key       uint64 // in the outbox, 0 if the disk didn't take it
	raw       []byte // ledger.Batch, encoded
	answers   int64
	createdAt time.Time
}

// current is the usage that isn't in a batch yet.
type current struct {
	usage   map[ledger.Key]*ledger.KeyUsage
	answers int64
	ids     int       // request ids in usage; maxBatchIDs once they were dropped
	since   time.Time // of the first answer
}

// Recorder counts and sends this member's usage. Use Open.
type Recorder struct {
	opts        Options
	outbox      *outbox
	incarnation uint64

	mu            sync.Mutex
	current       current
	seq           uint64 // of the last batch of this incarnation
	lastKey       uint64 // of the last batch in the outbox
	queue         []queuedBatch
	queuedBytes   int64
	committedKeys []uint64 // committed and still in the outbox
	stats         Stats
	commitLatency *hdrhistogram.Histogram // in microseconds

	queued    chan struct{} // wakes the sender
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	closeOnce sync.Once
}

// Open opens the outbox in Options.Dir and queues the batches that an earlier incarnation left in it. It
// returns an error if the outbox can't be read or another process uses it.
func Open(opts Options) (*Recorder, error) {
	if opts.Member == "" || opts.FlushInterval <= 0 || opts.MaxQueuedBytes <= 0 {
		return nil, errors.New("ledger.flush and ledger.outbox must be above zero")
	}
	box, stored, err := openOutbox(opts.Dir)
	if err != nil {
		return nil, err
	}
	r := &Recorder{opts: opts, outbox: box, incarnation: stored.incarnation, lastKey: stored.lastKey,
		queue: stored.batches, current: current{usage: map[ledger.Key]*ledger.KeyUsage{}},
		queued:        make(chan struct{}, 1),
		commitLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	for _, b := range stored.batches {
		r.queuedBytes += int64(len(b.raw))
		r.stats.Counted += b.answers
		r.stats.Queued += b.answers
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

// Incarnation returns the incarnation of this process, which its batches carry.
func (r *Recorder) Incarnation() uint64 { return r.incarnation }

// Run starts the goroutines and returns at once.
func (r *Recorder) Run() {
	r.wg.Add(2)
	go r.runFlusher()
	go r.runSender()
}

// Close stops the goroutines, writes the current usage to the outbox, and closes it. The next incarnation
// sends what isn't committed.
func (r *Recorder) Close() error {
	var err error
	r.closeOnce.Do(func() {
		r.cancel()
		r.wg.Wait()
		r.flush() // also deletes what was committed since the flusher's last one
		err = r.outbox.close()
	})
	return err
}

// Count counts one final answer. A request id of 0 stands for none.
func (r *Recorder) Count(k ledger.Key, id uint64, bytesIn, bytesOut int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.current
	usage := c.usage[k]
	if usage == nil {
		usage = &ledger.KeyUsage{Key: k}
		c.usage[k] = usage
	}
	if c.answers == 0 {
		c.since = time.Now()
	}
	c.answers++
	r.stats.Counted++
	if id == 0 || c.ids >= maxBatchIDs {
		usage.Add(ledger.Usage{Count: 1, BytesIn: bytesIn, BytesOut: bytesOut})
		return
	}
	c.ids++
	usage.IDs = append(usage.IDs, id)
	usage.BytesInByID = append(usage.BytesInByID, bytesIn)
	usage.BytesOutByID = append(usage.BytesOutByID, bytesOut)
}

// WaitCommitted waits until all that was counted is committed; it returns false after the timeout. It doesn't
// see a batch that a flush is writing to the outbox at that moment, which Close keeps for the next
// incarnation.
func (r *Recorder) WaitCommitted(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		uncommitted := len(r.queue) + int(r.current.answers)
		r.mu.Unlock()
		if uncommitted == 0 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// DecodeResult decodes the answer of a group to a proposal, as Options.Propose has to return it. It takes the
// results of such a call and passes its error on.
func DecodeResult(raw json.RawMessage, err error) (ledger.Result, error) {
	var result ledger.Result
	if err == nil {
		err = json.Unmarshal(raw, &result)
	}
	return result, err
}
