package leaseholder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
	"cresshub/internal/cluster/pending"
	"cresshub/internal/testbed/proxystandin"
)

// A numbered point is a step of an answer on its way from the client to the billing sink, by one of the
// processes. Each test of this file plays the same traffic in virtual time, with one fault at one point.
const (
	pointAnswered  = "answered"  // the client has its answer, the process has not counted it
	pointCounted   = "counted"   // in memory
	pointSealed    = "sealed"    // in a batch that is not in the outbox yet
	pointStored    = "stored"    // in the outbox, not proposed yet, or proposed again
	pointCommitted = "committed" // applied by the group, whose result the process has not seen
	pointSending   = "sending"   // the sink is about to be called
	pointSent      = "sent"      // the sink has stored the entries and its response is not seen
	pointProposing = "proposing" // a command of the lease holder is about to be proposed
	pointApplied   = "applied"   // the group has applied it and the holder does not know
)

// modelLease are the settings of the lease; the group has no elections here.
var modelLease = lease.Settings{TTL: 600 * time.Millisecond, Drift: 0.05,
	ElectionTimeout: 300 * time.Millisecond}

// The intervals share no instant with each other nor with the checks of the lease, so that no two goroutines
// of a process pass a point at once.
const (
	answerInterval  = 9013 * time.Microsecond
	flushInterval   = 53017 * time.Microsecond
	periodLength    = 200 * time.Millisecond
	trafficDuration = 700 * time.Millisecond
	restartDelay    = 300 * time.Millisecond
	drainTimeout    = time.Minute // of virtual time, until the sink has all
	faultTimeout    = time.Minute // of virtual time, until a fault is over
)

var errProcessEnded = errors.New("the process has ended")

// processFault is what happens to the process that reaches the point.
type processFault string

const (
	faultNone   processFault = "none"
	faultKill   processFault = "kill"   // SIGKILL, and a start with the files that are left
	faultFreeze processFault = "freeze" // SIGSTOP, and SIGCONT three leases later
	faultTerm   processFault = "term"   // SIGTERM, and a start once the process has ended
)

// exportModel is the group's state, the sink, and the processes before them. A process that passes the point
// with the number of the fault gets the fault.
type exportModel struct {
	t            *testing.T
	store        *memoryStore
	sink         *proxystandin.Sink
	fault        processFault
	faultAt      int // number of the point, from 1 on
	trafficEnded chan struct{}
	faulted      chan struct{}

	mu           sync.Mutex
	passedPoints []string // the points
	faultPoint   string   // what was reached as the fault came
	answersGiven int64    // answers that clients got
	answersLost  int64    // of them: not in the outbox of the process that was killed
	members      []*modelMember
}

// modelMember is a process and those that follow it under its name.
type modelMember struct {
	model   *exportModel
	name    string
	process *modelProcess
}

// modelProcess is one process of a member.
type modelProcess struct {
	member   *modelMember
	dir      string
	recorder *pending.Recorder
	runner   *Runner

	// The world's lock guards these.
	resumed     chan struct{} // closed once a process that was frozen or killed goes on; nil for one that runs
	killed      bool
	terminating bool  // after SIGTERM: no client reaches it any more
	uncounted   int64 // answered and not counted
}

