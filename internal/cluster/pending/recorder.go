// Package pending holds the usage that this member has counted until the ledger's Raft group has committed
// it. A Recorder sums usage in memory, cuts a batch from it at each flush, stores the batch in the outbox, a
// file of its own, and proposes it until the group has committed it: the transactional outbox pattern, where
// the ledger recognizes a batch by member, incarnation and sequence number. Stats say how much is committed
// and how much would be lost with this process or this machine's disk. A PeriodCloser proposes the end of
// periods.
//
// Usage is in one of four states: current (in memory, not in a batch), writing (in a batch that a flush is
// adding to the outbox), queued (in a batch, which is in the outbox unless the disk failed), and committed. A
// committed batch is deleted from the outbox at the next flush.
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
	// maxCommitLatency is the longest latency that the quantiles in Stats tell apart; a longer one counts as it.
	// commitLatencyDigits is their precision.
	maxCommitLatency    = time.Minute
	commitLatencyDigits = 3
	// commitPollInterval is how often WaitCommitted looks.
	commitPollInterval = 5 * time.Millisecond
)

// Faults injects faults into the disk, for tests and the laboratory.
type Faults interface {
	// Sync runs before each write of the outbox, which fails with its error.
	Sync() error
}

// Options of a Recorder. The defaults are those of the client proxy's settings.
type Options struct {
	// Member is this member's name, which its batches carry.
	Member string
	// Dir is the directory of the outbox, which has to survive restarts and belongs to one process at a time.
	Dir string
	// FlushInterval is the time between batches, and so the most usage, in time, that is lost with this process;
	// 100 ms by default. Above zero.
	FlushInterval time.Duration
	// MaxQueuedBytes bounds the batches that wait for the group, in bytes on disk; 64 MiB by default. Beyond it,
	// as beyond maxQueuedBatches, usage waits in memory. Above zero.
	MaxQueuedBytes int64
	// Faults injects faults of the disk, for tests and the laboratory alone. Nil, the default, injects none.
	Faults Faults
	// Log takes the messages of the recorder. It must not be nil.
	Log *slog.Logger
	// Propose commits a batch and returns its result. An error says that it may or may not be committed: the
	// recorder proposes the same batch again. It is called by one goroutine.
	Propose func(ctx context.Context, batch []byte) (ledger.Result, error)
}

// queuedBatch is a batch that isn't committed yet.
type queuedBatch struct {
	key       uint64    // in the outbox, 0 if the disk didn't take it
	raw       []byte    // ledger.Batch, encoded
	answers   int64     // counted in it
	createdAt time.Time // when its first answer was counted, or when it was read from the outbox
}

// current is the usage that isn't in a batch yet.
type current struct {
	usage   map[ledger.Key]*ledger.KeyUsage
	answers int64
	ids     int       // request ids in usage; maxBatchIDs once they were dropped
	since   time.Time // of the first answer
}

// Recorder counts and sends this member's usage. Use Open, then Run and Close, once each; Close may follow
// Open.
//
// Its invariants: batches are queued and sent in the order of their sequence numbers, one at a time; the
// batch at the head of the queue is the one that the sender proposes; every answer that Count has counted is
// in current, in the batch that is being written, in one that is queued, or committed, or lost.
type Recorder struct {
	opts        Options
	outbox      *outbox
	incarnation uint64

	mu            sync.Mutex
	current       current
	writing       queuedBatch // on its way to the outbox, and from there into the queue; the zero one for none
	seq           uint64      // of the last batch of this incarnation
	lastKey       uint64      // of the last batch in the outbox
	queue         []queuedBatch
	queuedBytes   int64
	committedKeys []uint64 // committed and still in the outbox
	stats         Stats
	commitLatency *hdrhistogram.Histogram // in microseconds, up to maxCommitLatency
	maxLatency    time.Duration           // the longest, without a bound

	queued     chan struct{}   // wakes the sender
	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	closeOnce  sync.Once
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
	r := &Recorder{
		opts:          opts,
		outbox:        box,
		incarnation:   stored.incarnation,
		lastKey:       stored.lastKey,
		queue:         stored.batches,
		current:       current{usage: map[ledger.Key]*ledger.KeyUsage{}},
		queued:        make(chan struct{}, 1),
		commitLatency: hdrhistogram.New(1, maxCommitLatency.Microseconds(), commitLatencyDigits),
	}
	for _, batch := range stored.batches {
		r.queuedBytes += int64(len(batch.raw))
		r.stats.Counted += batch.answers
		r.stats.Queued += batch.answers
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

// Incarnation returns the incarnation of this process, which its batches carry.
func (r *Recorder) Incarnation() uint64 { return r.incarnation }

// Run starts the goroutines and returns at once.
func (r *Recorder) Run() {
	r.goroutines.Go(r.runFlusher)
	r.goroutines.Go(r.runSender)
}

// Close stops the goroutines, writes the current usage to the outbox, and closes it. The next incarnation
// sends what isn't committed.
func (r *Recorder) Close() error {
	var err error
	r.closeOnce.Do(func() {
		r.cancel()
		r.goroutines.Wait()
		r.flush() // also deletes what was committed since the flusher's last one
		err = r.outbox.close()
	})
	return err
}

// Count counts one final answer, with the bytes of the bodies from and to the client. A request id of 0
// stands for none. It only holds a lock, and never waits for the disk or the group.
func (r *Recorder) Count(key ledger.Key, id uint64, bytesIn, bytesOut int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := &r.current
	usage := current.usage[key]
	if usage == nil {
		usage = &ledger.KeyUsage{Key: key}
		current.usage[key] = usage
	}
	if current.answers == 0 {
		current.since = time.Now()
	}
	current.answers++
	r.stats.Counted++
	if id == 0 || current.ids >= maxBatchIDs {
		usage.Add(ledger.Usage{Count: 1, BytesIn: bytesIn, BytesOut: bytesOut})
		return
	}
	current.ids++
	usage.IDs = append(usage.IDs, id)
	usage.BytesInByID = append(usage.BytesInByID, bytesIn)
	usage.BytesOutByID = append(usage.BytesOutByID, bytesOut)
}

// WaitCommitted waits until all that was counted is committed; it returns false after the timeout.
func (r *Recorder) WaitCommitted(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(commitPollInterval) {
		r.mu.Lock()
		uncommitted := int64(len(r.queue)) + r.writing.answers + r.current.answers
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
