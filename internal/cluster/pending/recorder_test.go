package pending

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"cresshub/internal/cluster/ledger"
)

// patience bounds every wait of a test; no verdict depends on how much of it is used.
const patience = 20 * time.Second

var (
	testKey         = ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}
	errNoLeader     = errors.New("no leader")
	errDiskFull     = errors.New("disk full")
	committedResult = ledger.Result{Status: ledger.StatusCounted}
)

// testGroup answers proposals with its result, or with its error while that is set.
type testGroup struct {
	result ledger.Result
	err    atomic.Pointer[error]
}

func (g *testGroup) propose(context.Context, []byte) (ledger.Result, error) {
	if err := g.err.Load(); err != nil {
		return ledger.Result{}, *err
	}
	return g.result, nil
}

// failingDisk fails all writes.
type failingDisk struct{}

func (failingDisk) Sync() error { return errDiskFull }

func startRecorder(t *testing.T, dir string, group *testGroup, faults Faults) *Recorder {
	t.Helper()
	r, err := Open(Options{Member: "odori-1", Dir: dir, FlushInterval: 5 * time.Millisecond,
		MaxQueuedBytes: 1 << 20, Faults: faults, Log: slog.New(slog.DiscardHandler), Propose: group.propose})
	if err != nil {
		t.Fatal(err)
	}
	r.Run()
	t.Cleanup(func() { closeRecorder(t, r) })
	return r
}

func closeRecorder(t *testing.T, r *Recorder) {
	t.Helper()
	if err := r.Close(); err != nil {
		t.Error(err)
	}
}

// eventually waits until the stats are as they should be.
func eventually(t *testing.T, r *Recorder, reached func(Stats) bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !reached(r.Stats()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("after %v: %+v", patience, r.Stats())
		}
	}
}

func TestBatchIsRetriedUntilItIsCommitted(t *testing.T) {
	group := &testGroup{result: committedResult}
	group.err.Store(&errNoLeader)
	r := startRecorder(t, t.TempDir(), group, nil)
	r.Count(testKey, 7, 10, 20)
	eventually(t, r, func(s Stats) bool { return s.Queued == 1 && s.Attempts > 0 })
	if r.WaitCommitted(50 * time.Millisecond) {
		t.Errorf("committed without a leader: %+v", r.Stats())
	}
	group.err.Store(nil)
	if !r.WaitCommitted(patience) {
		t.Errorf("not committed in %v", patience)
	}
	if s := r.Stats(); s.Committed != 1 || s.Batches != 1 || s.Queued != 0 || s.Attempts < 2 {
		t.Errorf("%+v", s)
	}
}

func TestNextIncarnationSendsWhatIsInTheOutbox(t *testing.T) {
	dir := t.TempDir()
	group := &testGroup{result: ledger.Result{Status: ledger.StatusDuplicate}}
	group.err.Store(&errNoLeader)
	first := startRecorder(t, dir, group, nil)
	first.Count(testKey, 7, 10, 20)
	closeRecorder(t, first)
	group.err.Store(nil)
	second := startRecorder(t, dir, group, nil)
	if second.Incarnation() <= first.Incarnation() {
		t.Errorf("incarnation %d after %d", second.Incarnation(), first.Incarnation())
	}
	eventually(t, second, func(s Stats) bool { return s.Counted == 1 && s.Committed == 1 && s.Duplicates == 1 })
	closeRecorder(t, second)
	third := startRecorder(t, dir, group, nil)
	if s := third.Stats(); s.Counted != 0 {
		t.Errorf("a committed batch is in the outbox: %+v", s)
	}
}

func TestBatchIsCommittedThoughTheDiskFails(t *testing.T) {
	r := startRecorder(t, t.TempDir(), &testGroup{result: committedResult}, failingDisk{})
	r.Count(testKey, 7, 10, 20)
	eventually(t, r, func(s Stats) bool { return s.Committed == 1 && s.FileErrors > 0 })
}

func TestRejectedBatchIsLost(t *testing.T) {
	group := &testGroup{result: ledger.Result{Status: ledger.StatusStaleIncarnation}}
	r := startRecorder(t, t.TempDir(), group, nil)
	r.Count(testKey, 0, 10, 20)
	eventually(t, r, func(s Stats) bool { return s.Lost == 1 && s.Committed == 0 })
}

func TestPeriodIsClosedByTheLeaderAlone(t *testing.T) {
	var leads atomic.Bool
	proposed := make(chan []byte, 1)
	stop := make(chan struct{})
	c := PeriodCloser{Period: 50 * time.Millisecond, IsLeader: leads.Load, Stop: stop,
		OpenPeriod: func() (uint64, bool) { return 3, true },
		Propose: func(_ context.Context, cmd []byte) (ledger.Result, error) {
			select {
			case proposed <- cmd:
			default: // the test has one already, and may be slow to read it
			}
			return ledger.Result{}, nil
		}}
	done := make(chan struct{})
	go func() { c.Run(); close(done) }()
	time.Sleep(100 * time.Millisecond)
	if len(proposed) > 0 {
		t.Error("closed by a follower")
	}
	leads.Store(true)
	l, err := ledger.New(ledger.Settings{MaxPeriods: 1, DedupPeriods: 1, MaxTenants: 1, MaxMembers: 1})
	if err != nil {
		t.Fatal(err)
	}
	// Of a period that isn't the open one: the command decodes and closes nothing.
	if r := l.Apply(1, <-proposed); r.Status != ledger.StatusDuplicate {
		t.Errorf("the leader proposed what comes to %v", r)
	}
	close(stop)
	<-done
}
