package stallclock

import (
	"context"
	"sync"
	"time"
)

// Timer calls a function once this process has run for a given time. Use Clock.AfterFunc to create one.
type Timer struct {
	clock    *Clock
	started  time.Time
	timeout  time.Duration
	callback func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// AfterFunc calls f in its own goroutine once this process has run for the timeout, and for at least
// catchUpTime after the last stall.
func (c *Clock) AfterFunc(timeout time.Duration, f func()) *Timer {
	t := &Timer{clock: c, started: time.Now(), timeout: timeout, callback: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.fire)
	return t
}

// Stop prevents the call of the function unless it has already begun.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// fire calls the function, or extends the timer by the time in which the process did not run.
func (t *Timer) fire() {
	if t.rearm() {
		return
	}
	t.callback()
}

// rearm restarts the timer if time is left. It reports whether the function must not be called now, because
// time is left or the timer was stopped.
func (t *Timer) rearm() bool {
	left := t.clock.Remaining(t.started, t.timeout)
	t.mu.Lock()
	defer t.mu.Unlock()
	if left > 0 && !t.stopped {
		t.timer.Reset(left)
	}
	return left > 0 || t.stopped
}

// timeoutContext is a context whose Err is context.DeadlineExceeded if its timeout ended it. It has no
// deadline, from which callees could set a timer or a socket deadline that ignores stalls.
type timeoutContext struct{ context.Context }

func (c timeoutContext) Err() error {
	if c.Context.Err() == nil {
		return nil
	}
	return context.Cause(c.Context)
}

// WithTimeout is like context.WithTimeout, but the context ends once this process has run for the timeout.
func (c *Clock) WithTimeout(parent context.Context, timeout time.Duration) (context.Context,
	context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := c.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return timeoutContext{ctx}, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
