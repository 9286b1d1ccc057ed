package agent

import "cresshub/internal/router/peerproto"

// ownStatus composes the status that this process reports to others.
type ownStatus struct {
	*process
	state  *state
	quorum *quorum
}

// get returns the status with which this process answers pings and announcements, and which it announces.
func (s *ownStatus) get() *peerproto.Status {
	v := s.state.currentView()
	return &peerproto.Status{ID: s.id, Version: s.state.version(), Epoch: v.epoch, Members: v.members,
		HasSnapshot: s.state.isSynced(), ReachesMajority: s.quorum.reachesFleet()}
}
