// Package stallclock measures for how long this process did not run: it was frozen or stopped, its machine
// was, the quota of its processor was spent, or too many others wanted the processor. Time in which a process
// did not run says nothing about others: their messages may have come meanwhile, or wait in the system.
//
// So whoever judges another by a timeout counts only the time in which this process ran (Clock.RanSince,
// Clock.Left), takes in first what has come meanwhile (Conn does both for reads and writes), and after a
// stall leaves some time for that (Clock.Left again). A timeout is never shorter for it, and for a process
// that runs it is the same as before.
//
// A goroutine that Run starts from notices that the process runs, every few dozen milliseconds; a longer gap
// between two notices is a stall. Who asks for the time of a stall notices too, so that it is known to the
// goroutine that wakes first.
//
// A nil *Clock is of a process that never stalls. The methods may be called from any goroutine.
package stallclock

import (
	"sync"
	"time"
)

const (
	// interval is the time between two notices of Run.
	interval = 100 * time.Millisecond
	// threshold is the gap between two notices from which on it is a stall. It is longer than the pauses of a
	// process whose quota of the processor is refilled each tenth of a second.
	threshold = 150 * time.Millisecond
	// intakeTime is how long a process has to have run after a stall until it judges others: what has come
	// meanwhile is read by other goroutines.
	intakeTime = 100 * time.Millisecond
	// maxStalls is how many stalls are remembered. With as many the history is at least maxStalls * threshold
	// long, longer than any timeout.
	maxStalls = 512
)

// stall is an interval in which the process did not run.
type stall struct {
	end    time.Time
	length time.Duration
}

// Clock measures the stalls of this process. Use New.
type Clock struct {
	onStall func(length time.Duration) // may be nil

	mu      sync.Mutex
	lastRan time.Time // when the process last ran, as far as was noticed
	stalls  []stall   // the latest ones, oldest first
	stats   Stats
}

// New returns a clock. onStall, which may be nil, is called after each stall by a goroutine that has noticed
// it; it must not call the clock.
func New(onStall func(length time.Duration)) *Clock {
	return &Clock{lastRan: time.Now(), onStall: onStall}
}

// Run notices that the process runs until done closes.
func (c *Clock) Run(done <-chan struct{}) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			c.Sample()
		}
	}
}

// Sample notices that the process runs now, and records a stall if it has not for long.
func (c *Clock) Sample() {
	if c == nil {
		return
	}
	if length := c.sample(); length > 0 && c.onStall != nil {
		c.onStall(length)
	}
}

// sample is Notice without the call of onStall. It returns the length of the stall that has just ended, 0 for
// none.
func (c *Clock) sample() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	gap := now.Sub(c.lastRan)
	c.lastRan = now
	if gap <= threshold {
		return 0
	}
	length := gap - interval // it may have run up to the time at which a notice was due
	c.record(stall{end: now, length: length})
	return length
}

// InjectStall records a stall that ends at a moment, for tests alone. All of the time before one that is to come
// counts as time in which the process did not run, as far as the length goes.
func (c *Clock) InjectStall(end time.Time, length time.Duration) {
	c.Sample()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(stall{end: end, length: length})
}

// record adds a stall. The lock is held.
func (c *Clock) record(s stall) {
	if len(c.stalls) == maxStalls {
		c.stalls = append(c.stalls[:0], c.stalls[1:]...)
	}
	c.stalls = append(c.stalls, s)
	c.stats.Total += s.length
	c.stats.Count++
}

// StalledSince returns for how long the process has not run since a moment.
func (c *Clock) StalledSince(from time.Time) (stalled time.Duration) {
	if c == nil {
		return 0
	}
	c.Sample()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.stalls) - 1; i >= 0; i-- {
		since := c.stalls[i].end.Sub(from)
		if since <= 0 {
			break
		}
		stalled += min(c.stalls[i].length, since)
	}
	return stalled
}

// RanSince returns for how long the process has run since a moment.
func (c *Clock) RanSince(from time.Time) time.Duration {
	return time.Since(from) - c.StalledSince(from)
}

// Remaining returns what is left of a timeout that began at from: until this process has run for that long, and
// for intakeTime after a stall. It is not positive once the timeout is over, nor for one that is not
// positive itself: a deadline in the past is to end a wait.
func (c *Clock) Remaining(from time.Time, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return timeout
	}
	left := timeout - c.RanSince(from)
	if ended, ok := c.lastStallSince(from); ok {
		left = max(left, intakeTime-time.Since(ended))
	}
	return left
}

// lastStallSince returns the end of the last stall that ended after a moment, false if there is none.
func (c *Clock) lastStallSince(from time.Time) (ended time.Time, ok bool) {
	if c == nil {
		return time.Time{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.stalls) == 0 {
		return time.Time{}, false
	}
	last := c.stalls[len(c.stalls)-1].end
	return last, last.After(from)
}

// Stats are the stalls so far.
type Stats struct {
	Count int64
	Total time.Duration
}

// Stats returns the stalls so far.
func (c *Clock) Stats() Stats {
	if c == nil {
		return Stats{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
