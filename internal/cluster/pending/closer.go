package pending

import (
	"context"
	"time"

	"cresshub/internal/cluster/ledger"
)

// PeriodCloser proposes to close the ledger's open period once it has lasted long enough, while this member
// leads the group. The position of that command in the log decides where the period ends. How long the period
// has lasted is measured by this member's clock, from when this member first observed the period as open.
type PeriodCloser struct {
	// Period is how long a period lasts at least; 1 m by default.
	Period time.Duration
	// IsLeader reports whether this member leads the group. It is called once a period has lasted long enough.
	IsLeader func() bool
	// OpenPeriod returns the number of the open period, false if it isn't known on this member.
	OpenPeriod func() (uint64, bool)
	// Stop ends Run once it is closed.
	Stop <-chan struct{}
	// Propose commits a command and returns its result.
	Propose func(ctx context.Context, command []byte) (ledger.Result, error)
}

// The open period is checked every Period/checksPerPeriod, but at intervals of at least minCheckInterval
// and at most maxCheckInterval.
const (
	checksPerPeriod  = 20
	minCheckInterval = 20 * time.Millisecond
	maxCheckInterval = time.Second
)

// Run closes periods until Stop is closed. It calls all functions of the PeriodCloser in its own goroutine.
func (c *PeriodCloser) Run() {
	tick := time.NewTicker(min(max(c.Period/checksPerPeriod, minCheckInterval), maxCheckInterval))
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

// propose proposes to close a period.
func (c *PeriodCloser) propose(period uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	cmd := ledger.ClosePeriod{Period: period, AtMS: time.Now().UnixMilli()}
	_, _ = c.Propose(ctx, cmd.Encode()) // if it fails, the next check proposes it again
}
