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

// Points are the steps by which the usage of an answer gets from the process that answered the client to the
// billing sink. Points are numbered in the order in which the processes pass them. Every run of the model has
// the same traffic in virtual time, and at most one fault, at the point with a given number.
const (
	pointAnswered  = "answered"  // the client has its answer, the process has not counted it
	pointCounted   = "counted"   // counted in the process's memory
	pointSealed    = "sealed"    // in a batch that is not in the outbox yet
	pointStored    = "stored"    // in the outbox, about to be proposed for the first time or again
	pointCommitted = "committed" // applied by the group, but the process has not received the result
	pointSending   = "sending"   // the sink is about to be called
	pointSent      = "sent"      // stored by the sink, but the process has not received the response
	pointProposing = "proposing" // a command of the lease holder is about to be proposed
	pointApplied   = "applied"   // that command is applied, but the lease holder has not received the result
)

// modelLease has the settings of the lease; the model's group has no elections.
var modelLease = lease.Settings{TTL: 600 * time.Millisecond, Drift: 0.05,
	ElectionTimeout: 300 * time.Millisecond}

// The intervals are chosen so that their ticks never coincide with each other or with the checks of the
// lease: no two goroutines of a process pass a point at the same instant.
const (
	answerInterval  = 9013 * time.Microsecond
	flushInterval   = 53017 * time.Microsecond
	periodLength    = 200 * time.Millisecond
	trafficDuration = 700 * time.Millisecond
	restartDelay    = 300 * time.Millisecond
	drainTimeout    = time.Minute // virtual time until the sink must have everything
	faultTimeout    = time.Minute // virtual time after which endFault assumes that no fault occurs
)

var errProcessEnded = errors.New("the process has ended")

// processFault is the fault of the process that reaches the selected point.
type processFault string

const (
	faultNone   processFault = "none"
	faultKill   processFault = "kill"   // SIGKILL, then a restart with the files that are left
	faultFreeze processFault = "freeze" // SIGSTOP, then SIGCONT three leases later
	faultTerm   processFault = "term"   // SIGTERM, then a restart once the process has ended
)

// exportModel simulates the group's state, the sink, and the processes that use them. The process that passes
// the point with number faultAt gets the fault.
type exportModel struct {
	t        *testing.T
	store    *memoryStore
	sink     *proxystandin.Sink
	fault    processFault
	faultAt  int           // number of the point at which the fault occurs, from 1
	runEnded chan struct{} // closed once the totals were checked; ends closePeriods
	faulted  chan struct{} // closed once the fault has occurred

	mu           sync.Mutex
	passedPoints []string // in the order in which they were passed, by any process
	faultPoint   string   // point at which the fault occurred, "" if it did not
	answersGiven int64    // answers that clients received
	answersLost  int64    // those of them that were in no outbox when their process was killed
	members      []*modelMember
}

// modelMember is a member of the fleet, whose process may be replaced by a restart.
type modelMember struct {
	model   *exportModel
	name    string
	process *modelProcess
}

// modelProcess is one process of a member, from its start to its end.
type modelProcess struct {
	member   *modelMember
	dir      string
	recorder *pending.Recorder
	runner   *Runner

	// The model's lock guards the following fields.
	resumed     chan struct{} // closed at the end of a freeze or kill; nil while the process runs
	killed      bool
	terminating bool  // it received SIGTERM and takes no more requests
	uncounted   int64 // answers that are not counted yet
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

// passPoint records that the process passes a point, and injects the fault if it is due there. While the
// process is frozen it blocks. It returns errProcessEnded if the process was killed; a killed process blocks
// until the next process of its member has started.
func (p *modelProcess) passPoint(point string) error {
	em := p.member.model
	em.mu.Lock()
	ended := p.awaitRunningLocked(em)
	if ended {
		em.mu.Unlock()
		return errProcessEnded
	}
	em.passedPoints = append(em.passedPoints, point)
	due := len(em.passedPoints) == em.faultAt && em.fault != faultNone
	if due {
		em.faultPoint = point
		p.injectFaultLocked(em)
	}
	em.mu.Unlock()
	if !due {
		return nil
	}
	close(em.faulted)
	em.mu.Lock()
	defer em.mu.Unlock()
	if p.awaitRunningLocked(em) {
		return errProcessEnded
	}
	return nil
}

// awaitRunningLocked waits until the process runs, and reports whether it was killed instead. It releases the
// model's lock while it waits.
func (p *modelProcess) awaitRunningLocked(em *exportModel) (ended bool) {
	for p.resumed != nil {
		resumed := p.resumed
		em.mu.Unlock()
		<-resumed
		em.mu.Lock()
		if p.killed {
			return true
		}
		if p.resumed == resumed {
			p.resumed = nil
		}
	}
	return false
}

// injectFaultLocked injects the fault into the process. For a killed process it copies the outbox for the
// restart, and sets answersLost to the number of answers that are in no file.
func (p *modelProcess) injectFaultLocked(em *exportModel) {
	if em.fault == faultTerm {
		p.terminating = true
		return
	}
	p.resumed = make(chan struct{})
	if em.fault != faultKill {
		return
	}
	p.killed = true
	em.answersLost = p.recorder.Stats().InMemory + p.uncounted
	dir := em.t.TempDir()
	raw, err := os.ReadFile(filepath.Join(p.dir, "outbox.db"))
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "outbox.db"), raw, 0o600)
	}
	if err != nil {
		em.t.Error(err)
	}
	p.dir = dir
}

