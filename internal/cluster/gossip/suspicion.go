package gossip

import (
	"math"
	"math/rand/v2"
	"time"

	"cresshub/internal/cluster/membership"
)

// smallFleetSize is the number of members up to which a fleet counts as small.
const smallFleetSize = 32

// maxSuspectSyncs is how many suspects this member exchanges states with at once. A member whose own links
// are slow suspects all others, and each exchange takes several times its links' delay: if the exchanges ran
// one after the other, the last would start after its suspicion has ended.
const maxSuspectSyncs = 16

// scheduleSuspectSyncs schedules an exchange of states with each suspect of the view, whichever member raised
// the suspicion, after a random delay. By the exchange, this member learns of a refutation that gossip has
// not delivered. In a small fleet, where gossip misses more, the exchange comes before a confirmed suspicion
// ends; in a large fleet it comes after that, so that not all members connect to one that has failed. f.mu
// is held.
func (f *Fleet) scheduleSuspectSyncs() {
	now := f.now()
	members := f.view.Snapshot()
	minTimeout := float64(f.opts.SuspicionMult) * float64(f.opts.ProbeInterval)
	// memberlist ends a suspicion within this time: it reports the member dead or forwards a refutation.
	maxTimeout := 6*minTimeout*math.Max(1, math.Log10(float64(len(members)))) + float64(time.Second)
	suspects := map[string]bool{}
	for _, member := range members {
		if member.Status != membership.Suspect {
			continue
		}
		name := member.Name
		suspects[name] = true
		at, scheduled := f.suspectSyncAt[name]
		switch {
		case float64(now-member.StatusSince) > maxTimeout:
			f.changeStatus(name, membership.Suspect, membership.Alive, &f.counters.Refuted)
		case !scheduled:
			f.suspectSyncAt[name] = member.StatusSince + suspectSyncDelay(minTimeout, len(members))
		case now >= at:
			f.suspectSyncAt[name] = now + time.Duration(2*minTimeout) // again, if the suspicion lasts
			f.queueSuspectSync(name)
		}
	}
	for name := range f.suspectSyncAt {
		if !suspects[name] {
			delete(f.suspectSyncAt, name)
		}
	}
}

// suspectSyncDelay returns a random delay from the start of a suspicion to the state exchange with the
// suspect. minTimeout is in nanoseconds.
func suspectSyncDelay(minTimeout float64, members int) time.Duration {
	fraction := 1 + 2*rand.Float64()
	if members <= smallFleetSize {
		fraction = 0.3 + 0.4*rand.Float64()
	}
	return time.Duration(minTimeout * fraction)
}

// queueSuspectSync queues a suspect for syncLoop to exchange states with. It drops the suspect if the queue
// is full: then very many members are unreachable, or this one is.
func (f *Fleet) queueSuspectSync(name string) {
	select {
	case f.suspectQueue <- name:
	default:
	}
}

// startSuspectSync exchanges states with a suspect in a goroutine. It does nothing if an exchange with this
// suspect or maxSuspectSyncs exchanges are running: scheduleSuspectSyncs queues the member again while it is
// suspect.
func (f *Fleet) startSuspectSync(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.suspectSyncs[name] || len(f.suspectSyncs) >= maxSuspectSyncs {
		return
	}
	f.suspectSyncs[name] = true
	f.goroutines.Go(func() {
		f.syncWithSuspect(name)
		f.mu.Lock()
		delete(f.suspectSyncs, name)
		f.mu.Unlock()
	})
}

// syncWithSuspect exchanges states with a suspect twice: by the first exchange the suspect learns of the
// suspicion, by the second this member learns of its refutation. Gossip carries both, but reaches each member
// only with high probability, and a member with slow links of its own suspects many others.
func (f *Fleet) syncWithSuspect(name string) {
	for exchange := range 2 {
		f.mu.Lock()
		suspect, known := f.view.Get(name)
		f.mu.Unlock()
		if !known || suspect.Status != membership.Suspect {
			return
		}
		if joined, _ := f.memberlist.Join([]string{suspect.Address}); joined == 0 {
			return
		}
		if exchange == 0 {
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
