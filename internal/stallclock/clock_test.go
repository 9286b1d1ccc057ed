package stallclock

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// running has a clock notice that the process runs, until the function that it returns is called.
func running(c *Clock) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		c.Run(done)
		close(ended)
	}()
	return func() {
		close(done)
		<-ended
	}
}

// stallFor lets time pass in which the process does not run: nothing is noticed.
func stallFor(d time.Duration) { time.Sleep(d) }

func TestStallsAreMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []time.Duration
		c := New(func(length time.Duration) { told = append(told, length) })
		stop := running(c)
		time.Sleep(10 * time.Second)
		if got := c.StalledSince(time.Now().Add(-10 * time.Second)); got != 0 {
			t.Errorf("a process that runs stalled for %v", got)
		}
		stop()

		beforeStall := time.Now()
		stallFor(2 * time.Second)
		stop = running(c)
		// Who asks first knows, before anything was noticed.
		if got := c.StalledSince(beforeStall); got != 1900*time.Millisecond {
			t.Errorf("stalled for %v", got)
		}
		afterStall := time.Now()
		time.Sleep(3 * time.Second)
		if got := c.RanSince(beforeStall); got != 3100*time.Millisecond {
			t.Errorf("ran for %v since before the stall", got)
		}
		if got := c.RanSince(afterStall); got != 3*time.Second {
			t.Errorf("ran for %v since after the stall", got)
		}
		// Of a stall that began before the moment the part after it counts.
		if got := c.StalledSince(afterStall.Add(-time.Second)); got != time.Second {
			t.Errorf("stalled for %v of the last second of the stall", got)
		}
		s := c.Stats()
		if s.Count != 1 || s.Total != 1900*time.Millisecond || len(told) != 1 || told[0] != s.Total {
			t.Errorf("%+v, told %v", s, told)
		}
		stop()
	})
}

// A process whose quota is refilled each tenth of a second does not stall.
func TestPausesOfAQuotaAreNoStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(nil)
		for range 100 {
			time.Sleep(95 * time.Millisecond) // nothing runs
			c.Sample()
		}
		if s := c.Stats(); s.Count != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// The history is bounded, and reaches back longer than any timeout.
func TestHistoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(nil)
		started := time.Now()
		for range 2 * maxStalls {
			stallFor(time.Second)
			c.Sample()
		}
		if len(c.stalls) != maxStalls || c.Stats().Count != 2*maxStalls {
			t.Errorf("%d stalls are remembered of %d", len(c.stalls), c.Stats().Count)
		}
		if got, want := c.StalledSince(started), maxStalls*900*time.Millisecond; got != want {
			t.Errorf("stalled for %v, of which %v are known", want, got)
		}
	})
}

func TestNilClockNeverStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c *Clock
		c.Sample()
		started := time.Now()
		time.Sleep(time.Minute)
		if c.RanSince(started) != time.Minute || c.Remaining(started, time.Minute) != 0 || c.Stats() != (Stats{}) {
			t.Errorf("ran for %v", c.RanSince(started))
		}
		ctx, cancel := c.WithTimeout(t.Context(), time.Second)
		defer cancel()
		<-ctx.Done()
		if got := time.Since(started); got != time.Minute+time.Second {
			t.Errorf("the timeout ended after %v", got)
		}
	})
}

// A timeout counts the time in which the process runs, and is not over before the process has run for
// intakeTime after a stall.
func TestTimeoutCountsTimeInWhichTheProcessRuns(t *testing.T) {
	const timeout = time.Second
	for name, test := range map[string]struct{ ran, stall, left time.Duration }{
		"no stall":                {time.Second, 0, 0},
		"in the middle":           {400 * time.Millisecond, 5 * time.Second, 500 * time.Millisecond},
		"just before its end":     {990 * time.Millisecond, 5 * time.Second, intakeTime},
		"longer than the timeout": {0, 30 * time.Second, 900 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := New(nil)
			started := time.Now()
			stop := running(c)
			time.Sleep(test.ran)
			stop()
			c.Sample()
			stallFor(test.stall)
			if got := c.Remaining(started, timeout); got != test.left {
				t.Errorf("%s: %v are left, not %v", name, got, test.left)
			}
			ended := time.Now()
			stop = running(c)
			time.Sleep(intakeTime)
			if got, want := c.Remaining(started, timeout), test.left-time.Since(ended); got != want {
				t.Errorf("%s: %v are left later, not %v", name, got, want)
			}
			stop()
		})
	}
}

// The context of a timeout lasts as long.
func TestContextCountsTimeInWhichTheProcessRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(nil)
		started := time.Now()
		ctx, cancel := c.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, ok := ctx.Deadline(); ok {
			t.Error("it has a deadline, for which others could set a timer")
		}
		stallFor(600 * time.Millisecond)
		c.Sample()
		stop := running(c)
		<-ctx.Done()
		got := time.Since(started)
		if got != 1500*time.Millisecond || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Errorf("ended after %v: %v", got, ctx.Err())
		}
		stop()
	})
}

func TestCancelEndsTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(nil)
		ctx, cancel := c.WithTimeout(t.Context(), time.Second)
		cancel()
		time.Sleep(time.Minute)
		if !errors.Is(ctx.Err(), context.Canceled) {
			t.Errorf("it ended with %v", ctx.Err())
		}
		called := false
		c.AfterFunc(time.Second, func() { called = true }).Stop()
		time.Sleep(time.Minute)
		if called {
			t.Error("a timer that was stopped has called")
		}
	})
}
