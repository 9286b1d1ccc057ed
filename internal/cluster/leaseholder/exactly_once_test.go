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

// answerLease are the settings of the lease; the group has no elections here.
var answerLease = lease.Settings{TTL: 600 * time.Millisecond, Drift: 0.05,
	ElectionTimeout: 300 * time.Millisecond}

// The intervals share no instant with each other nor with the checks of the lease, so that no two goroutines
// of a process pass a point at once.
const (
	answerInterval = 9013 * time.Microsecond
	flushInterval  = 53017 * time.Microsecond
	periodLength   = 200 * time.Millisecond
	trafficTime    = 700 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	drainLimit     = time.Minute // of virtual time, until the sink has all
	restoreLimit   = time.Minute // of virtual time, until a fault is over
)

var errProcessEnded = errors.New("the process has ended")

// answerFault is what happens to the process that reaches the point.
type answerFault string

const (
	faultNone   answerFault = "none"
	faultKill   answerFault = "kill"   // SIGKILL, and a start with the files that are left
	faultFreeze answerFault = "freeze" // SIGSTOP, and SIGCONT three leases later
	faultTerm   answerFault = "term"   // SIGTERM, and a start once the process has ended
)

// answerWorld is the group's state, the sink, and the processes before them. A process that passes the point
// with the number of the fault gets the fault.
type answerWorld struct {
	t       *testing.T
	store   *memoryStore
	sink    *proxystandin.Sink
	fault   answerFault
	at      int // number of the point, from 1 on
	ended   chan struct{}
	faulted chan struct{}

	mu      sync.Mutex
	passed  []string // the points
	hit     string   // what was reached as the fault came
	told    int64    // answers that clients got
	dropped int64    // of them: not in the outbox of the process that was killed
	members []*answerMember
}

// answerMember is a process and those that follow it under its name.
type answerMember struct {
	world   *answerWorld
	name    string
	process *answerProcess
}

// answerProcess is one process of a member.
type answerProcess struct {
	member   *answerMember
	dir      string
	recorder *pending.Recorder
	runner   *Runner

	// The world's lock guards these.
	gate   chan struct{} // closed once a process that was frozen or killed goes on; nil for one that runs
	killed bool
	ending bool  // after SIGTERM: no client reaches it any more
	unseen int64 // answered and not counted
}

