package pending

import (
	"context"
	"time"

	"cresshub/internal/cluster/ledger"
)

// Closer closes periods: whoever leads the group proposes it once the open period has lasted. The log decides
// where a period ends; the time here is this member's own, from when it first saw the period open.
type Closer struct {
	Period  time.Duration
	Leads   func() bool
	Open    func() (uint64, bool)
	Propose func(ctx context.Context, command []byte) (ledger.Result, error)
	Stop    <-chan struct{}
}

// Run closes periods until Stop closes.
func (c *Closer) Run() {
	tick := time.NewTicker(min(max(c.Period/20, 20*time.Millisecond), time.Second))
	defer tick.Stop()
	var open uint64
	since := time.Now()
	for {
		select {
		case <-c.Stop:
			return
		case <-tick.C:
		}
		now, ok := c.Open()
		if !ok {
			continue
		}
		if now != open {
			open, since = now, time.Now()
		}
		if time.Since(since) < c.Period || !c.Leads() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), tryFor)
		c.Propose(ctx, (&ledger.Close{Period: open, AtMS: time.Now().UnixMilli()}).Encode())
		cancel()
	}
}
