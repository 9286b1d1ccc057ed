package agent

import (
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/directory"
)

const (
	// bootstrapDelay is how long after its start the bootstrapper waits for machines with a disk at least.
	bootstrapDelay = 1500 * time.Millisecond
	// bootstrapStablePeriod is how long their number has to stay the same. It is also the interval of retries.
	bootstrapStablePeriod = 800 * time.Millisecond
)

// bootstrap is the progress of the process that proposes the first view of a new fleet. It belongs to the
// chain goroutine.
type bootstrap struct {
	candidates  int           // machines with a disk that are known
	stableSince time.Duration // when their number last changed, or a view was last proposed
}

// tryBootstrap proposes the first view, of all machines with a disk, once no new one has appeared for
// bootstrapStablePeriod. It does nothing where this process is not the bootstrapper.
func (m *chainMember) tryBootstrap() {
	if m.bootstrap == nil {
		return
	}
	if m.machine.View().Epoch > 0 {
		m.bootstrap = nil
		return
	}
	members := m.machinesWithDisk()
	now := m.agent.now()
	if len(members) != m.bootstrap.candidates {
		m.bootstrap.candidates, m.bootstrap.stableSince = len(members), now
		return
	}
	if len(members) == 0 || now < bootstrapDelay || now-m.bootstrap.stableSince < bootstrapStablePeriod {
		return
	}
	m.bootstrap.stableSince = now // retry after the same period
	m.agent.log.Info().Int("members", len(members)).Msg("chain: bootstrapping")
	m.step(func(now time.Duration) chain.Effects { return m.machine.Bootstrap(now, members) })
}

// machinesWithDisk returns the machines whose processes have announced the identity of their disk.
func (m *chainMember) machinesWithDisk() []chain.Member {
	var members []chain.Member
	m.agent.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			if proxy.Member != "" {
				members = append(members, chain.Member{ID: chain.MemberID(proxy.Member), Address: proxy.Address})
			}
		}
	})
	return members
}
