package agent

import (
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/directory"
)

const (
	// bootstrapDelay is the minimum time for which the bootstrapper waits, from its start on, for machines with
	// a disk to announce themselves.
	bootstrapDelay = 1500 * time.Millisecond
	// bootstrapStablePeriod is how long the number of machines with a disk has to be unchanged before the first
	// view is proposed. It is also the interval between retries of the proposal.
	bootstrapStablePeriod = 800 * time.Millisecond
)

// bootstrapper decides when this process proposes the first view of a new fleet, and with which members. It
// belongs to the chain goroutine.
type bootstrapper struct {
	state       *state
	now         func() time.Duration
	candidates  int           // number of known machines with a disk
	stableSince time.Duration // when that number last changed, or a view was last proposed
}

// dueMembers returns the members of the first view if it is to be proposed now: all machines with a disk,
// once their number has not changed for bootstrapStablePeriod. Until then it returns none.
func (b *bootstrapper) dueMembers() []chain.Member {
	members := b.machinesWithDisk()
	now := b.now()
	if len(members) != b.candidates {
		b.candidates, b.stableSince = len(members), now
		return nil
	}
	if len(members) == 0 || now < bootstrapDelay || now-b.stableSince < bootstrapStablePeriod {
		return nil
	}
	b.stableSince = now // retry after the same period
	return members
}

// machinesWithDisk returns the machines whose processes have announced the identity of their disk.
func (b *bootstrapper) machinesWithDisk() []chain.Member {
	var members []chain.Member
	b.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			if proxy.Member != "" {
				members = append(members, chain.Member{ID: chain.MemberID(proxy.Member), Address: proxy.Address})
			}
		}
	})
	return members
}
