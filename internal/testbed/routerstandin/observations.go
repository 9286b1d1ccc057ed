package routerstandin

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/stallclock"
)

// Bounds are the limits that the rules are judged by: those that the router reads from its settings file, and
// two of that file by which only stand-ins judge.
type Bounds struct {
	agentsettings.Bounds
	Rollback time.Duration // how long a machine may follow an older version after a newer one
	Recovery time.Duration // from the return of all processes until requests are served
}

// Observations is what all stand-ins of a trial have observed. Its methods are safe for concurrent use.
type Observations struct {
	bounds Bounds

	mu               sync.Mutex
	verdicts         verdicts
	attempts         map[string]*attempt
	attemptsInOrder  []*attempt
	runs             []*run                     // a run's number is its index plus one
	handleOwners     map[string]string          // the attempt that owns each handle
	configs          []*configVersion           // in the order in which they were sent
	observedVersions map[string]observedVersion // by machine
	lastOrders       map[string]lastOrder       // by server
	faults           []machineFault
	drains           int // servers that drained while the replicas were stable
	unackedDrains    int // those of them whose drain was not acknowledged
	denials          int
	// lostOnReusedConns counts attempts on reused connections that got no answer though a healthy server had
	// them.
	lostOnReusedConns int
	allRestartedAt    time.Time // when all processes were back after the loss of all
	judged            bool
	// stalls measures the time in which this process did not run; nil for a process that never stalls.
	stalls *stallclock.Clock
}

// UseStallClock has bounds on what others do count only time in which this process ran, by a clock that runs.
func (o *Observations) UseStallClock(clock *stallclock.Clock) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stalls = clock
}

// stallClock returns the clock that UseStallClock has set, nil for none.
func (o *Observations) stallClock() *stallclock.Clock {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stalls
}

// ranBetween returns how much of an interval this process ran; the lock is held.
func (o *Observations) ranBetween(from, to time.Time) time.Duration {
	return to.Sub(from) - o.stalls.StalledSince(from) + o.stalls.StalledSince(to)
}

// NewObservations returns Observations of nothing.
func NewObservations(bounds Bounds) *Observations {
	return &Observations{
		bounds: bounds, verdicts: newVerdicts(), attempts: map[string]*attempt{}, handleOwners: map[string]string{},
		observedVersions: map[string]observedVersion{}, lastOrders: map[string]lastOrder{},
	}
}

// RecordViolation records a violation that a caller has observed itself.
func (o *Observations) RecordViolation(rule Rule, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdicts.record(rule, format, args...)
}

// attempt is one request as one client sent it once: a try in the words of the protocol's header
// Cresshub-Try-Id.
type attempt struct {
	id          string
	request     *Request
	resumeAfter int    // Last-Event-Id, 0 for none
	machine     string // IP of the proxy that took it
	probe       bool   // it only shows which configuration is in force
	reusedConn  bool   // its connection had carried another attempt before
	sentAt      time.Time
	fullySentAt time.Time // when all of it was written to the socket
	deadline    time.Time // when its client gives up
	arrivals    []*arrival
	runs        []*run
	aborted     bool      // a server aborted its work on it
	leftAt      time.Time // when its client closed the connection without a complete answer, zero otherwise

	status   int // of the answer, 0 for none
	served   bool
	endedAt  time.Time // when the answer was complete, or the connection ended
	connLost bool      // the connection ended without a complete answer
}

// arrival is a call of the router that reached a server, other than a health check or one to a handle.
type arrival struct {
	attempt   *attempt
	server    string
	service   string
	at        time.Time
	deadline  time.Time // by the deadline that the router passed on, zero for none
	endedAt   time.Time // when the server did no more work on it, zero while it may
	uncounted bool      // the first prefill of the attempt does not count as a server reached
}

// run is the work of a server on an attempt.
type run struct {
	number     int
	attempt    *attempt
	server     string
	firstEvent int // id of the first event of a stream
	stamp      string
	body       string // of an answer that is no stream
	isStream   bool   // it answers with a stream
}

// recordAttempt records that a client is about to send an attempt.
func (o *Observations) recordAttempt(attempt *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt.sentAt = time.Now()
	o.attempts[attempt.id] = attempt
	o.attemptsInOrder = append(o.attemptsInOrder, attempt)
}

// recordFullySent records that all of an attempt was written to the socket.
func (o *Observations) recordFullySent(attempt *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt.fullySentAt = time.Now()
}

// recordArrival records that a server got a request, and checks that it is what a client sent. It returns nil
// where no client sent such a request.
func (o *Observations) recordArrival(server *Server, request *http1.Request) *arrival {
	drain := server.drainAck()
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt := o.attempts[request.Header.Get(attemptIDHeader)]
	if attempt == nil {
		o.verdicts.record(RuleUnasked, "server %s got id %q, which no client sent", server.ID(),
			request.Header.Get(attemptIDHeader))
		return nil
	}
	o.checkUnchanged(attempt, request)
	a := &arrival{attempt: attempt, server: server.ID(), service: server.options.Service, at: time.Now()}
	if left, err := strconv.Atoi(request.Header.Get(deadlineHeader)); err == nil {
		a.deadline = a.at.Add(time.Duration(left) * time.Millisecond)
	}
	attempt.arrivals = append(attempt.arrivals, a)
	late := drain.acknowledged() && o.ranBetween(drain.at, a.at) > o.bounds.Drain
	// The acknowledgement applies to all machines in touch, also where the one that gave it was not.
	if late && o.inTouch(attempt.machine, attempt.sentAt, a.at) {
		o.verdicts.record(RuleDrain,
			"attempt %s from %s reached server %s %v after its departure was acknowledged by %s", attempt.id,
			attempt.machine, server.ID(), a.at.Sub(drain.at).Round(time.Millisecond), drain.machine)
	}
	return a
}

