// Package dispatch puts a blocking face on the decisions of package balance. A request's goroutine asks
// Pick what to do next and Reports how its attempts end; Tick lets time pass. Events, actions, the
// lock, timers, ids and the clock stay in here, and nothing in here knows which protocol a request
// came by.
package dispatch

import (
	"container/heap"
	"slices"
	"strconv"
	"sync"
	"time"

	"cresshub/balance"
)

// These are plain data that both sides of the facade share.
type (
	ServerID = balance.ServerID
	Server   = balance.Server
	Result   = balance.Result
)

// How an attempt or a probe ends.
const (
	Served        = balance.Done
	ErrorResponse = balance.Error       // may have run
	Rejected      = balance.Rejected    // unseen, so it never ran
	TimedOut      = balance.TimedOut    // may have run
	NoConnection  = balance.ConnRefused // never ran
	Reset         = balance.Reset       // may have run
	Cancelled     = balance.Cancelled   // may have run
	Skipped       = balance.Skipped     // never ran, and no server is to blame
)

// ResultNames are the words for the results, by their values.
var ResultNames = []string{
	"served", "error", "turned_away", "timed_out", "no_connection", "broken", "withdrawn", "not_sent",
}

// Network does what no request's goroutine does: both calls return at once, and what comes of them is
// told with Probed and Listed or ListFailed.
type Network interface {
	Probe(ServerID)
	Follow() // ask discovery for its changes from now on
}

// Waiter is how the goroutine of a request sleeps. Wait returns nil once Wake was called, or an error
// when the client is gone. A Wake that comes first is not lost. PeerClosed reports without waiting whether it
// is.
type Waiter interface {
	Wait() error
	Wake()
	PeerClosed() bool
}

// Request is one request of a client, whatever protocol it came by.
type Request struct {
	Class    int
	Tenant   int
	Key      uint64
	HasKey   bool
	Deadline time.Time // when the client gives up
	Work     time.Duration
	Repeat   bool
}

// StepKind says what the goroutine of a request has to do next.
type StepKind uint8

// The steps. All but the first two end the request.
const (
	Send   StepKind = iota // start attempt Attempt at Server before By, and give it up at Until
	Cancel                 // stop waiting for attempt Attempt
	Answer                 // pass on what attempt Attempt was served
	Refuse                 // say no; trying again is harmless, after Wait
	Fail                   // say that it failed
	// the client is gone: nobody waits for an answer, not even that of attempt Attempt
	ClientGone
)

// Step is what Pick returns.
type Step struct {
	Kind       StepKind
	Server     ServerID
	Attempt    int
	StartBy    time.Time
	GiveUpAt   time.Time
	RetryAfter time.Duration
}

// Call is one request from Open to its last step. Reports may come later still.
type Call struct {
	id       string
	waiter   Waiter
	deadline time.Time
	steps    []Step
	sentAt   []time.Duration // by attempt, when it was or, where its body streams, when that was whole
	timeouts []time.Duration // by attempt, how long it is waited for; 0 where only the deadline ends it
	closed   bool            // nothing more may be decided for it: no steps, no wake
}

// Decider makes the decisions of one client proxy. Its methods may be called from any goroutine.
type Decider struct {
	network        Network
	responseMargin time.Duration
	startTime      time.Time
	clockBase      time.Duration // the clock's reading at start
	wakeRun        chan struct{}

	mu            sync.Mutex
	balancer      *balance.Balancer
	calls         map[string]*Call
	lastID        uint64
	timers        timers
	actions       []balance.Action // reused
	pendingProbes []ServerID       // to be set off when the lock is given back
	pendingFollow bool             // likewise
}

// New returns a Decider that knows no server yet. A request is answered travel before its deadline at the
// latest, so that the answer is with the client in time also when the machine is busy.
func New(settings balance.Settings, responseMargin time.Duration, network Network) (*Decider, error) {
	// The clock is monotonic and reads as Unix time at the start. Discovery tells starts of servers as
	// Unix time, and a clock from 0 would make one that started before this process look long ago.
	startTime := time.Now()
	d := &Decider{
		network: network, responseMargin: responseMargin,
		startTime: startTime, clockBase: time.Duration(startTime.UnixNano()),
		wakeRun: make(chan struct{}, 1), calls: map[string]*Call{},
	}
	var err error
	d.balancer, err = balance.New(settings, d.clockBase)
	return d, err
}

// Open takes a request that must get one final answer.
func (d *Decider) Open(q Request, w Waiter) *Call {
	now := d.lock()
	defer d.unlock()
	d.lastID++
	c := &Call{id: strconv.FormatUint(d.lastID, 36), waiter: w, deadline: q.Deadline}
	d.calls[c.id] = c
	d.execute(now, d.balancer.Request(now, balance.Request{
		ID: c.id, Class: q.Class, Tenant: q.Tenant, Key: q.Key, HasKey: q.HasKey, Work: q.Work,
		Deadline: d.toClock(q.Deadline), ClientRetry: q.Repeat,
	}, d.actions[:0]))
	return c
}

// Pick returns the next step of a call and sleeps until there is one. For a client that has left nothing is
// sent any more, wherever its request waited meanwhile.
func (d *Decider) Pick(c *Call) Step {
	for checked := false; ; {
		s, ok := d.next(c, checked)
		switch {
		case ok && s.Kind == Send && !checked:
			if checked = true; c.waiter.PeerClosed() {
				d.clientGone(c)
			}
		case ok:
			return s
		case c.waiter.Wait() != nil:
			d.clientGone(c)
		}
	}
}

