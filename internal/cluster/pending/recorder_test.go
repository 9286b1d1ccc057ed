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

// waitTimeout bounds every wait of a test. No result depends on how much of it is used.
const waitTimeout = 20 * time.Second

var (
	testKey         = ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"}
	errNoLeader     = errors.New("no leader")
	errDiskFull     = errors.New("disk full")
	committedResult = ledger.Result{Status: ledger.StatusCounted}
)

// testGroup answers proposals with result, or with err while that is set.
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

// failingDisk is a Faults that makes all writes fail.
type failingDisk struct{}

func (failingDisk) Sync() error { return errDiskFull }

// startRecorder opens and runs a Recorder, which is closed at the end of the test.
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

// eventually waits until the stats satisfy a condition, and fails the test after waitTimeout.
func eventually(t *testing.T, r *Recorder, reached func(Stats) bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !reached(r.Stats()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached after %v: %+v", waitTimeout, r.Stats())
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
	if !r.WaitCommitted(waitTimeout) {
		t.Errorf("not committed after %v", waitTimeout)
	}
	if s := r.Stats(); s.Committed != 1 || s.Batches != 1 || s.Queued != 0 || s.Attempts < 2 {
		t.Errorf("after the commit: %+v", s)
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
		t.Errorf("a committed batch is still in the outbox: %+v", s)
	}
}

func TestBatchIsCommittedDespiteDiskFailure(t *testing.T) {
	r := startRecorder(t, t.TempDir(), &testGroup{result: committedResult}, failingDisk{})
	r.Count(testKey, 7, 10, 20)
	eventually(t, r, func(s Stats) bool { return s.Committed == 1 && s.FileErrors > 0 })
}

func TestRejectedBatchCountsAsLost(t *testing.T) {
	group := &testGroup{result: ledger.Result{Status: ledger.StatusStaleIncarnation}}
	r := startRecorder(t, t.TempDir(), group, nil)
	r.Count(testKey, 0, 10, 20)
	eventually(t, r, func(s Stats) bool { return s.Lost == 1 && s.Committed == 0 })
}

func TestOnlyTheLeaderClosesPeriods(t *testing.T) {
	var isLeader atomic.Bool
	proposed := make(chan []byte, 1)
	stop := make(chan struct{})
	c := PeriodCloser{Period: 50 * time.Millisecond, IsLeader: isLeader.Load, Stop: stop,
		OpenPeriod: func() (uint64, bool) { return 3, true },
		Propose: func(_ context.Context, cmd []byte) (ledger.Result, error) {
			select {
			case proposed <- cmd:
			default: // an earlier command was not received yet
			}
			return ledger.Result{}, nil
		}}
	done := make(chan struct{})
	go func() { c.Run(); close(done) }()
	time.Sleep(100 * time.Millisecond)
	if len(proposed) > 0 {
		t.Error("a follower proposed to close the period")
	}
	isLeader.Store(true)
	l, err := ledger.New(ledger.Settings{MaxPeriods: 1, DedupPeriods: 1, MaxTenants: 1, MaxMembers: 1})
	if err != nil {
		t.Fatal(err)
	}
	// The command is for period 3, and the open one is 1: the command decodes, but closes nothing.
	if r := l.Apply(1, <-proposed); r.Status != ledger.StatusDuplicate {
		t.Errorf("applying the command that the leader proposed returns %v", r)
	}
	close(stop)
	<-done
}
