package agent

import "cresshub/internal/router/peerproto"

// ownStatus is what this process tells others of itself.
type ownStatus struct {
	*process
	state  *state
	quorum *quorum
}

// get returns what this process answers to pings and announcements.
func (s *ownStatus) get() *peerproto.Status {
	v := s.state.currentView()
	return &peerproto.Status{ID: s.id, Version: s.state.version(), Epoch: v.epoch, Members: v.members,
		HasSnapshot: s.state.isSynced(), ReachesMajority: s.quorum.reachesFleet()}
}
