package stallclock

import (
	"context"
	"sync"
	"time"
)

// Timer calls a function once this process has run for some time. Use AfterFunc.
type Timer struct {
	clock   *Clock
	started time.Time
	timeout time.Duration
	call    func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// AfterFunc calls f in a goroutine of its own once this process has run for that long, and for intakeTime
// after a stall.
func (c *Clock) AfterFunc(timeout time.Duration, f func()) *Timer {
	t := &Timer{clock: c, started: time.Now(), timeout: timeout, call: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.fire)
	return t
}

// Stop prevents the call, unless it has begun.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// fire calls the function, or waits for the time in which the process did not run.
func (t *Timer) fire() {
	if t.again() {
		return
	}
	t.call()
}

// again starts the timer again if time is left, and reports whether the function must not be called now.
func (t *Timer) again() bool {
	left := t.clock.Remaining(t.started, t.timeout)
	t.mu.Lock()
	defer t.mu.Unlock()
	if left > 0 && !t.stopped {
		t.timer.Reset(left)
	}
	return left > 0 || t.stopped
}

// timeoutContext ends with context.DeadlineExceeded where its timeout ended it. It has no deadline that
// others could set a timer for.
type timeoutContext struct{ context.Context }

func (c timeoutContext) Err() error {
	if c.Context.Err() == nil {
		return nil
	}
	return context.Cause(c.Context)
}

// WithTimeout returns a context that ends once this process has run for that long, like context.WithTimeout.
func (c *Clock) WithTimeout(parent context.Context, timeout time.Duration) (context.Context,
	context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := c.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return timeoutContext{ctx}, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
