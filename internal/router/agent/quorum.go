package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// contactTimeout is how long the last answer of a member shows that it can be reached.
const contactTimeout = 1500 * time.Millisecond

// anyMember tells whether a condition holds for another member of the view to which there is a link.
func (a *Agent) anyMember(condition func(peerproto.MemberInfo, *hub) bool) bool {
	for _, member := range a.state.currentView().members {
		if h := a.hubAt(member.Address); h != nil && condition(member, h) {
			return true
		}
	}
	return false
}

// majorityOf tells whether more than half of the members of the view fulfil a condition. This process
// fulfils it where it is a member itself. Without a view there is no majority of it.
func (a *Agent) majorityOf(members []peerproto.MemberInfo, condition func(*hub) bool) bool {
	count := 0
	for _, member := range members {
		if member.Address == a.settings.IP {
			count++
			continue
		}
		if h := a.hubAt(member.Address); h != nil && condition(h) {
			count++
		}
	}
	return 2*count > len(members)
}

// reachesMajority tells whether more than half of the members of the view answered lately. A member that
// does not reach them may hold old records, and must not hand them out.
func (a *Agent) reachesMajority() bool {
	now := a.now()
	return a.majorityOf(a.state.currentView().members, func(h *hub) bool { return h.isResponsive(now) })
}

// awaitMajority waits until more than half of the members of the view have all that was changed here up to
// a place. It tells whether that came about in time; it does not where no view is known.
func (a *Agent) awaitMajority(offset uint64, timeout time.Duration) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for {
		progress := a.nextReplicated()
		hasOffset := func(h *hub) bool { return h.current().replicatedTo >= offset }
		if a.majorityOf(a.state.currentView().members, hasOffset) {
			return true
		}
		select {
		case <-progress:
		case <-deadline.C:
			return false
		}
	}
}

func (a *Agent) nextReplicated() <-chan struct{} {
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	return a.replicated
}

func (a *Agent) notifyReplicated() {
	a.hubsMu.Lock()
	defer a.hubsMu.Unlock()
	close(a.replicated)
	a.replicated = make(chan struct{})
}
