package stallclock

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// startSampling runs the sampling of a clock until the returned function is called.
func startSampling(c *Clock) (stop func()) {
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

// stallFor simulates a stall: it lets time pass in which no sample is taken.
func stallFor(d time.Duration) { time.Sleep(d) }

func TestStallsAreMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []time.Duration
		c := New(func(length time.Duration) { reported = append(reported, length) })
		stop := startSampling(c)
		time.Sleep(10 * time.Second)
		if got := c.StalledSince(time.Now().Add(-10 * time.Second)); got != 0 {
			t.Errorf("a process that runs stalled for %v", got)
		}
		stop()

		beforeStall := time.Now()
		stallFor(2 * time.Second)
		stop = startSampling(c)
		// A query accounts for the stall even before Run has taken its next sample.
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
		// If the stall began before the given time, only the part after that time counts.
		if got := c.StalledSince(afterStall.Add(-time.Second)); got != time.Second {
			t.Errorf("stalled for %v of the last second of the stall", got)
		}
		s := c.Stats()
		if s.Count != 1 || s.Total != 1900*time.Millisecond || len(reported) != 1 || reported[0] != s.Total {
			t.Errorf("%+v, reported %v", s, reported)
		}
		stop()
	})
}

// TestQuotaPausesAreNotStalls: a process that pauses until its CPU quota is refilled every 100 ms does not
// stall.
func TestQuotaPausesAreNotStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(nil)
		for range 100 {
			time.Sleep(95 * time.Millisecond) // the process does not run
			c.Sample()
		}
		if s := c.Stats(); s.Count != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// TestHistoryIsBounded checks that only the latest maxStalls stalls are remembered, and that all are counted.
func TestHistoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(nil)
		started := time.Now()
		for range 2 * maxStalls {
			stallFor(time.Second)
			c.Sample()
		}
		if len(c.stalls) != maxStalls || c.Stats().Count != 2*maxStalls {
			t.Errorf("%d stalls are remembered of %d counted", len(c.stalls), c.Stats().Count)
		}
		if got, want := c.StalledSince(started), maxStalls*900*time.Millisecond; got != want {
			t.Errorf("remembered stalls of %v, StalledSince returns %v", want, got)
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

// TestTimeoutExcludesStalls: a timeout counts only the time in which the process runs, and does not end
// before the process has run for catchUpTime after a stall.
func TestTimeoutExcludesStalls(t *testing.T) {
	const timeout = time.Second
	for name, test := range map[string]struct{ ran, stall, left time.Duration }{
		"no stall":                {time.Second, 0, 0},
		"in the middle":           {400 * time.Millisecond, 5 * time.Second, 500 * time.Millisecond},
		"just before its end":     {990 * time.Millisecond, 5 * time.Second, catchUpTime},
		"longer than the timeout": {0, 30 * time.Second, 900 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := New(nil)
			started := time.Now()
			stop := startSampling(c)
			time.Sleep(test.ran)
			stop()
			c.Sample()
			stallFor(test.stall)
			if got := c.Remaining(started, timeout); got != test.left {
				t.Errorf("%s: %v are left, not %v", name, got, test.left)
			}
			ended := time.Now()
			stop = startSampling(c)
			time.Sleep(catchUpTime)
			if got, want := c.Remaining(started, timeout), test.left-time.Since(ended); got != want {
				t.Errorf("%s: %v are left later, not %v", name, got, want)
			}
			stop()
		})
	}
}

// TestContextTimeoutExcludesStalls: the context of WithTimeout lasts as long as Remaining says.
func TestContextTimeoutExcludesStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(nil)
		started := time.Now()
		ctx, cancel := c.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, ok := ctx.Deadline(); ok {
			t.Error("the context has a deadline, which callees could set a timer or socket deadline from")
		}
		stallFor(600 * time.Millisecond)
		c.Sample()
		stop := startSampling(c)
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
			t.Errorf("the context ended with %v", ctx.Err())
		}
		called := false
		c.AfterFunc(time.Second, func() { called = true }).Stop()
		time.Sleep(time.Minute)
		if called {
			t.Error("a stopped timer called its function")
		}
	})
}
