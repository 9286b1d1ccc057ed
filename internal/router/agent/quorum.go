package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// contactTimeout is how long after its last answer a member counts as reached.
const contactTimeout = 1500 * time.Millisecond

// quorum answers whether a majority of the members of the view is reached, and waits until it has records of
// this process. It joins the view, which is in the state, with the links to the hubs; it has no lock of its
// own. Its methods are safe for concurrent use, but must not be called with the lock of the state held.
type quorum struct {
	*process
	state      *state
	hubs       *hubSet
	replicated *broadcast // a hub has received records of this process
}

func newQuorum(p *process, state *state, hubs *hubSet) *quorum {
	return &quorum{process: p, state: state, hubs: hubs, replicated: newBroadcast()}
}

// anyMember reports whether another member of the view, to which there is a link, meets a condition.
func (q *quorum) anyMember(condition func(peerproto.MemberInfo, *hub) bool) bool {
	for _, member := range q.state.currentView().members {
		if h := q.hubs.at(member.Address); h != nil && condition(member, h) {
			return true
		}
	}
	return false
}

// majorityMeets reports whether more than half of the members of the view meet a condition. This process
// meets it where it is a member itself. Without a view there is no majority.
func (q *quorum) majorityMeets(condition func(*hub) bool) bool {
	members := q.state.currentView().members
	count := 0
	for _, member := range members {
		if member.Address == q.settings.IP {
			count++
			continue
		}
		if h := q.hubs.at(member.Address); h != nil && condition(h) {
			count++
		}
	}
	return 2*count > len(members)
}

// reachesMajority reports whether more than half of the members of the view have answered within
// contactTimeout. A member that does not reach them may have stale records, and must not serve them.
func (q *quorum) reachesMajority() bool {
	now := q.now()
	return q.majorityMeets(func(h *hub) bool { return h.isResponsive(now) })
}

// reachesFleet reports whether the changes of this process's directory reach the rest of the fleet: where a
// view is known, a majority of its members has to respond.
func (q *quorum) reachesFleet() bool {
	return q.state.currentView().epoch == 0 || q.reachesMajority()
}

// awaitMajority waits until more than half of the members of the view have the changes of this process's
// directory up to an offset. It returns false after the timeout, which is always the case without a view.
func (q *quorum) awaitMajority(offset uint64, timeout time.Duration) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	hasOffset := func(h *hub) bool { return h.current().replicatedTo >= offset }
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