// start starts the next process of a member with the files in dir.
func (m *modelMember) start(dir string) {
	t := m.model.t
	t.Helper()
	p := &modelProcess{member: m, dir: dir}
	store := modelStore{memberStore{m.model.store, m.name}, p}
	var err error
	p.recorder, err = pending.Open(pending.Options{Member: m.name, Dir: dir, FlushInterval: flushInterval,
		MaxQueuedBytes: 1 << 20, Faults: p, Log: slog.New(slog.DiscardHandler), Propose: p.proposeBatch})
	if err != nil {
		t.Fatal(err)
	}
	p.runner, err = New(Options{Name: m.name, Lease: modelLease, Store: store,
		Export: &Exporter{SinkAddress: "sink", CallTimeout: modelLease.TTL, BatchSize: 1},
		Log:    slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	p.runner.opts.Export.client.Transport = p
	p.recorder.Run()
	p.runner.Run()
	m.model.mu.Lock()
	defer m.model.mu.Unlock()
	m.process = p
}

// currentProcess returns the member's latest process.
func (m *modelMember) currentProcess() *modelProcess {
	m.model.mu.Lock()
	defer m.model.mu.Unlock()
	return m.process
}

// passPoint passes a point. It returns an error once the process is killed, and at the end of the test at the
// latest; while the process is frozen it waits.
func (p *modelProcess) passPoint(point string) error {
	w := p.member.model
	w.mu.Lock()
	ended := p.awaitRunningLocked(w)
	if ended {
		w.mu.Unlock()
		return errProcessEnded
	}
	w.passedPoints = append(w.passedPoints, point)
	due := len(w.passedPoints) == w.faultAt && w.fault != faultNone
	if due {
		w.faultPoint = point
		p.injectFaultLocked(w)
	}
	w.mu.Unlock()
	if !due {
		return nil
	}
	close(w.faulted)
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.awaitRunningLocked(w) {
		return errProcessEnded
	}
	return nil
}

// awaitRunningLocked waits until the process runs; true if it is killed. It releases the world's lock meanwhile.
func (p *modelProcess) awaitRunningLocked(w *exportModel) (ended bool) {
	for p.resumed != nil {
		gate := p.resumed
		w.mu.Unlock()
		<-gate
		w.mu.Lock()
		if p.killed {
			return true
		}
		if p.resumed == gate {
			p.resumed = nil
		}
	}
	return false
}

// injectFaultLocked stops the process. Of one that is killed it keeps the files, and how many answers are in no
// file.
func (p *modelProcess) injectFaultLocked(w *exportModel) {
	if w.fault == faultTerm {
		p.terminating = true
		return
	}
	p.resumed = make(chan struct{})
	if w.fault != faultKill {
		return
	}
	p.killed = true
	w.answersLost = p.recorder.Stats().InMemory + p.uncounted
	dir := w.t.TempDir()
	raw, err := os.ReadFile(filepath.Join(p.dir, "outbox.db"))
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "outbox.db"), raw, 0o600)
	}
	if err != nil {
		w.t.Error(err)
	}
	p.dir = dir
}

// Sync is called before each write of the outbox.
func (p *modelProcess) Sync() error { return p.passPoint(pointSealed) }

// proposeBatch proposes a batch of counts.
func (p *modelProcess) proposeBatch(_ context.Context, batch []byte) (ledger.Result, error) {
	if err := p.passPoint(pointStored); err != nil {
		return ledger.Result{}, err
	}
	raw := p.member.model.store.apply(batch)
	if err := p.passPoint(pointCommitted); err != nil {
		return ledger.Result{}, err
	}
	return pending.DecodeResult(raw, nil)
}

// RoundTrip calls the sink.
func (p *modelProcess) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err == nil {
		err = p.passPoint(pointSending)
	}
	if err != nil {
		return nil, err
	}
	// What is sent arrives, whatever became of its sender meanwhile.
	response := httptest.NewRecorder()
	sent := httptest.NewRequest(request.Method, request.URL.String(), bytes.NewReader(body))
	sent.Header = request.Header
	p.member.model.sink.ServeHTTP(response, sent)
	if err := p.passPoint(pointSent); err != nil {
		return nil, err
	}
	return response.Result(), nil
}

// modelStore is a process's way to the group's state.
type modelStore struct {
	memberStore
	process *modelProcess
}

func (s modelStore) Propose(ctx context.Context, command []byte) (json.RawMessage, error) {
	if err := s.process.passPoint(pointProposing); err != nil {
		return nil, err
	}
	raw, err := s.memberStore.Propose(ctx, command)
	if passErr := s.process.passPoint(pointApplied); passErr != nil {
		return nil, passErr
	}
	return raw, err
}