// start starts the next process of a member with the files in dir.
func (m *answerMember) start(dir string) {
	t := m.world.t
	t.Helper()
	p := &answerProcess{member: m, dir: dir}
	store := answerStore{memberStore{m.world.store, m.name}, p}
	var err error
	p.recorder, err = pending.Open(pending.Options{Member: m.name, Dir: dir, FlushInterval: flushInterval,
		MaxQueuedBytes: 1 << 20, Faults: p, Log: slog.New(slog.DiscardHandler), Propose: p.proposeBatch})
	if err != nil {
		t.Fatal(err)
	}
	p.runner, err = New(Options{Name: m.name, Lease: answerLease, Store: store,
		Export: &Exporter{SinkAddress: "sink", CallTimeout: answerLease.TTL, BatchSize: 1},
		Log:    slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	p.runner.opts.Export.client.Transport = p
	p.recorder.Run()
	p.runner.Run()
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	m.process = p
}

// present returns the member's latest process.
func (m *answerMember) present() *answerProcess {
	m.world.mu.Lock()
	defer m.world.mu.Unlock()
	return m.process
}

// pass passes a point. It returns an error once the process is killed, and at the end of the test at the
// latest; while the process is frozen it waits.
func (p *answerProcess) pass(point string) error {
	w := p.member.world
	w.mu.Lock()
	ended := p.awaitGateLocked(w)
	if ended {
		w.mu.Unlock()
		return errProcessEnded
	}
	w.passed = append(w.passed, point)
	due := len(w.passed) == w.at && w.fault != faultNone
	if due {
		w.hit = point
		p.injectLocked(w)
	}
	w.mu.Unlock()
	if !due {
		return nil
	}
	close(w.faulted)
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.awaitGateLocked(w) {
		return errProcessEnded
	}
	return nil
}

// awaitGateLocked waits until the process runs; true if it is killed. It releases the world's lock meanwhile.
func (p *answerProcess) awaitGateLocked(w *answerWorld) (ended bool) {
	for p.gate != nil {
		gate := p.gate
		w.mu.Unlock()
		<-gate
		w.mu.Lock()
		if p.killed {
			return true
		}
		if p.gate == gate {
			p.gate = nil
		}
	}
	return false
}

// injectLocked stops the process. Of one that is killed it keeps the files, and how many answers are in no
// file.
func (p *answerProcess) injectLocked(w *answerWorld) {
	if w.fault == faultTerm {
		p.ending = true
		return
	}
	p.gate = make(chan struct{})
	if w.fault != faultKill {
		return
	}
	p.killed = true
	w.dropped = p.recorder.Stats().InMemory + p.unseen
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
func (p *answerProcess) Sync() error { return p.pass(pointSealed) }

// proposeBatch proposes a batch of counts.
func (p *answerProcess) proposeBatch(_ context.Context, batch []byte) (ledger.Result, error) {
	if err := p.pass(pointStored); err != nil {
		return ledger.Result{}, err
	}
	raw := p.member.world.store.apply(batch)
	if err := p.pass(pointCommitted); err != nil {
		return ledger.Result{}, err
	}
	return pending.DecodeResult(raw, nil)
}

// RoundTrip calls the sink.
func (p *answerProcess) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err == nil {
		err = p.pass(pointSending)
	}
	if err != nil {
		return nil, err
	}
	// What is sent arrives, whatever became of its sender meanwhile.
	response := httptest.NewRecorder()
	sent := httptest.NewRequest(request.Method, request.URL.String(), bytes.NewReader(body))
	sent.Header = request.Header
	p.member.world.sink.ServeHTTP(response, sent)
	if err := p.pass(pointSent); err != nil {
		return nil, err
	}
	return response.Result(), nil
}

// answerStore is a process's way to the group's state.
type answerStore struct {
	memberStore
	process *answerProcess
}

func (s answerStore) Propose(ctx context.Context, command []byte) (json.RawMessage, error) {
	if err := s.process.pass(pointProposing); err != nil {
		return nil, err
	}
	raw, err := s.memberStore.Propose(ctx, command)
	if passErr := s.process.pass(pointApplied); passErr != nil {
		return nil, passErr
	}
	return raw, err
}

func (s answerStore) Read(ctx context.Context, query []byte) (json.RawMessage, error) {
	if err := s.process.wait(); err != nil {
		return nil, err
	}
	return s.memberStore.Read(ctx, query)
}

func (s answerStore) Peek(query []byte) (any, bool) {
	if s.process.wait() != nil {
		return nil, false
	}
	return s.memberStore.Peek(query)
}

// wait waits while the process is frozen, at no point that is numbered.
func (p *answerProcess) wait() error {
	w := p.member.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.awaitGateLocked(w) {
		return errProcessEnded
	}
	return nil
}

// answer gives a client one answer.
func (m *answerMember) answer(number int) {
	w, p := m.world, m.present()
	if p.wait() != nil {
		return // the client reaches nobody
	}
	w.mu.Lock()
	if p.ending {
		w.mu.Unlock()
		return
	}
	w.told++
	p.unseen++
	w.mu.Unlock()
	if p.pass(pointAnswered) != nil {
		return
	}
	key := ledger.Key{Tenant: []string{"ramen-kita", "soup-curry-chuo"}[number%2], Class: "zone-lookup",
		Answer: "passed"}
	w.mu.Lock()
	p.unseen--
	p.recorder.Count(key, uint64(number+1), 1, 2)
	w.mu.Unlock()
	_ = p.pass(pointCounted) // one that is killed here has counted
}

// restore ends the fault: a killed process is started again, a frozen one continues.
func (w *answerWorld) restore() {
	if w.fault == faultNone {
		return
	}
	select {
	case <-w.faulted:
	case <-time.After(restoreLimit):
		return // there are fewer points than that
	}
	for _, m := range w.members {
		stopped := m.present()
		w.mu.Lock()
		gate, killed, ending, dir := stopped.gate, stopped.killed, stopped.ending, stopped.dir
		w.mu.Unlock()
		switch {
		case ending:
			stopped.awaitAnswers()
			stopped.end(w.t)
			m.start(dir)
		case gate == nil:
		case killed:
			time.Sleep(restartDelay)
			m.start(dir)
			close(gate)
			stopped.end(w.t)
		default:
			time.Sleep(faultLeases * answerLease.TTL)
			close(gate)
		}
	}
}

// faultLeases is how many leases a process is frozen.
const faultLeases = 3

// awaitAnswers waits until the process has counted what it has answered, as the shutdown of a proxy does.
func (p *answerProcess) awaitAnswers() {
	w := p.member.world
	for counted := false; !counted; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		counted = p.unseen == 0
		w.mu.Unlock()
	}
}

// end ends a process.
func (p *answerProcess) end(t *testing.T) {
	t.Helper()
	p.runner.Close()
	if err := p.recorder.Close(); err != nil {
		t.Error(err)
	}
}

// closePeriods closes the ledger's periods until the end.
func (w *answerWorld) closePeriods() {
	for {
		select {
		case <-w.ended:
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
func (w *answerWorld) totals() (counted, exported int64) {
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

// playAnswers plays the traffic with one fault. It returns the points that were passed until its end, and the
// one at which the fault came.
func playAnswers(t *testing.T, fault answerFault, at int) (points []string, hit string) {
	t.Helper()
	w := &answerWorld{t: t, store: newMemoryStore(t), sink: proxystandin.NewSink(), fault: fault, at: at,
		ended: make(chan struct{}), faulted: make(chan struct{})}
	for _, name := range []string{"a", "b"} {
		member := &answerMember{world: w, name: name}
		member.start(t.TempDir())
		w.members = append(w.members, member)
	}
	var goroutines sync.WaitGroup
	goroutines.Go(w.closePeriods)
	goroutines.Go(w.restore)
	number := 0
	for started := time.Now(); time.Since(started) < trafficTime; time.Sleep(answerInterval) {
		for _, member := range w.members {
			member.answer(number)
			number++
		}
	}
	w.mu.Lock()
	points, hit = w.passed, w.hit
	w.mu.Unlock()
	w.check()
	close(w.ended)
	goroutines.Wait()
	for _, member := range w.members {
		member.present().end(t)
	}
	return points, hit
}

// check waits until the sink has what it must have: each answer once, but for those that a process which was
// killed had in no file.
func (w *answerWorld) check() {
	w.t.Helper()
	var counted, exported int64
	for started := time.Now(); time.Since(started) < drainLimit; time.Sleep(periodLength) {
		counted, exported = w.totals()
		w.mu.Lock()
		want := w.told - w.dropped
		w.mu.Unlock()
		if counted == want && exported == want && slices.IndexFunc(w.members, (*answerMember).busy) < 0 {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if want := w.told - w.dropped; counted != want || exported != want {
		w.t.Errorf("%s at point %d (%s): of %d answers, %d of them in no file of a killed process, the ledger "+
			"counts %d and the sink has %d", w.fault, w.at, w.hit, w.told, w.dropped, counted, exported)
	}
	if _, _, err := w.sink.Audit(); err != nil {
		w.t.Errorf("%s at point %d (%s): %v", w.fault, w.at, w.hit, err)
	}
}

// busy reports whether the member has counts that are not committed.
func (m *answerMember) busy() bool {
	stats := m.present().recorder.Stats()
	return stats.InMemory+stats.Queued > 0
}

// answersBetweenFaults is how many points of single answers lie between two that get a fault.
const answersBetweenFaults = 15

// Each answer that a client got is in the sink once, whatever happens to a process at whichever point, but
// for those that a process which is killed has in memory alone; and it has told those as such.
func TestEachAnswerIsExportedOnce(t *testing.T) {
	var points []string
	synctest.Test(t, func(t *testing.T) { points, _ = playAnswers(t, faultNone, 0) })
	for _, fault := range []answerFault{faultKill, faultFreeze, faultTerm} {
		hits := map[string]int{}
		for i, point := range points {
			// Most points are those of single answers, and alike.
			if (point == pointAnswered || point == pointCounted) && i%answersBetweenFaults > 0 {
				continue
			}
			hit := ""
			t.Run(fmt.Sprint(fault, " ", i+1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { _, hit = playAnswers(t, fault, i+1) })
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