func (o *Observations) checkUnchanged(attempt *attempt, request *http1.Request) {
	expected := attempt.request
	if request.Method != expected.Method || request.Target != expected.Target ||
		!bytes.Equal(request.Body, expected.Body) {
		o.verdicts.record(RuleUnasked, "attempt %s reached a server changed: %s %s with %d bytes", attempt.id,
			request.Method, request.Target, len(request.Body))
	}
	sent := expected.message(attempt.id, 0, attempt.resumeAfter).Header
	for _, name := range []string{modelHeader, tokensHeader, prefixHeader} {
		if got := request.Header.Get(name); got != sent.Get(name) {
			o.verdicts.record(RuleUnasked, "attempt %s reached a server with %s %q", attempt.id, name, got)
		}
	}
	resumed, _ := strconv.Atoi(request.Header.Get(lastEventHeader))
	if resumed < attempt.resumeAfter || resumed != attempt.resumeAfter && !expected.Kind.idempotent() {
		o.verdicts.record(RuleOrder, "attempt %s reached a server with Last-Event-Id %d", attempt.id, resumed)
	}
}

// recordPrefill records that a server has begun a prefill.
func (o *Observations) recordPrefill(a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, other := range a.attempt.arrivals {
		if other.uncounted {
			return
		}
	}
	a.uncounted = true
	o.judgeService(a.attempt, a.service, time.Now())
}

// startRun records that a server has begun work on an attempt; first is the id of the first event of a
// stream.
func (o *Observations) startRun(a *arrival, first int, isStream bool) *run {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt := a.attempt
	r := &run{number: len(o.runs) + 1, attempt: attempt, server: a.server, firstEvent: first, isStream: isStream}
	r.stamp = a.server + "." + strconv.Itoa(r.number)
	if !isStream {
		r.body = bodyOf(r, attempt.request.Kind.BodyBytes)
	}
	o.runs = append(o.runs, r)
	attempt.runs = append(attempt.runs, r)
	if len(attempt.runs) > 1 && !attempt.request.Kind.idempotent() {
		o.verdicts.record(RuleTwice, "attempt %s of kind %s ran at %s and then at %s", attempt.id,
			attempt.request.Kind.Name, attempt.runs[0].server, a.server)
	}
	o.judgeService(attempt, a.service, time.Now())
	return r
}

// recordAbort records that a server left a run unfinished.
func (o *Observations) recordAbort(a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.attempt.aborted = true
}

// recordServed records the end of an attempt with a success.
func (o *Observations) recordServed(attempt *attempt, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt.status, attempt.served, attempt.endedAt = status, true, time.Now()
}

// recordNotServed records the end of an attempt with a complete answer that does not serve it, or, with
// status 0, by its client.
func (o *Observations) recordNotServed(attempt *attempt, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt.status, attempt.endedAt = status, time.Now()
	if status == 0 {
		attempt.leftAt = attempt.endedAt
	}
}

// recordWorkEnded records that a server does no more work on an arrival.
func (o *Observations) recordWorkEnded(a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.endedAt = time.Now()
}

// recordProxyFailure records the end of an attempt with a failure that the proxy itself answered.
func (o *Observations) recordProxyFailure(attempt *attempt, status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt.status, attempt.endedAt = status, time.Now()
	o.judgeDenial(attempt)
}

// recordConnLost records that an attempt ended without a complete answer.
func (o *Observations) recordConnLost(attempt *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt.connLost, attempt.endedAt = true, time.Now()
}

// reachedServer reports whether some server got an attempt.
func (o *Observations) reachedServer(attempt *attempt) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(attempt.arrivals) > 0
}

// recordHandle records that a server holds a prefix cache for an attempt.
func (o *Observations) recordHandle(handle string, a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handleOwners[handle] = a.attempt.id
}

// recordHandleUse records that a server continues an attempt from a prefix cache, which must be of the same
// attempt.
func (o *Observations) recordHandleUse(handle string, a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner := o.handleOwners[handle]; owner != a.attempt.id {
		o.verdicts.record(RuleMixed, "attempt %s continues at %s from the handle of attempt %s", a.attempt.id,
			a.server, owner)
	}
}

// runByStamp returns the run that a stamp names, nil where there is none.
func (o *Observations) runByStamp(stamp string) *run {
	o.mu.Lock()
	defer o.mu.Unlock()
	number, err := strconv.Atoi(stamp[strings.LastIndexByte(stamp, '.')+1:])
	if err != nil || number < 1 || number > len(o.runs) || o.runs[number-1].stamp != stamp {
		return nil
	}
	return o.runs[number-1]
}