// Sync is called before each write of the outbox (pending.Options.Faults).
func (p *modelProcess) Sync() error { return p.passPoint(pointSealed) }

// proposeBatch proposes a batch of usage counts.
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
	// A request that was sent reaches the sink, even if its sender has ended in the meantime.
	response := httptest.NewRecorder()
	sent := httptest.NewRequest(request.Method, request.URL.String(), bytes.NewReader(body))
	sent.Header = request.Header
	p.member.model.sink.ServeHTTP(response, sent)
	if err := p.passPoint(pointSent); err != nil {
		return nil, err
	}
	return response.Result(), nil
}

// modelStore is the group's state as one process reaches it.
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

// awaitRunning blocks while the process is frozen or killed and passes no point. It returns errProcessEnded
// if the process was killed.
func (p *modelProcess) awaitRunning() error {
	em := p.member.model
	em.mu.Lock()
	defer em.mu.Unlock()
	if p.awaitRunningLocked(em) {
		return errProcessEnded
	}
	return nil
}

// answerClient gives a client one answer and counts it.
func (m *modelMember) answerClient(number int) {
	em, p := m.model, m.currentProcess()
	if p.awaitRunning() != nil {
		return // the process was killed: the client gets no answer
	}
	em.mu.Lock()
	if p.terminating {
		em.mu.Unlock()
		return
	}
	em.answersGiven++
	p.uncounted++
	em.mu.Unlock()
	if p.passPoint(pointAnswered) != nil {
		return
	}
	key := ledger.Key{Tenant: []string{"ramen-kita", "soup-curry-chuo"}[number%2], Class: "zone-lookup",
		Answer: "passed"}
	em.mu.Lock()
	p.uncounted--
	p.recorder.Count(key, uint64(number+1), 1, 2)
	em.mu.Unlock()
	_ = p.passPoint(pointCounted) // a process that is killed here has already counted
}

// endFault waits for the fault and ends it: a killed or terminated process is restarted, a frozen one
// resumes.
func (em *exportModel) endFault() {
	if em.fault == faultNone {
		return
	}
	select {
	case <-em.faulted:
	case <-time.After(faultTimeout):
		return // fewer than faultAt points were passed
	}
	for _, m := range em.members {
		stopped := m.currentProcess()
		em.mu.Lock()
		resumed, killed, terminating, dir := stopped.resumed, stopped.killed, stopped.terminating, stopped.dir
		em.mu.Unlock()
		switch {
		case terminating:
			stopped.awaitCounted()
			stopped.shutDown(em.t)
			m.start(dir)
		case resumed == nil:
		case killed:
			time.Sleep(restartDelay)
			m.start(dir)
			close(resumed)
			stopped.shutDown(em.t)
		default:
			time.Sleep(frozenLeases * modelLease.TTL)
			close(resumed)
		}
	}
}

// frozenLeases is the duration of a freeze, in TTLs of the lease.
const frozenLeases = 3

// awaitCounted waits until the process has counted all its answers, as the shutdown of a proxy does.
func (p *modelProcess) awaitCounted() {
	em := p.member.model
	for counted := false; !counted; time.Sleep(time.Millisecond) {
		em.mu.Lock()
		counted = p.uncounted == 0
		em.mu.Unlock()
	}
}

// shutDown closes the runner and the recorder of a process.
func (p *modelProcess) shutDown(t *testing.T) {
	t.Helper()
	p.runner.Close()
	if err := p.recorder.Close(); err != nil {
		t.Error(err)
	}
}

