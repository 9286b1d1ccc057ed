package pending

import (
	"context"
	"time"

	"cresshub/internal/cluster/ledger"
)

// PeriodCloser proposes the end of the open period, on the member that leads the group, once the period has
// lasted long enough. The position of that command in the log decides where the period ends; how long it has
// lasted counts by this member's clock from when it first observed the period.
type PeriodCloser struct {
	// Period is how long a period lasts, at least; 1 m by default.
	Period time.Duration
	// IsLeader reports whether this member leads the group. It is called once a period has lasted long enough.
	IsLeader func() bool
	// OpenPeriod returns the number of the open period, false if it isn't known on this member.
	OpenPeriod func() (uint64, bool)
	// Stop ends Run once it is closed.
	Stop <-chan struct{}
	// Propose commits a command, and returns its result.
	Propose func(ctx context.Context, command []byte) (ledger.Result, error)
}

// The open period is looked at 20 times within a period, but not more and not less often than this.
const (
	periodChecks     = 20
	minCheckInterval = 20 * time.Millisecond
	maxCheckInterval = time.Second
)

// Run proposes until Stop is closed. All functions are called by its goroutine.
func (c *PeriodCloser) Run() {
	tick := time.NewTicker(min(max(c.Period/periodChecks, minCheckInterval), maxCheckInterval))
	defer tick.Stop()
	var openPeriod uint64
	openSince := time.Now()
	for {
		select {
		case <-c.Stop:
			return
		case <-tick.C:
		}
		period, ok := c.OpenPeriod()
		if !ok {
			continue
		}
		if period != openPeriod {
			openPeriod, openSince = period, time.Now()
		}
		if time.Since(openSince) >= c.Period && c.IsLeader() {
			c.propose(openPeriod)
		}
	}
}

func (c *PeriodCloser) propose(period uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	cmd := ledger.ClosePeriod{Period: period, AtMS: time.Now().UnixMilli()}
	_, _ = c.Propose(ctx, cmd.Encode()) // a period that is still open is closed at the next tick
}
