// This file has the lock, the clock and the timers of a Decider, and carries out what balance asks for.

package dispatch

import (
	"container/heap"
	"time"

	"cresshub/balance"
)

func (d *Decider) now() time.Duration { return d.clockBase + time.Since(d.startTime) }

func (d *Decider) toClock(t time.Time) time.Duration { return d.clockBase + t.Sub(d.startTime) }

// lock takes the lock for one event and reads the clock.
func (d *Decider) lock() time.Duration {
	d.mu.Lock()
	return d.now()
}

// unlock gives the lock back and only then sets off what the event asks of the network, which has locks
// of its own and may call back.
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

// execute turns actions into steps of the calls that they name, timers, and work for the network.
func (d *Decider) execute(now time.Duration, actions []balance.Action) {
	d.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case balance.SetTimer:
			heap.Push(&d.timers, timer{now + a.Wait, a.Token})
			if d.timers[0].at == now+a.Wait { // sooner than what Run sleeps for
				select {
				case d.wakeRun <- struct{}{}:
				default:
				}
			}
			continue
		case balance.Probe:
			d.pendingProbes = append(d.pendingProbes, a.Server)
			continue
		case balance.FollowList:
			d.pendingFollow = true
			continue
		}
		c := d.calls[a.ID]
		if c == nil {
			continue // ended; what is still out for it is given up or ends by itself
		}
		switch a.Kind {
		case balance.Send:
			c.addStep(Step{Kind: Send, Server: a.Server, Attempt: len(c.sentAt), GiveUpAt: d.giveUpAt(c, now, a.Wait),
				StartBy: d.startTime.Add(now + a.StartWithin - d.clockBase)})
			c.sentAt, c.timeouts = append(c.sentAt, now), append(c.timeouts, a.Wait)
		case balance.Cancel:
			c.addStep(Step{Kind: Cancel, Attempt: a.Attempt})
		case balance.Reject:
			d.finish(c, Step{Kind: Refuse, RetryAfter: a.Wait})
		case balance.Fail:
			d.finish(c, Step{Kind: Fail})
		}
	}
}

func (c *Call) addStep(s Step) {
	c.steps = append(c.steps, s)
	c.waiter.Wake()
}

// finish gives a call its last step. Nothing wakes its goroutine after that, so the goroutine may turn
// to the next request on its connection.
func (d *Decider) finish(c *Call, last Step) {
	if c.closed && last.Kind != ClientGone {
		return
	}
	c.addStep(last)
	c.closed = true
	delete(d.calls, c.id)
}

type timer struct {
	at    time.Duration
	token uint64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
