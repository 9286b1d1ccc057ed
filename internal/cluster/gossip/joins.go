package gossip

import (
	"math/rand/v2"
	"net"
	"time"

	"cresshub/internal/cluster/membership"
)

// nameConflict is the address at which another member held our name in the last join, or "".
func (f *Fleet) nameConflict() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conflictAddress
}

// nameAnswersAt tells whether a process at address answers to our name. A few probes are sent, each waiting
// for ProbeTimeout: nothing answers where our own earlier life was, which the others just do not know yet.
func (f *Fleet) nameAnswersAt(address string) bool {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false
	}
	for range 3 {
		if _, err := f.ml.Ping(f.opts.Name, to); err == nil {
			return true
		}
	}
	f.log.Info("fleet: others still hold our name at another address, where nothing answers; joining until "+
		"they take this one", "held", address)
	return false
}

func (f *Fleet) join(addresses []string) int {
	f.mu.Lock()
	f.conflictAddress = ""
	f.mu.Unlock()
	n, err := f.ml.Join(addresses)
	if err != nil && n == 0 {
		f.log.Debug("fleet: join found nobody", "tried", len(addresses), "err", err)
	}
	return n
}

// supersedePrevious raises this member's incarnation above that of its earlier life, where others hold that
// still and the wall clock has gone back since: with a lower one what it says of itself would not be heard.
func (f *Fleet) supersedePrevious() {
	f.mu.Lock()
	m := *f.meta.Load()
	previous := f.previousIncarnation
	if previous > m.Incarnation {
		m.Incarnation = previous + 1
		f.meta.Store(&m)
		f.pendingUpdates++
	}
	f.mu.Unlock()
	if m.Incarnation != previous+1 {
		return
	}
	f.log.Warn("fleet: an earlier life of this member is held with a later start; the wall clock went back",
		"held", previous, "incarnation", m.Incarnation)
	if err := f.ml.UpdateNode(f.opts.ProbeInterval); err != nil {
		f.log.Debug("fleet: the new incarnation was not told to all", "err", err)
	}
}

// syncLoop does what waits for streams: it exchanges its state now and then, joins seeds and lately dead
// members again, one thing at a time, and beside that asks those that this view holds suspect.
func (f *Fleet) syncLoop() {
	defer f.done.Done()
	rejoin, sync := time.NewTimer(jitter(f.opts.RejoinInterval)), time.NewTimer(jitter(f.syncInterval()))
	defer rejoin.Stop()
	defer sync.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-rejoin.C:
			f.rejoin()
			rejoin.Reset(jitter(f.opts.RejoinInterval))
		case <-sync.C:
			f.syncRandomMember()
			sync.Reset(jitter(f.syncInterval()))
		case name := <-f.suspectQueue:
			f.startSuspectSync(name)
		}
	}
}

// maxSuspectSyncs is how many suspects are asked at once. A member whose own links are slow suspects all
// others, and each exchange takes it several times its links' delay: one after the other the last would be
// asked after its suspicion is over.
const maxSuspectSyncs = 16

// startSuspectSync asks a suspect, unless it is being asked or too many are.
func (f *Fleet) startSuspectSync(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.suspectSyncs[name] || len(f.suspectSyncs) >= maxSuspectSyncs {
		return // it is asked again as long as it is held suspect
	}
	f.suspectSyncs[name] = true
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		f.syncWithSuspect(name)
		f.mu.Lock()
		delete(f.suspectSyncs, name)
		f.mu.Unlock()
	}()
}

// syncWithSuspect exchanges states with a member that this one suspects, twice: by the first it hears of the
// suspicion, by the second this member hears its refutation. Gossip would carry both, but it reaches each
// member only most likely, and a member whose own links are slow is the one to suspect many.
func (f *Fleet) syncWithSuspect(name string) {
	for attempt := range 2 {
		f.mu.Lock()
		m, ok := f.view.Get(name)
		f.mu.Unlock()
		if !ok || m.Status != membership.Suspect {
			return
		}
		if n, _ := f.ml.Join([]string{m.Address}); n == 0 {
			return
		}
		if attempt == 0 {
			select {
			case <-time.After(f.opts.ProbeTimeout / 2):
			case <-f.stop:
				return
			}
		}
	}
	f.mu.Lock()
	f.counters.Asked++
	f.mu.Unlock()
}

// jitter returns d, a quarter more or less, so that members of a fleet started at once do not call at once.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

// syncInterval is the time between full exchanges of state. Each holds all members, so that a fixed pace
// would cost each member more as the fleet grows; what gossip missed is what they are for, and that is
// rare.
func (f *Fleet) syncInterval() time.Duration {
	return f.opts.SyncIntervalPerMember * time.Duration(f.ml.NumMembers())
}

// syncRandomMember exchanges the whole state with one live member, drawn at random.
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

// rejoin tries one lately dead member, as serf's reconnect does: after a partition outlasts the dead
// timeout, each half holds the other dead and memberlist alone never probes it again. Beside it goes one
// seed that is no live member: of a fleet we never met, or whose dead we forgot.
func (f *Fleet) rejoin() {
	// Not under f.mu: memberlist has news of members noted under its own lock, and Address takes that.
	live := map[string]bool{f.Address(): true}
	f.mu.Lock()
	for _, m := range f.view.Snapshot() {
		live[m.Address] = live[m.Address] || m.Status == membership.Alive || m.Status == membership.Suspect
	}
	dead := f.view.RecentlyDead()
	claiming := f.conflictAddress != ""
	f.mu.Unlock()
	var targets, seeds []string
	if len(dead) > 0 {
		targets = append(targets, dead[rand.N(len(dead))].Address)
	}
	for _, s := range f.opts.Seeds {
		if claiming || !live[s] {
			seeds = append(seeds, s)
		}
	}
	if len(seeds) > 0 {
		targets = append(targets, seeds[rand.N(len(seeds))])
	}
	if len(targets) > 0 && f.join(targets) > 0 {
		f.mu.Lock()
		f.counters.Rejoins++
		f.mu.Unlock()
		f.supersedePrevious() // a seed that did not answer at the start
	}
}
