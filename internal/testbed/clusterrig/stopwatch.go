package clusterrig

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// stallThreshold is by how much longer than asked a sleep takes from which on this process has stalled: the
// machine was stopped, or too many wanted its processors. What others do meanwhile is then no fault of
// theirs.
const stallThreshold = 50 * time.Millisecond

// stopwatch measures a wait, and for how long this process stalled in it, as far as its sleeps show that. A
// limit counts only the time in which the process ran.
type stopwatch struct {
	started time.Time
	stalled time.Duration
}

func startStopwatch() *stopwatch { return &stopwatch{started: time.Now()} }

// sleep sleeps for d, and returns early once ctx ends.
func (w *stopwatch) sleep(ctx context.Context, d time.Duration) {
	began := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if over := time.Since(began) - d; over > stallThreshold {
		w.stalled += over
	}
}

// elapsed returns how long ago the wait began.
func (w *stopwatch) elapsed() time.Duration { return time.Since(w.started) }

// exceeds reports whether this process has run for longer than limit since the wait began.
func (w *stopwatch) exceeds(limit time.Duration) bool { return w.elapsed()-w.stalled > limit }

// errorAfter returns an error for a wait that was not over within a limit, which wraps the reason.
func (w *stopwatch) errorAfter(limit time.Duration, reason error) error {
	return fmt.Errorf("not within %v (%v, of which this process stalled for %v): %w", limit,
		w.elapsed().Round(time.Millisecond), w.stalled.Round(time.Millisecond), reason)
}

// poll calls check every interval until it returns nil. If it hasn't after limit, or once ctx ends, poll
// returns an error that wraps the last one of check.
func (w *stopwatch) poll(ctx context.Context, limit, interval time.Duration, check func() error) error {
	for {
		err := check()
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return errors.Join(err, ctx.Err())
		case w.exceeds(limit):
			return w.errorAfter(limit, err)
		}
		w.sleep(ctx, interval)
	}
}

// poll polls with a stopwatch of its own.
func poll(ctx context.Context, limit, interval time.Duration, check func() error) error {
	return startStopwatch().poll(ctx, limit, interval, check)
}