func (s modelStore) Read(ctx context.Context, query []byte) (json.RawMessage, error) {
	if err := s.process.awaitRunning(); err != nil {
		return nil, err
	}
	return s.memberStore.Read(ctx, query)
}

func (s modelStore) Peek(query []byte) (any, bool) {
	if s.process.awaitRunning() != nil {
		return nil, false
	}
	return s.memberStore.Peek(query)
}

// awaitRunning waits while the process is frozen, at no point that is numbered.
func (p *modelProcess) awaitRunning() error {
	w := p.member.model
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.awaitRunningLocked(w) {
		return errProcessEnded
	}
	return nil
}

// answerClient gives a client one answerClient.
func (m *modelMember) answerClient(number int) {
	w, p := m.model, m.currentProcess()
	if p.awaitRunning() != nil {
		return // the client reaches nobody
	}
	w.mu.Lock()
	if p.terminating {
		w.mu.Unlock()
		return
	}
	w.answersGiven++
	p.uncounted++
	w.mu.Unlock()
	if p.passPoint(pointAnswered) != nil {
		return
	}
	key := ledger.Key{Tenant: []string{"ramen-kita", "soup-curry-chuo"}[number%2], Class: "zone-lookup",
		Answer: "passed"}
	w.mu.Lock()
	p.uncounted--
	p.recorder.Count(key, uint64(number+1), 1, 2)
	w.mu.Unlock()
	_ = p.passPoint(pointCounted) // one that is killed here has counted
}

// endFault ends the fault: a killed process is started again, a frozen one continues.
func (w *exportModel) endFault() {
	if w.fault == faultNone {
		return
	}
	select {
	case <-w.faulted:
	case <-time.After(faultTimeout):
		return // there are fewer points than that
	}
	for _, m := range w.members {
		stopped := m.currentProcess()
		w.mu.Lock()
		gate, killed, ending, dir := stopped.resumed, stopped.killed, stopped.terminating, stopped.dir
		w.mu.Unlock()
		switch {
		case ending:
			stopped.awaitCounted()
			stopped.shutDown(w.t)
			m.start(dir)
		case gate == nil:
		case killed:
			time.Sleep(restartDelay)
			m.start(dir)
			close(gate)
			stopped.shutDown(w.t)
		default:
			time.Sleep(frozenLeases * modelLease.TTL)
			close(gate)
		}
	}
}

// frozenLeases is how many leases a process is frozen.
const frozenLeases = 3

// awaitCounted waits until the process has counted what it has answered, as the shutdown of a proxy does.
func (p *modelProcess) awaitCounted() {
	w := p.member.model
	for counted := false; !counted; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		counted = p.uncounted == 0
		w.mu.Unlock()
	}
}

// shutDown ends a process.
func (p *modelProcess) shutDown(t *testing.T) {
	t.Helper()
	p.runner.Close()
	if err := p.recorder.Close(); err != nil {
		t.Error(err)
	}
}

// closePeriods closes the ledger's periods until the end.
func (w *exportModel) closePeriods() {
	for {
		select {
		case <-w.trafficEnded:
			return
		case <-time.After(periodLength):
		}
		w.store.mu.Lock()
		open := w.store.machine.Ledger.OpenPeriod()
		w.store.mu.Unlock()
		w.store.apply((&ledger.ClosePeriod{Period: open, AtMS: 1}).Encode())
	}
}

// totals returns how many answers the ledger and the sink have.
func (w *exportModel) totals() (counted, exported int64) {
	w.store.mu.Lock()
	counted = w.store.machine.Ledger.Read(ledger.Query{}).Stats.Answers
	w.store.mu.Unlock()
	for _, entry := range w.sink.Entries() {
		for _, line := range entry.Lines {
			exported += line.Count
		}
	}
	return counted, exported
}

