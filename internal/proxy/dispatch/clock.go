package dispatch

import (
	"container/heap"
	"time"

	"cresshub/balance"
)

// now returns the reading of balance's clock, which is monotonic.
func (d *Decider) now() time.Duration { return d.clockBase + time.Since(d.startTime) }

// toClock converts a time to a reading of balance's clock.
func (d *Decider) toClock(t time.Time) time.Duration { return d.clockBase + t.Sub(d.startTime) }

// fromClock converts a reading of balance's clock to a time.
func (d *Decider) fromClock(t time.Duration) time.Time { return d.startTime.Add(t - d.clockBase) }

// setTimer schedules a call of balance's Timer, with the token of a SetTimer action, by Run.
func (d *Decider) setTimer(now time.Duration, a *balance.Action) {
	heap.Push(&d.timers, timer{now + a.Wait, a.Token})
	if d.timers[0].at == now+a.Wait { // earlier than the timer that Run sleeps for
		select {
		case d.wakeRun <- struct{}{}:
		default:
		}
	}
}

// maxTickInterval is how long Run sleeps while no timer is set.
const maxTickInterval = time.Hour

// Tick fires all timers that are due and returns the time until the next timer, or maxTickInterval if there
// is none.
func (d *Decider) Tick() time.Duration {
	now := d.lock()
	defer d.unlock()
	for len(d.timers) > 0 && d.timers[0].at <= now {
		t := heap.Pop(&d.timers).(timer)
		d.execute(now, d.balancer.Timer(now, t.token, d.actions[:0]))
	}
	if len(d.timers) == 0 {
		return maxTickInterval
	}
	return d.timers[0].at - now
}

// Run calls Tick whenever a timer is due, until stop is closed.
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

// timer is a pending SetTimer action.
type timer struct {
	at    time.Duration // when it is due, on balance's clock
	token uint64
}

// timers is a heap ordered by due time.
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
