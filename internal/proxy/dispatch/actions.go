package dispatch

import (
	"time"

	"cresshub/balance"
)

// lock takes the lock for one event and returns the reading of the clock.
func (d *Decider) lock() time.Duration {
	d.mu.Lock()
	return d.now()
}

// unlock releases the lock and then starts the network operations that the event requested. The network has
// its own locks and may call back, so it is called without the lock.
func (d *Decider) unlock() {
	probes, follow := d.pendingProbes, d.pendingFollow
	d.pendingProbes, d.pendingFollow = nil, false
	d.mu.Unlock()
	for _, s := range probes {
		d.network.Probe(s)
	}
	if follow {
		d.network.Follow()
	}
}

// execute carries out the actions of balance: it adds steps to the calls that they name, sets timers, and
// records network operations for unlock. The lock must be held.
func (d *Decider) execute(now time.Duration, actions []balance.Action) {
	d.actions = actions
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case balance.SetTimer:
			d.setTimer(now, a)
		case balance.Probe:
			d.pendingProbes = append(d.pendingProbes, a.Server)
		case balance.FollowList:
			d.pendingFollow = true
		default:
			if c := d.calls[a.ID]; c != nil { // otherwise the call has ended, and its other attempts end on their own
				d.executeCallAction(c, now, a)
			}
		}
	}
}

// executeCallAction adds to a call the step that an action requests.
func (d *Decider) executeCallAction(c *Call, now time.Duration, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		c.addStep(Step{Kind: Send, Server: a.Server, Attempt: len(c.sentAt),
			Deadline: d.attemptDeadline(c, now, a.Wait), StartBy: d.fromClock(now + a.StartWithin)})
		c.sentAt, c.timeouts = append(c.sentAt, now), append(c.timeouts, a.Wait)
	case balance.Cancel:
		c.addStep(Step{Kind: Cancel, Attempt: a.Attempt})
	case balance.Reject:
		d.finish(c, Step{Kind: Reject, RetryAfter: a.Wait})
	case balance.Fail:
		d.finish(c, Step{Kind: Fail})
	}
}

// finish gives a call its last step. After a last step only ClientDisconnected may follow, in place of a
// last step that was not picked. After finish nothing wakes the call's goroutine, which may serve the next
// request on its connection.
func (d *Decider) finish(c *Call, last Step) {
	if c.closed && last.Kind != ClientDisconnected {
		return
	}
	c.addStep(last)
	c.closed = true
	delete(d.calls, c.id)
}

// attemptDeadline returns the time at which an attempt that is sent now times out: after timeout, if that is
// above 0, but at the latest responseMargin before the client's deadline.
func (d *Decider) attemptDeadline(c *Call, now, timeout time.Duration) time.Time {
	deadline := c.deadline.Add(-d.responseMargin)
	if t := d.fromClock(now + timeout); timeout > 0 && t.Before(deadline) {
		deadline = t
	}
	return deadline
}
