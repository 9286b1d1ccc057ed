package pending

import (
	"context"
	"time"

	"cresshub/internal/cluster/ledger"
)

// PeriodCloser closes periods: whoever leads the group proposes it once the open period has lasted. The log
// decides where a period ends; the time here is this member's own, from when it first saw the period open.
type PeriodCloser struct {
	Period     time.Duration
	IsLeader   func() bool
	OpenPeriod func() (uint64, bool)
	Propose    func(ctx context.Context, command []byte) (ledger.Result, error)
	Stop       <-chan struct{}
}

// Run closes periods until Stop closes.
func (c *PeriodCloser) Run() {
	tick := time.NewTicker(min(max(c.Period/20, 20*time.Millisecond), time.Second))
	defer tick.Stop()
	var openPeriod uint64
	since := time.Now()
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
			openPeriod, since = period, time.Now()
		}
		if time.Since(since) < c.Period || !c.IsLeader() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		c.Propose(ctx, (&ledger.ClosePeriod{Period: openPeriod, AtMS: time.Now().UnixMilli()}).Encode())
		cancel()
	}
}
