package gossip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"cresshub/internal/cluster/membership"
)

// nameProbes is how many probes at most find out whether another process has this member's name.
const nameProbes = 3

// checkNameIsFree returns an error if a live process other than this one has this member's name, as far as
// the last join shows.
func (f *Fleet) checkNameIsFree() error {
	conflict := f.nameConflict()
	if conflict == "" || !f.nameAnswersAt(conflict) {
		return nil
	}
	return fmt.Errorf("fleet: the name %q is held by a live member at %s; names must be unique", f.opts.Name,
		conflict)
}

// nameConflict returns the address at which another process had this member's name since the last join began;
// "" for none.
func (f *Fleet) nameConflict() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conflictAddress
}

// nameAnswersAt reports whether a process at an address answers probes of this member's name. If none does,
// the other members have merely not noticed yet that a previous incarnation has ended.
func (f *Fleet) nameAnswersAt(address string) bool {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false
	}
	for range nameProbes {
		if _, err := f.memberlist.Ping(f.opts.Name, to); err == nil {
			return true
		}
	}
	f.log.Info("fleet: name known at another address, which does not answer; joining until this one replaces it",
		"held", address)
	return false
}

// join exchanges states with the members at the given addresses, and returns with how many it succeeded.
// After it, nameConflict returns the address of another process with this member's name if the states showed
// one.
func (f *Fleet) join(addresses []string) int {
	f.mu.Lock()
	f.conflictAddress = ""
	f.mu.Unlock()
	joined, err := f.memberlist.Join(addresses)
	if err != nil && joined == 0 {
		f.log.Debug("fleet: join reached nobody", "tried", len(addresses), "err", err)
	}
	return joined
}

// supersedePrevious raises this member's incarnation above that of its previous start, if other members still
// know that one and the wall clock has gone back since: they would ignore updates of a lower incarnation.
func (f *Fleet) supersedePrevious() {
	f.mu.Lock()
	meta := *f.meta.Load()
	previous := f.previousIncarnation
	if previous > meta.Incarnation {
		meta.Incarnation = previous + 1
		f.meta.Store(&meta)
		f.pendingUpdates++
	}
	f.mu.Unlock()
	if meta.Incarnation != previous+1 {
		return
	}
	f.log.Warn("fleet: a previous incarnation of this member started later; the wall clock went back",
		"held", previous, "incarnation", meta.Incarnation)
	if err := f.memberlist.UpdateNode(f.opts.ProbeInterval); err != nil {
		f.log.Debug("fleet: new incarnation not sent to all", "err", err)
	}
}

// syncLoop runs the tasks that use streams, until the member stops: it exchanges states with random members
// and joins seeds and recently dead members again, one at a time, and starts the exchanges with suspects.
func (f *Fleet) syncLoop() {
	rejoinTimer := time.NewTimer(jitter(f.opts.RejoinInterval))
	defer rejoinTimer.Stop()
	syncTimer := time.NewTimer(jitter(f.syncInterval()))
	defer syncTimer.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-rejoinTimer.C:
			f.rejoin()
			rejoinTimer.Reset(jitter(f.opts.RejoinInterval))
		case <-syncTimer.C:
			f.syncRandomMember()
			syncTimer.Reset(jitter(f.syncInterval()))
		case name := <-f.suspectQueue:
			f.startSuspectSync(name)
		}
	}
}

// jitter returns d plus or minus up to a quarter, so that members started at the same time do not exchange
// states at the same time.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

// syncInterval returns the time between exchanges of full states. Each exchange carries all members, so that
// at a fixed interval the cost to each member would grow with the fleet; the exchanges only make up for
// updates that gossip has missed.
func (f *Fleet) syncInterval() time.Duration {
	return f.opts.SyncIntervalPerMember * time.Duration(f.memberlist.NumMembers())
}

// syncRandomMember exchanges full states with one live member, drawn at random.
func (f *Fleet) syncRandomMember() {
	f.mu.Lock()
	var live []string
	for _, m := range f.view.Snapshot() {
		if m.Status == membership.Alive && m.Name != f.opts.Name {
			live = append(live, m.Address)
		}
	}
	f.mu.Unlock()
	if len(live) > 0 && f.join([]string{live[rand.N(len(live))]}) > 0 {
		f.mu.Lock()
		f.counters.Syncs++
		f.mu.Unlock()
	}
}

// rejoin joins one recently dead member, as serf's reconnect does: after a partition that outlasts
// suspicions, each side considers the other dead and memberlist alone would never probe it again. It also
// joins one seed that is not a live member: this member may never have joined the fleet, or may have
// forgotten the dead members. After a conflict over its name it joins any of the seeds. The dead member is
// drawn first, then the seed.
func (f *Fleet) rejoin() {
	// Address takes memberlist's lock, under which memberlist's events take f.mu, so f.mu must not be held.
	live := map[string]bool{f.Address(): true}
	f.mu.Lock()
	for _, m := range f.view.Snapshot() {
		live[m.Address] = live[m.Address] || m.Status == membership.Alive || m.Status == membership.Suspect
	}
	dead := f.view.RecentlyDead()
	conflicting := f.conflictAddress != ""
	f.mu.Unlock()
	var targets, seeds []string
	if len(dead) > 0 {
		targets = append(targets, dead[rand.N(len(dead))].Address)
	}
	for _, seed := range f.opts.Seeds {
		if conflicting || !live[seed] {
			seeds = append(seeds, seed)
		}
	}
	if len(seeds) > 0 {
		targets = append(targets, seeds[rand.N(len(seeds))])
	}
	if len(targets) > 0 && f.join(targets) > 0 {
		f.mu.Lock()
		f.counters.Rejoins++
		f.mu.Unlock()
		f.supersedePrevious() // in case no seed answered during Start
	}
}
