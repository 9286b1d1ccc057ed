// Package stallclock measures the stalls of this process: the periods in which it did not run, because it or
// its machine was frozen or stopped, its CPU quota was used up, or too many other processes competed for the
// CPU. A process cannot conclude anything about its peers from a period in which it did not run itself: their
// messages may have arrived in the meantime and be waiting in the kernel.
//
// Code that judges a peer by a timeout therefore counts only the time in which this process ran
// (Clock.RanSince, Clock.Remaining) and first reads the input that arrived in the meantime (Conn does both,
// for reads and writes). After a stall, Clock.Remaining also leaves some time for reading that input. None of
// this ever shortens a timeout, and in a process that does not stall the timeout is unchanged.
//
// The goroutine that calls Run samples the clock at regular intervals; a longer gap between two samples is a
// stall. Clock.StalledSince, and with it RanSince and Remaining, takes a sample as well, so that the first
// goroutine that wakes up after a stall already accounts for it.
//
// A nil *Clock represents a process that never stalls. The methods may be called from any goroutine.
package stallclock

import (
	"sync"
	"time"
)

const (
	// sampleInterval is the time between two samples that Run takes.
	sampleInterval = 100 * time.Millisecond
	// stallThreshold is the gap between two samples above which it counts as a stall. It is longer than the
	// pauses of a process that waits for its CPU quota, which is refilled every 100 ms.
	stallThreshold = 150 * time.Millisecond
	// catchUpTime is how long the process must have run after a stall before it judges its peers. In that time,
	// other goroutines read the input that arrived during the stall.
	catchUpTime = 100 * time.Millisecond
	// maxStalls is how many stalls are remembered. A full history covers at least maxStalls * stallThreshold,
	// which is longer than any timeout.
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
	lastRan time.Time // time of the latest sample
	stalls  []stall   // the latest stalls, oldest first
	stats   Stats
}

// New returns a clock. onStall, which may be nil, is called after each stall, on the goroutine whose sample
// detected it; it must not call the clock.
func New(onStall func(length time.Duration)) *Clock {
	return &Clock{lastRan: time.Now(), onStall: onStall}
}

// Run takes samples until done is closed.
func (c *Clock) Run(done <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
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

// Sample records that the process runs at this moment, and a stall if the latest sample is too long ago.
func (c *Clock) Sample() {
	if c == nil {
		return
	}
	if length := c.sample(); length > 0 && c.onStall != nil {
		c.onStall(length)
	}
}

// sample is Sample without the call of onStall. It returns the length of the stall that has just ended, or 0
// if there was none.
func (c *Clock) sample() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	gap := now.Sub(c.lastRan)
	c.lastRan = now
	if gap <= stallThreshold {
		return 0
	}
	length := gap - sampleInterval // the process may have run until the next sample was due
	c.recordStall(stall{end: now, length: length})
	return length
}

// InjectStall records a stall with the given end and length. It is only meant for tests. The end may be in
// the future; until then, all time within the length of the stall counts as time in which the process did not
// run.
func (c *Clock) InjectStall(end time.Time, length time.Duration) {
	c.Sample()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordStall(stall{end: end, length: length})
}

// recordStall adds a stall, and drops the oldest one if there are maxStalls. The caller holds the lock.
func (c *Clock) recordStall(s stall) {
	if len(c.stalls) == maxStalls {
		c.stalls = append(c.stalls[:0], c.stalls[1:]...)
	}
	c.stalls = append(c.stalls, s)
	c.stats.Total += s.length
	c.stats.Count++
}

// StalledSince returns for how long the process has not run since a point in time.
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

// RanSince returns for how long the process has run since a point in time.
func (c *Clock) RanSince(from time.Time) time.Duration {
	return time.Since(from) - c.StalledSince(from)
}

// Remaining returns the remaining time of a timeout that began at from. The timeout is over once this process
// has run for that long, and for at least catchUpTime after the last stall. The result is not positive if the
// timeout is over, or if timeout is not positive: a deadline in the past always ends a wait.
func (c *Clock) Remaining(from time.Time, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return timeout
	}
	left := timeout - c.RanSince(from)
	if ended, ok := c.lastStallSince(from); ok {
		left = max(left, catchUpTime-time.Since(ended))
	}
	return left
}

// lastStallSince returns the end of the last stall if it ended after a point in time; otherwise ok is false.
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

// Stats summarizes the stalls since the clock was created.
type Stats struct {
	Count int64
	Total time.Duration
}

// Stats returns the number and the total length of the stalls so far.
func (c *Clock) Stats() Stats {
	if c == nil {
		return Stats{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
