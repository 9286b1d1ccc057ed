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
	Period     time.Duration         // how long a period lasts
	IsLeader   func() bool           // whether this member leads the group
	OpenPeriod func() (uint64, bool) // number of the open period, false if it isn't known here
	Stop       <-chan struct{}       // Run returns once it is closed
	// Propose commits a command.
	Propose func(ctx context.Context, command []byte) (ledger.Result, error)
}

// Run proposes until Stop is closed.
func (c *PeriodCloser) Run() {
	tick := time.NewTicker(min(max(c.Period/20, 20*time.Millisecond), time.Second))
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
