// Package dispatch is a blocking interface to the decisions of package balance for concurrent callers. The
// goroutine of a request opens a Call, gets its steps from NextStep and calls Report when an attempt ends;
// Run fires the timers. The events, actions, timers, request ids and the clock of balance are internal to
// this package, which does not depend on the protocol of a request.
//
// A Decider may be used from any goroutine: one lock orders all events. A Call consists of attempts (Send,
// Cancel) and one last step (Answer, Reject, Fail or ClientDisconnected); Report may still be called after
// it, for attempts that end later. Steps are queued in the call until its own goroutine picks them, and the
// network operations that balance requests start after the lock is released.
package dispatch

import (
	"strconv"
	"sync"
	"time"

	"cresshub/balance"
)

// ServerID identifies a server, as in package balance.
type ServerID = balance.ServerID

// Server is a listed server, as balance defines it.
type Server = balance.Server

// Result is how an attempt or a probe ended.
type Result = balance.Result

// Network carries out the network operations that don't belong to the goroutine of a request. Its methods
// don't block; their results are reported with Probed, UpdateList and ListFailed.
type Network interface {
	Probe(ServerID)
	Follow() // ask discovery for changes from now on
}

// Decider makes the decisions of one client proxy. Its methods may be called from any goroutine.
type Decider struct {
	network        Network
	responseMargin time.Duration
	startTime      time.Time
	clockBase      time.Duration // the clock's reading at startTime
	wakeRun        chan struct{} // holds a token when the next timer is due earlier than Run expects

	mu            sync.Mutex
	balancer      *balance.Balancer
	calls         map[string]*Call
	lastID        uint64
	timers        timers
	actions       []balance.Action // buffer, reused
	pendingProbes []ServerID       // servers to probe once the lock is released
	pendingFollow bool             // whether to follow discovery once the lock is released
}

// New returns a Decider without servers. Each request is answered at the latest responseMargin before its
// deadline, so that the response reaches the client in time even on a busy machine.
func New(settings balance.Settings, responseMargin time.Duration, network Network) (*Decider, error) {
	// The clock is monotonic and starts at the Unix time: discovery states the starts of servers in Unix time,
	// and on a clock that starts at 0 a server started before this process would look as if started long ago.
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

// Open starts a call for a request. The call gets exactly one last step.
func (d *Decider) Open(request Request, w Waiter) *Call {
	now := d.lock()
	defer d.unlock()
	d.lastID++
	c := &Call{id: strconv.FormatUint(d.lastID, 36), waiter: w, deadline: request.Deadline}
	d.calls[c.id] = c
	d.execute(now, d.balancer.Request(now, balance.Request{
		ID: c.id, Class: request.Class, Tenant: request.Tenant, Key: request.Key, HasKey: request.HasKey,
		Work: request.Work, Deadline: d.toClock(request.Deadline), ClientRetry: request.ClientRetry,
	}, d.actions[:0]))
	return c
}

// NextStep returns the next step of a call and blocks until there is one. Only the call's own goroutine may
// call it. Before it returns a Send it checks whether the client has disconnected: nothing more is sent for
// such a client.
func (d *Decider) NextStep(c *Call) Step {
	for checked := false; ; {
		s, ok := d.takeStep(c, checked)
		switch {
		case ok && s.Kind == Send && !checked:
			checked = true
			if c.waiter.PeerClosed() {
				d.clientDisconnected(c)
			}
		case ok:
			return s
		case c.waiter.Wait() != nil:
			d.clientDisconnected(c)
		}
	}
}

// takeStep removes and returns the next step of a call; ok is false if there is none. Unless checked, a
// Send is returned but not removed, so that the client can be checked first.
func (d *Decider) takeStep(c *Call, checked bool) (s Step, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(c.steps) == 0 {
		return s, false
	}
	s = c.steps[0]
	if s.Kind != Send || checked {
		c.steps = c.steps[1:]
	}
	return s, true
}

// clientDisconnected ends a call whose client has disconnected. If the response of an attempt was chosen
// meanwhile, the last step names that attempt, so that the caller can discard the response.
func (d *Decider) clientDisconnected(c *Call) {
	now := d.lock()
	defer d.unlock()
	unpicked, responseAttempt := c.steps, -1
	c.steps = nil
	if !c.closed {
		d.execute(now, d.balancer.ClientDisconnected(now, c.id, d.actions[:0]))
	}
	for _, s := range unpicked {
		if s.Kind == Answer {
			responseAttempt = s.Attempt
		}
		if s.Kind == Send { // balance counts the attempt as outstanding until its outcome is reported
			d.execute(now, d.balancer.Outcome(now, balance.Outcome{
				ID: c.id, Attempt: s.Attempt, Result: Skipped, Final: true,
			}, d.actions[:0]))
			c.dropCancel(s.Attempt) // the caller never started it
		}
	}
	d.finish(c, Step{Kind: ClientDisconnected, Attempt: responseAttempt})
}

// BodyConsumed reports that the request of a call can't be sent again: its current attempt is the last one.
// Its latency target counts from BodySent.
func (d *Decider) BodyConsumed(c *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.BodyConsumed(c.id)
}

// BodySent reports that an attempt has written the last byte of a request that can't be sent again, and
// sets a new deadline of the request. It returns the time at which the attempt times out.
func (d *Decider) BodySent(c *Call, attempt int, deadline time.Time) time.Time {
	now := d.lock()
	defer d.unlock()
	c.deadline = deadline
	c.sentAt[attempt] = now
	d.balancer.BodySent(now, c.id, d.toClock(deadline))
	return d.attemptDeadline(c, now, c.timeouts[attempt])
}

// Report records how an attempt ended, or that its response has begun, with the load report of its server,
// nil if there was none. It must be called once for each Send that was picked, even after the last step.
// The response of the first attempt that was served answers the call, and chosen is true; the caller
// discards any other response.
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

// Probed records how a probe ended, its duration, and the load report, nil if there was none.
func (d *Decider) Probed(s ServerID, result Result, took time.Duration, load []float64) {
	now := d.lock()
	defer d.unlock()
	d.execute(now, d.balancer.Probed(now, balance.ProbeResult{
		Server: s, Result: result, Latency: took, Report: load,
	}, d.actions[:0]))
}

// RestoreList applies the server list that was saved before this process started.
func (d *Decider) RestoreList(list []Server) { d.applyList(balance.ListCached, list) }

// UpdateList applies a server list from discovery: a full one, or only the servers that changed.
func (d *Decider) UpdateList(full bool, list []Server) {
	if full {
		d.applyList(balance.ListFull, list)
	} else {
		d.applyList(balance.ListDelta, list)
	}
}

// ListFailed records that following discovery failed or ended.
func (d *Decider) ListFailed() { d.applyList(balance.ListFailed, nil) }

func (d *Decider) applyList(kind balance.ListKind, list []Server) {
	now := d.lock()
	defer d.unlock()
	d.execute(now, d.balancer.List(now, kind, list, d.actions[:0]))
}

// Ejected returns the number of listed servers that are up and get no traffic now.
func (d *Decider) Ejected() int {
	now := d.lock()
	defer d.unlock()
	return d.balancer.Ejected(now)
}
