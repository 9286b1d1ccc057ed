package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// contactTimeout is how long after its last answer to a ping a member counts as reached.
const contactTimeout = 1500 * time.Millisecond

// quorum determines whether this process reaches a majority of the members of the view, and waits until a
// majority has records of this process. It combines the view, which is in the state, with the links to the
// hubs; it has no lock of its own. Its methods are safe for concurrent use, but must not be called with the
// lock of the state held.
type quorum struct {
	*process
	state      *state
	hubs       *hubSet
	replicated *broadcast // notified when a hub has received records of this process
}

func newQuorum(p *process, state *state, hubs *hubSet) *quorum {
	return &quorum{process: p, state: state, hubs: hubs, replicated: newBroadcast()}
}

// anyMember reports whether any other member of the view to which there is a link meets a condition.
func (q *quorum) anyMember(condition func(peerproto.MemberInfo, *hub) bool) bool {
	for _, member := range q.state.currentView().members {
		if h := q.hubs.get(member.Address); h != nil && condition(member, h) {
			return true
		}
	}
	return false
}

// majorityMeets reports whether more than half of the members of the view meet a condition. This process
// counts as meeting it if it is a member itself. Without a view there is no majority.
func (q *quorum) majorityMeets(condition func(*hub) bool) bool {
	members := q.state.currentView().members
	count := 0
	for _, member := range members {
		if member.Address == q.settings.IP {
			count++
			continue
		}
		if h := q.hubs.get(member.Address); h != nil && condition(h) {
			count++
		}
	}
	return 2*count > len(members)
}

// reachesMajority reports whether more than half of the members of the view have answered a ping within
// contactTimeout. A member that does not reach a majority may have stale records, and must not serve them.
func (q *quorum) reachesMajority() bool {
	now := q.now()
	return q.majorityMeets(func(h *hub) bool { return h.isResponsive(now) })
}

// reachesFleet reports whether changes of this process's directory reach the rest of the fleet: if a view is
// known, a majority of its members must respond.
func (q *quorum) reachesFleet() bool {
	return q.state.currentView().epoch == 0 || q.reachesMajority()
}

// awaitMajority waits until more than half of the members of the view have the changes of this process's
// directory up to an offset. It returns false if the timeout expires first, as it always does without a view.
func (q *quorum) awaitMajority(offset uint64, timeout time.Duration) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	hasOffset := func(h *hub) bool { return h.current().replicatedOffset >= offset }
	for {
		replicated := q.replicated.next()
		if q.majorityMeets(hasOffset) {
			return true
		}
		select {
		case <-replicated:
		case <-deadline.C:
			return false
		}
	}
}
