package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// contactTimeout is how long after its last answer a member counts as reached.
const contactTimeout = 1500 * time.Millisecond

// anyMember reports whether another member of the view, to which there is a link, meets a condition.
func (a *Agent) anyMember(condition func(peerproto.MemberInfo, *hub) bool) bool {
	for _, member := range a.state.currentView().members {
		if h := a.hubs.at(member.Address); h != nil && condition(member, h) {
			return true
		}
	}
	return false
}

// majorityMeets reports whether more than half of the members of the view meet a condition. This process
// meets it where it is a member itself. Without a view there is no majority.
func (a *Agent) majorityMeets(condition func(*hub) bool) bool {
	members := a.state.currentView().members
	count := 0
	for _, member := range members {
		if member.Address == a.settings.IP {
			count++
			continue
		}
		if h := a.hubs.at(member.Address); h != nil && condition(h) {
			count++
		}
	}
	return 2*count > len(members)
}

// reachesMajority reports whether more than half of the members of the view have answered within
// contactTimeout. A member that does not reach them may have stale records, and must not serve them.
func (a *Agent) reachesMajority() bool {
	now := a.now()
	return a.majorityMeets(func(h *hub) bool { return h.isResponsive(now) })
}

// knowsFleet reports whether this process knows its hubs. Until the first view is decided, the seeds take its
// place; a process that starts later has to learn the view.
func (a *Agent) knowsFleet() bool { return a.settings.FirstStart || a.state.currentView().epoch > 0 }

// reachesFleet reports whether the changes of this process's directory reach the rest of the fleet: where a
// view is known, a majority of its members has to respond.
func (a *Agent) reachesFleet() bool {
	return a.state.currentView().epoch == 0 || a.reachesMajority()
}

// awaitMajority waits until more than half of the members of the view have the changes of this process's
// directory up to an offset. It returns false after the timeout, which is always the case without a view.
func (a *Agent) awaitMajority(offset uint64, timeout time.Duration) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	hasOffset := func(h *hub) bool { return h.current().replicatedTo >= offset }
	for {
		replicated := a.replicated.next()
		if a.majorityMeets(hasOffset) {
			return true
		}
		select {
		case <-replicated:
		case <-deadline.C:
			return false
		}
	}
}