// next takes the next step of a call. A Send is left standing until the client was looked for.
func (d *Decider) next(c *Call, checked bool) (s Step, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(c.steps) == 0 {
		return s, false
	}
	if s = c.steps[0]; s.Kind != Send || checked {
		c.steps = c.steps[1:]
	}
	return s, true
}

// clientGone ends a call whose client is gone. An answer that crossed with that is dropped with it.
func (d *Decider) clientGone(c *Call) {
	now := d.lock()
	defer d.unlock()
	unsent, responseAttempt := c.steps, -1
	c.steps = nil
	if !c.closed {
		d.execute(now, d.balancer.ClientGone(now, c.id, d.actions[:0]))
	}
	for _, s := range unsent {
		if s.Kind == Answer {
			responseAttempt = s.Attempt
		}
		if s.Kind == Send { // the module counts it as out until it hears otherwise
			d.execute(now, d.balancer.Outcome(now, balance.Outcome{
				ID: c.id, Attempt: s.Attempt, Result: Skipped, Final: true,
			}, d.actions[:0]))
			// Of an attempt that was never handed out nobody may hear: to cancel it would name one that the
			// front has not started.
			c.steps = slices.DeleteFunc(c.steps, func(o Step) bool {
				return o.Kind == Cancel && o.Attempt == s.Attempt
			})
		}
	}
	d.finish(c, Step{Kind: ClientGone, Attempt: responseAttempt})
}

// BodyConsumed says that a call's request is not held any more: the attempt that is out is the last one. Its
// time does not run until Whole.
func (d *Decider) BodyConsumed(c *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.BodyConsumed(c.id)
}

// BodySent says that the last byte of a request that is not held is sent, by that attempt. It returns until
// when that attempt is waited for.
func (d *Decider) BodySent(c *Call, attempt int, deadline time.Time) time.Time {
	now := d.lock()
	defer d.unlock()
	c.deadline = deadline
	c.sentAt[attempt] = now
	d.balancer.BodySent(now, c.id, d.toClock(deadline))
	return d.giveUpAt(c, now, c.timeouts[attempt])
}

// giveUpAt is when an attempt that is sent now is given up.
func (d *Decider) giveUpAt(c *Call, now, timeout time.Duration) time.Time {
	until := c.deadline.Add(-d.responseMargin)
	if t := d.startTime.Add(now + timeout - d.clockBase); timeout > 0 && t.Before(until) {
		until = t
	}
	return until
}

// Report says how an attempt ended, or that its answer has begun, with the load its server told, if it did.
// The first one that was served becomes the answer, which the result says.
func (d *Decider) Report(c *Call, attempt int, result Result, load []float64) (chosen bool) {
	now := d.lock()
	defer d.unlock()
	chosen = result == Served && !c.closed
	d.execute(now, d.balancer.Outcome(now, balance.Outcome{
		ID: c.id, Attempt: attempt, Result: result, Final: c.closed || chosen,
		Latency: now - c.sentAt[attempt], Report: load,
	}, d.actions[:0]))
	if chosen {
		d.finish(c, Step{Kind: Answer, Attempt: attempt})
	}
	return chosen
}

// Probed says how a probe ended and how long it took.
func (d *Decider) Probed(s ServerID, result Result, took time.Duration, load []float64) {
	now := d.lock()
	defer d.unlock()
	d.execute(now, d.balancer.Probed(now, balance.ProbeResult{
		Server: s, Result: result, Latency: took, Report: load,
	}, d.actions[:0]))
}

// RestoreList takes in the list as it was before the start.
func (d *Decider) RestoreList(list []Server) { d.applyList(balance.ListCached, list) }

// UpdateList takes in a list of discovery, whole or only what changed.
func (d *Decider) UpdateList(full bool, list []Server) {
	if full {
		d.applyList(balance.ListFull, list)
	} else {
		d.applyList(balance.ListDelta, list)
	}
}

// ListFailed says that following discovery failed or ended.
func (d *Decider) ListFailed() { d.applyList(balance.ListFailed, nil) }

func (d *Decider) applyList(kind balance.ListKind, list []Server) {
	now := d.lock()
	defer d.unlock()
	d.execute(now, d.balancer.List(now, kind, list, d.actions[:0]))
}

// Avoided is how many of the listed servers in service get no traffic now.
func (d *Decider) Avoided() int {
	now := d.lock()
	defer d.unlock()
	return d.balancer.Ejected(now)
}

// Tick fires the timers that are due and returns the time until the next, an hour at most.
func (d *Decider) Tick() time.Duration {
	now := d.lock()
	defer d.unlock()
	for len(d.timers) > 0 && d.timers[0].at <= now {
		t := heap.Pop(&d.timers).(timer)
		d.execute(now, d.balancer.Timer(now, t.token, d.actions[:0]))
	}
	if len(d.timers) == 0 {
		return time.Hour
	}
	return d.timers[0].at - now
}

// Run ticks whenever a timer is due, until stop is closed.
func (d *Decider) Run(stop <-chan struct{}) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-d.wakeRun:
		case <-t.C:
		}
		t.Reset(d.Tick())
	}
}
