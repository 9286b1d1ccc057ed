package clusterrig

import (
	"context"
	"fmt"
	"time"
)

// pollInterval is how often a condition is checked.
const pollInterval = 15 * time.Millisecond

// sleep sleeps for d; it returns ctx's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitReady waits until every member answers that it is ready, which takes a list of servers.
func (r *Rig) waitReady(ctx context.Context, limit time.Duration) error {
	return poll(ctx, limit, pollInterval, func() error {
		for _, m := range r.Members {
			if !m.Ready() {
				return fmt.Errorf("%s is not ready after %v", m.Name, limit)
			}
		}
		return nil
	})
}
