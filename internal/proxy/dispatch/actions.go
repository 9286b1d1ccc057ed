package dispatch

import (
	"time"

	"cresshub/balance"
)

// lock takes the lock for one event and reads the clock.
func (d *Decider) lock() time.Duration {
	d.mu.Lock()
	return d.now()
}

// unlock releases the lock and only then starts what the event asks of the network, which has locks of its
// own and may call back.
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

// execute turns the actions that balance asks for into steps of the calls that they name, timers, and work
// for the network. The lock is held.
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
			if c := d.calls[a.ID]; c != nil { // else it has ended; its other attempts end by themselves
				d.advance(c, now, a)
			}
		}
	}
}

// advance adds to a call the step that an action asks for.
func (d *Decider) advance(c *Call, now time.Duration, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		c.addStep(Step{Kind: Send, Server: a.Server, Attempt: len(c.sentAt), Deadline: d.giveUpAt(c, now, a.Wait),
			StartBy: d.fromClock(now + a.StartWithin)})
		c.sentAt, c.timeouts = append(c.sentAt, now), append(c.timeouts, a.Wait)
	case balance.Cancel:
		c.addStep(Step{Kind: Cancel, Attempt: a.Attempt})
	case balance.Reject:
		d.finish(c, Step{Kind: Reject, RetryAfter: a.Wait})
	case balance.Fail:
		d.finish(c, Step{Kind: Fail})
	}
}

// finish gives a call its last step; only ClientGone may follow another last step, which was not picked then.
// Nothing wakes the call's goroutine after that, so that it may turn to the next request on its connection.
func (d *Decider) finish(c *Call, last Step) {
	if c.closed && last.Kind != ClientGone {
		return
	}
	c.addStep(last)
	c.closed = true
	delete(d.calls, c.id)
}

// giveUpAt is when an attempt that is sent now has timed out: after timeout, where that is above 0, and in
// any case responseMargin before the client's deadline.
func (d *Decider) giveUpAt(c *Call, now, timeout time.Duration) time.Time {
	until := c.deadline.Add(-d.responseMargin)
	if t := d.fromClock(now + timeout); timeout > 0 && t.Before(until) {
		until = t
	}
	return until
}
