// Package dispatch makes the decisions of package balance available as blocking calls. The goroutine of a
// request opens a Call, asks NextStep what to do next and Reports how its attempts end; Run lets time pass.
// Events, actions, timers, ids and the clock of balance stay in here, and nothing in here knows which
// protocol a request came by.
//
// A Decider may be used from any goroutine: one lock orders all events. A Call goes through attempts (Send,
// Cancel) to one last step (Answer, Reject, Fail or ClientGone); Report may still be called after it, for the
// attempts that end later. Steps wait in the call until its own goroutine picks them, and what balance asks
// of the network starts after the lock is released.
package dispatch

import (
	"strconv"
	"sync"
	"time"

	"cresshub/balance"
)

// ServerID is balance's number of a zone server.
type ServerID = balance.ServerID

// Server is a zone server as balance knows it.
type Server = balance.Server

// Result is how an attempt or a probe ended.
type Result = balance.Result

// Network is what the decisions need beside the goroutines of requests. Its methods return at once; what
// comes of them is reported with Probed, and with UpdateList or ListFailed.
type Network interface {
	Probe(ServerID)
	Follow() // ask discovery for changes from now on
}

// Decider makes the decisions of one client proxy. Its methods may be called from any goroutine.
type Decider struct {
	network        Network
	responseMargin time.Duration
	startTime      time.Time
	clockBase      time.Duration // what the clock reads at startTime
	wakeRun        chan struct{} // holds a token when the next timer is due before Run expects one

	mu            sync.Mutex
	balancer      *balance.Balancer
	calls         map[string]*Call
	lastID        uint64
	timers        timers
	actions       []balance.Action // reused
	pendingProbes []ServerID       // to be started when the lock is released
	pendingFollow bool             // likewise
}

// New returns a Decider that knows no server yet. A request is answered responseMargin before its deadline at
// the latest, so that the response reaches the client in time also when the machine is busy.
func New(settings balance.Settings, responseMargin time.Duration, network Network) (*Decider, error) {
	// The clock is monotonic and reads as Unix time at the start: discovery gives the starts of servers as Unix
	// time, and by a clock from 0 a server that started before this process would look long started.
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

// Open begins a call for a request, which gets exactly one final step.
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

// NextStep returns the next step of a call and sleeps until there is one. Only the call's own goroutine calls it.
// Before a Send it checks whether the client has disconnected: for such a client nothing is sent any more.
func (d *Decider) NextStep(c *Call) Step {
	for checked := false; ; {
		s, ok := d.next(c, checked)
		switch {
		case ok && s.Kind == Send && !checked:
			checked = true
			if c.waiter.PeerClosed() {
				d.clientGone(c)
			}
		case ok:
			return s
		case c.waiter.Wait() != nil:
			d.clientGone(c)
		}
	}
}

// next takes the next step of a call; ok is false if there is none. A Send is returned but not taken before
// the client was checked.
func (d *Decider) next(c *Call, checked bool) (s Step, ok bool) {
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

// clientGone ends a call whose client has disconnected. If a response was decided on meanwhile, the last step
// has its attempt, so that the caller can drop it.
func (d *Decider) clientGone(c *Call) {
	now := d.lock()
	defer d.unlock()
	unpicked, responseAttempt := c.steps, -1
	c.steps = nil
	if !c.closed {
		d.execute(now, d.balancer.ClientGone(now, c.id, d.actions[:0]))
	}
	for _, s := range unpicked {
		if s.Kind == Answer {
			responseAttempt = s.Attempt
		}
		if s.Kind == Send { // balance counts it as outstanding until its outcome is reported
			d.execute(now, d.balancer.Outcome(now, balance.Outcome{
				ID: c.id, Attempt: s.Attempt, Result: Skipped, Final: true,
			}, d.actions[:0]))
			c.dropCancel(s.Attempt) // the caller never started it
		}
	}
	d.finish(c, Step{Kind: ClientGone, Attempt: responseAttempt})
}

// BodyConsumed reports that a call's request can't be sent again: the attempt that is under way is the last
// one. The request's time does not run until BodySent.
func (d *Decider) BodyConsumed(c *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.BodyConsumed(c.id)
}

// BodySent reports that an attempt has written the last byte of a request that can't be sent again, and sets
// the request's deadline anew. It returns until when the response to that attempt is waited for.
func (d *Decider) BodySent(c *Call, attempt int, deadline time.Time) time.Time {
	now := d.lock()
	defer d.unlock()
	c.deadline = deadline
	c.sentAt[attempt] = now
	d.balancer.BodySent(now, c.id, d.toClock(deadline))
	return d.giveUpAt(c, now, c.timeouts[attempt])
}

// Report records how an attempt ended, or that its response has begun, with its server's load report, nil if
// there was none. It is called once for each Send that was picked, also after the last step. The response of
// the first attempt that was served answers the call, and chosen is true; any other the caller drops.
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

// Probed records how a probe ended, how long it took, and the load report, nil if there was none.
func (d *Decider) Probed(s ServerID, result Result, took time.Duration, load []float64) {
	now := d.lock()
	defer d.unlock()
	d.execute(now, d.balancer.Probed(now, balance.ProbeResult{
		Server: s, Result: result, Latency: took, Report: load,
	}, d.actions[:0]))
}

// RestoreList applies the list of servers that was saved before the start of this process.
func (d *Decider) RestoreList(list []Server) { d.applyList(balance.ListCached, list) }

// UpdateList applies a list from discovery: the full one, or only the servers that changed.
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

// Ejected is the number of listed servers in service that get no traffic now.
func (d *Decider) Ejected() int {
	now := d.lock()
	defer d.unlock()
	return d.balancer.Ejected(now)
}
