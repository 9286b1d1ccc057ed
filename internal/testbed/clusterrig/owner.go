package clusterrig

import (
	"context"
	"errors"
	"slices"
	"time"

	"cresshub/internal/cluster/leaseholder"
)

// ShortLease is the lease of ShortLeaseTOML, short so that a test sees many.
const ShortLease = 600 * time.Millisecond

// ShortLeaseTOML is the configuration of members in tests of owners: a ledger with short periods, and both
// singleton roles.
const ShortLeaseTOML = `[ledger]
bind = "127.0.0.1:0"
data = "{data}"
period = "200ms"
remember = 1
heartbeat = "40ms"
election = "300ms"
snapshot_entries = 500
keep = 10000
[owner]
chores = ["export", "list"]
sink = "{sink}"
lease = "600ms"
call = "400ms"
list_max_age = "2s"
list_poll = "50ms"
faults = "{data}.calls"
`

// OwnerPage returns a member's page of the singleton roles; the page's problem is returned as an error.
func OwnerPage(m *Member) (page leaseholder.Page, err error) {
	err = m.GetJSON("/_owner", &page)
	if err == nil && page.Problem != "" {
		err = errors.New(page.Problem)
	}
	return page, err
}

// Ownership is a member that owns the singleton roles, with its fencing token.
type Ownership struct {
	*Member
	Token uint64
	// Acquired is when the member acquired the lease, or up to maxPageTime earlier: the member says for how long
	// it has held the lease, and the time that its page takes is not known on each way. It does not depend on
	// when this process got to ask for the page.
	Acquired time.Time
	Stalled  time.Duration // for how long this process did not run while it waited
}

// takeoverTime is how long after a fault the member acquired the lease, without the time in which this
// process did not run: neither did the members then, or not all of them.
func (o *Ownership) takeoverTime(fault time.Time) time.Duration {
	return o.Acquired.Sub(fault) - o.Stalled
}

const (
	// maxPageTime bounds the time that a page of an owner may take for its Acquired to be good enough;
	// pageAttempts bounds how often the page is read for that.
	maxPageTime  = 50 * time.Millisecond
	pageAttempts = 20
)

// measure sets Acquired as well as the member's pages tell.
func (o *Ownership) measure() {
	for range pageAttempts {
		asked := time.Now()
		var page leaseholder.Page
		if err := o.GetJSON("/_owner", &page); err != nil || !page.Owns || page.Token != o.Token {
			return // what is known already holds
		}
		// The page was made after asked, and what it says is rounded down.
		earliest := asked.Add(-time.Duration(page.OwnedForMS+1) * time.Millisecond)
		if earliest.After(o.Acquired) {
			o.Acquired = earliest
		}
		if time.Since(asked) <= maxPageTime {
			return
		}
	}
}

// WaitOwner waits until a member other than the excluded ones owns the singleton roles.
func (r *Rig) WaitOwner(ctx context.Context, limit time.Duration, exclude ...*Member) (Ownership, error) {
	var owner Ownership
	var last error
	watch := startStopwatch()
	err := watch.poll(ctx, limit, ownerPollInterval, func() error {
		for _, m := range r.Running() {
			if slices.Contains(exclude, m) {
				continue
			}
			var page leaseholder.Page
			if last = m.GetJSON("/_owner", &page); last == nil && page.Owns {
				owner = Ownership{Member: m, Token: page.Token}
				return nil
			}
		}
		return errNoOwner
	})
	if err == nil {
		owner.measure()
		owner.Stalled = watch.stalled
		return owner, nil
	}
	return Ownership{}, errors.Join(err, last)
}

// ownerPollInterval is how often members are asked who owns the singleton roles.
const ownerPollInterval = 5 * time.Millisecond

var errNoOwner = errors.New("no member owns the singleton roles")
