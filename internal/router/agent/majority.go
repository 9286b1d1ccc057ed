package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// contactLife is how long the last answer of a member shows that it can be reached.
const contactLife = 1500 * time.Millisecond

// anyMember tells whether a condition holds for another member of the view to which there is a link.
func (n *Node) anyMember(holds func(peerproto.MemberInfo, *hub) bool) bool {
	for _, member := range n.state.currentView().members {
		if h := n.hubAt(member.Address); h != nil && holds(member, h) {
			return true
		}
	}
	return false
}

// majorityOf tells whether more than half of the members of the view fulfil a condition. This process
// fulfils it where it is a member itself. Without a view there is no majority of it.
func (n *Node) majorityOf(members []peerproto.MemberInfo, fulfils func(*hub) bool) bool {
	count := 0
	for _, member := range members {
		if member.Address == n.settings.IP {
			count++
			continue
		}
		if h := n.hubAt(member.Address); h != nil && fulfils(h) {
			count++
		}
	}
	return 2*count > len(members)
}

// reachesMajority tells whether more than half of the members of the view answered lately. A member that
// does not reach them may hold old records, and must not hand them out.
func (n *Node) reachesMajority() bool {
	now := n.now()
	return n.majorityOf(n.state.currentView().members, func(h *hub) bool { return h.answers(now) })
}

// awaitMajority waits until more than half of the members of the view have all that was changed here up to
// a place. It tells whether that came about in time; it does not where no view is known.
func (n *Node) awaitMajority(place uint64, timeout time.Duration) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for {
		progress := n.nextProgress()
		holdsPlace := func(h *hub) bool { return h.current().pushed >= place }
		if n.majorityOf(n.state.currentView().members, holdsPlace) {
			return true
		}
		select {
		case <-progress:
		case <-deadline.C:
			return false
		}
	}
}

func (n *Node) nextProgress() <-chan struct{} {
	n.hubsMu.Lock()
	defer n.hubsMu.Unlock()
	return n.progress
}

func (n *Node) wakeWaiters() {
	n.hubsMu.Lock()
	defer n.hubsMu.Unlock()
	close(n.progress)
	n.progress = make(chan struct{})
}
