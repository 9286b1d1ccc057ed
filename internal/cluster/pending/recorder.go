// Package pending stores the usage that this member has counted until the ledger's Raft group has committed
// it. A Recorder sums usage in memory, makes a batch of it at each flush, stores the batch in a file, the
// outbox, and proposes it until the group has committed it. This is the transactional outbox pattern; the
// ledger recognizes duplicates by the batch's member, incarnation and sequence number. Stats report how
// much is committed and how much would be lost with this process or this machine's disk. A PeriodCloser
// proposes to close the ledger's periods.
//
// Usage is in one of four states: current (in memory, in no batch yet), writing (in a batch that a flush is
// adding to the outbox), queued (in a batch that waits for its commit and is in the outbox unless the disk
// failed), and committed. A committed batch is deleted from the outbox by the next flush.
//
// Between Run and Close a Recorder runs two goroutines, the flusher and the sender. Its methods may be
// called from any goroutine.
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
	// maxBatchIDs is the maximum number of request ids in a batch. Further answers are counted without their id.
	maxBatchIDs = 20_000
	// maxQueuedBatches bounds the number of queued batches, as Options.MaxQueuedBytes bounds their size. While
	// either is reached, no batch is made, and the current usage is summed without request ids.
	maxQueuedBatches = 4096
	// maxCommitLatency is the longest latency that the quantiles in Stats can report; a longer one is recorded
	// as this one. commitLatencyDigits is their precision in significant decimal digits.
	maxCommitLatency    = time.Minute
	commitLatencyDigits = 3
	// commitPollInterval is the time between two checks of WaitCommitted.
	commitPollInterval = 5 * time.Millisecond
)

// Faults injects disk faults, for tests and the lab.
type Faults interface {
	// Sync is called before each write of the outbox. If it returns an error, the write fails with that error.
	Sync() error
}

// Options configure a Recorder. The defaults are those of the client proxy's settings.
type Options struct {
	// Member is this member's name, which its batches carry.
	Member string
	// Dir is the directory of the outbox, which has to survive restarts and belongs to one process at a time.
	Dir string
	// FlushInterval is the time between two flushes. Unless the disk fails or too many batches are queued, at
	// most the usage of about that time is lost with this process. 100 ms by default. Above zero.
	FlushInterval time.Duration
	// MaxQueuedBytes bounds the size of the queued batches, in encoded bytes; 64 MiB by default. Once it is
	// reached, like maxQueuedBatches, usage stays in memory. Above zero.
	MaxQueuedBytes int64
	// Faults injects disk faults, only for tests and the lab. Nil, the default, injects none.
	Faults Faults
	// Log receives the log messages of the recorder. It must not be nil.
	Log *slog.Logger
	// Propose commits a batch and returns its result. An error means that the batch may or may not be
	// committed; the recorder then proposes the same batch again. It is called by one goroutine.
	Propose func(ctx context.Context, batch []byte) (ledger.Result, error)
}

// queuedBatch is a batch that isn't committed yet.
type queuedBatch struct {
	key       uint64    // its key in the outbox, 0 if writing it there failed
	raw       []byte    // the encoded ledger.Batch
	answers   int64     // number of answers counted in it
	createdAt time.Time // when its first answer was counted, or when it was read from the outbox
}

// current is the usage that isn't in a batch yet.
type current struct {
	usage   map[ledger.Key]*ledger.KeyUsage
	answers int64
	ids     int       // number of request ids in usage; maxBatchIDs once they were dropped
	since   time.Time // when the first answer was counted
}

// Recorder counts this member's usage and sends it to the ledger's group. Call Open, Run and Close in this
// order, once each; Run may be left out.
//
// Its invariants: batches are queued and sent in the order of their sequence numbers, one at a time; the
// sender proposes the batch at the head of the queue; every answer that Count has counted is in current, in
// the batch that is being written, in a queued batch, committed, or lost.
type Recorder struct {
	opts        Options
	outbox      *outbox
	incarnation uint64

	mu            sync.Mutex
	current       current
	writing       queuedBatch // the batch that a flush is writing to the outbox; the zero batch if there is none
	seq           uint64      // sequence number of the last batch of this incarnation
	lastKey       uint64      // highest key that was given to a batch
	queue         []queuedBatch
	queuedBytes   int64
	committedKeys []uint64 // keys of committed or rejected batches that are still in the outbox
	stats         Stats
	commitLatency *hdrhistogram.Histogram // in microseconds, up to maxCommitLatency
	maxLatency    time.Duration           // longest commit latency, not limited by maxCommitLatency

	queued     chan struct{}   // wakes the sender
	ctx        context.Context // is canceled by Close
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
	outbox, stored, err := openOutbox(opts.Dir)
	if err != nil {
		return nil, err
	}
	r := &Recorder{
		opts:          opts,
		outbox:        outbox,
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

// Close stops the goroutines, writes the current usage to the outbox, and closes it. What isn't committed
// by then is sent by the next incarnation.
func (r *Recorder) Close() error {
	var err error
	r.closeOnce.Do(func() {
		r.cancel()
		r.goroutines.Wait()
		r.flush() // also deletes the batches that were committed since the flusher's last flush
		err = r.outbox.close()
	})
	return err
}

// Count counts one final answer, with the sizes in bytes of the bodies received from and sent to the
// client. A request id of 0 means that there is none. Count takes a lock but never waits for the disk or
// the group.
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

// WaitCommitted waits until all usage that was counted is committed or rejected. It returns false after the
// timeout.
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

// DecodeResult decodes a group's reply to a proposal for Options.Propose. It takes the results of the call
// that proposes, and returns its error if there is one.
func DecodeResult(raw json.RawMessage, err error) (ledger.Result, error) {
	var result ledger.Result
	if err == nil {
		err = json.Unmarshal(raw, &result)
	}
	return result, err
}