// closePeriods closes the ledger's open period every periodLength until runEnded is closed.
func (em *exportModel) closePeriods() {
	for {
		select {
		case <-em.runEnded:
			return
		case <-time.After(periodLength):
		}
		em.store.mu.Lock()
		open := em.store.machine.Ledger.OpenPeriod()
		em.store.mu.Unlock()
		em.store.apply((&ledger.ClosePeriod{Period: open, AtMS: 1}).Encode())
	}
}

// totals returns the number of answers in the ledger and in the sink.
func (em *exportModel) totals() (counted, exported int64) {
	em.store.mu.Lock()
	counted = em.store.machine.Ledger.Read(ledger.Query{}).Stats.Answers
	em.store.mu.Unlock()
	for _, entry := range em.sink.Entries() {
		for _, line := range entry.Lines {
			exported += line.Count
		}
	}
	return counted, exported
}

// runModel runs the traffic with one fault at the point with number at. It returns the points that were
// passed by the end of the traffic, and the one at which the fault occurred.
func runModel(t *testing.T, fault processFault, at int) (points []string, hit string) {
	t.Helper()
	em := &exportModel{t: t, store: newMemoryStore(t), sink: proxystandin.NewSink(), fault: fault, faultAt: at,
		runEnded: make(chan struct{}), faulted: make(chan struct{})}
	for _, name := range []string{"a", "b"} {
		member := &modelMember{model: em, name: name}
		member.start(t.TempDir())
		em.members = append(em.members, member)
	}
	var goroutines sync.WaitGroup
	goroutines.Go(em.closePeriods)
	goroutines.Go(em.endFault)
	number := 0
	for started := time.Now(); time.Since(started) < trafficDuration; time.Sleep(answerInterval) {
		for _, member := range em.members {
			member.answerClient(number)
			number++
		}
	}
	em.mu.Lock()
	points, hit = em.passedPoints, em.faultPoint
	em.mu.Unlock()
	em.checkTotals()
	close(em.runEnded)
	goroutines.Wait()
	for _, member := range em.members {
		member.currentProcess().shutDown(t)
	}
	return points, hit
}

// checkTotals waits until the ledger and the sink have each answer that was given exactly once, except those
// that were in no file when their process was killed. It fails the test if that takes longer than
// drainTimeout.
func (em *exportModel) checkTotals() {
	em.t.Helper()
	var counted, exported int64
	for started := time.Now(); time.Since(started) < drainTimeout; time.Sleep(periodLength) {
		counted, exported = em.totals()
		em.mu.Lock()
		want := em.answersGiven - em.answersLost
		em.mu.Unlock()
		if counted == want && exported == want && slices.IndexFunc(em.members, (*modelMember).hasUncommitted) < 0 {
			break
		}
	}
	em.mu.Lock()
	defer em.mu.Unlock()
	if want := em.answersGiven - em.answersLost; counted != want || exported != want {
		em.t.Errorf("%s at point %d (%s): of %d answers, %d of them in no file of a killed process, the ledger "+
			"counts %d and the sink has %d", em.fault, em.faultAt, em.faultPoint, em.answersGiven,
			em.answersLost, counted, exported)
	}
	if _, _, err := em.sink.Audit(); err != nil {
		em.t.Errorf("%s at point %d (%s): %v", em.fault, em.faultAt, em.faultPoint, err)
	}
}

// hasUncommitted reports whether the member has counts that are not committed.
func (m *modelMember) hasUncommitted() bool {
	stats := m.currentProcess().recorder.Stats()
	return stats.InMemory+stats.Queued > 0
}

// pointsBetweenFaults thins out the points of single answers: only those whose index is a multiple of it get
// a fault.
const pointsBetweenFaults = 15

// Each answer that a client received is in the sink exactly once, whichever fault a process suffers at
// whichever point. The only exception are answers that a killed process had only in memory; their number
// must be the one that its recorder reported as not stored.
func TestEachAnswerIsExportedOnce(t *testing.T) {
	var points []string
	synctest.Test(t, func(t *testing.T) { points, _ = runModel(t, faultNone, 0) })
	for _, fault := range []processFault{faultKill, faultFreeze, faultTerm} {
		hits := map[string]int{}
		for i, point := range points {
			// Most points belong to single answers and are equivalent: test one in pointsBetweenFaults.
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
				t.Errorf("%s: no fault occurred at the point %q: %v", fault, point, hits)
			}
		}
		t.Logf("%s: %v", fault, hits)
	}
}