// runModel plays the traffic with one fault. It returns the points that were passed until its end, and the
// one at which the fault came.
func runModel(t *testing.T, fault processFault, at int) (points []string, hit string) {
	t.Helper()
	w := &exportModel{t: t, store: newMemoryStore(t), sink: proxystandin.NewSink(), fault: fault, faultAt: at,
		trafficEnded: make(chan struct{}), faulted: make(chan struct{})}
	for _, name := range []string{"a", "b"} {
		member := &modelMember{model: w, name: name}
		member.start(t.TempDir())
		w.members = append(w.members, member)
	}
	var goroutines sync.WaitGroup
	goroutines.Go(w.closePeriods)
	goroutines.Go(w.endFault)
	number := 0
	for started := time.Now(); time.Since(started) < trafficDuration; time.Sleep(answerInterval) {
		for _, member := range w.members {
			member.answerClient(number)
			number++
		}
	}
	w.mu.Lock()
	points, hit = w.passedPoints, w.faultPoint
	w.mu.Unlock()
	w.checkTotals()
	close(w.trafficEnded)
	goroutines.Wait()
	for _, member := range w.members {
		member.currentProcess().shutDown(t)
	}
	return points, hit
}

// checkTotals waits until the sink has what it must have: each answer once, but for those that a process which was
// killed had in no file.
func (w *exportModel) checkTotals() {
	w.t.Helper()
	var counted, exported int64
	for started := time.Now(); time.Since(started) < drainTimeout; time.Sleep(periodLength) {
		counted, exported = w.totals()
		w.mu.Lock()
		want := w.answersGiven - w.answersLost
		w.mu.Unlock()
		if counted == want && exported == want && slices.IndexFunc(w.members, (*modelMember).hasUncommitted) < 0 {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if want := w.answersGiven - w.answersLost; counted != want || exported != want {
		w.t.Errorf("%s at point %d (%s): of %d answers, %d of them in no file of a killed process, the ledger "+
			"counts %d and the sink has %d", w.fault, w.faultAt, w.faultPoint, w.answersGiven, w.answersLost, counted, exported)
	}
	if _, _, err := w.sink.Audit(); err != nil {
		w.t.Errorf("%s at point %d (%s): %v", w.fault, w.faultAt, w.faultPoint, err)
	}
}

// hasUncommitted reports whether the member has counts that are not committed.
func (m *modelMember) hasUncommitted() bool {
	stats := m.currentProcess().recorder.Stats()
	return stats.InMemory+stats.Queued > 0
}

// pointsBetweenFaults is how many points of single answers lie between two that get a fault.
const pointsBetweenFaults = 15

// Each answer that a client got is in the sink once, whatever happens to a process at whichever point, but
// for those that a process which is killed has in memory alone; and it has told those as such.
func TestEachAnswerIsExportedOnce(t *testing.T) {
	var points []string
	synctest.Test(t, func(t *testing.T) { points, _ = runModel(t, faultNone, 0) })
	for _, fault := range []processFault{faultKill, faultFreeze, faultTerm} {
		hits := map[string]int{}
		for i, point := range points {
			// Most points are those of single answers, and alike.
			if (point == pointAnswered || point == pointCounted) && i%pointsBetweenFaults > 0 {
				continue
			}
			hit := ""
			t.Run(fmt.Sprint(fault, " ", i+1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { _, hit = runModel(t, fault, i+1) })
			})
			hits[hit]++
		}
		for _, point := range []string{pointAnswered, pointCounted, pointSealed, pointStored, pointCommitted,
			pointSending, pointSent, pointProposing, pointApplied} {
			if hits[point] == 0 {
				t.Errorf("%s: no fault at the point %q: %v", fault, point, hits)
			}
		}
		t.Logf("%s: %v", fault, hits)
	}
}
