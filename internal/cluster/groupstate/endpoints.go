package groupstate

import "encoding/json"

// maxEndpointListBytes bounds a published endpoint list.
const maxEndpointListBytes = 8 << 20

// endpointState is the endpoint list that was published last. It is stored in snapshots with its fields in
// this order, see package logcodec.
type endpointState struct {
	Token, Version, ChangedVersion uint64 // as in EndpointView
	DiscoveryIndex                 int64  // as in EndpointView
	Raw                            []byte // JSON in discovery's format
}

// applyPublishEndpointList publishes a list, or confirms the list that the same owner published under the
// same DiscoveryIndex.
func (m *Machine) applyPublishEndpointList(cmd *PublishEndpointList) Result {
	if !m.owns(cmd.Member, cmd.Token) {
		return m.rejectStale(cmd.Member, cmd.Token)
	}
	current := &m.state.Endpoints
	switch {
	case len(cmd.Raw) > maxEndpointListBytes:
		return m.reject("endpoint list has %d bytes, limit is %d", len(cmd.Raw), maxEndpointListBytes)
	case len(cmd.Raw) > 0 && !json.Valid(cmd.Raw):
		return m.reject("endpoint list is not valid JSON")
	case len(cmd.Raw) == 0 && (current.Token != cmd.Token || current.DiscoveryIndex != cmd.DiscoveryIndex):
		return m.reject("can't confirm endpoint list: its token or index differs from the published list's")
	}
	current.Version, current.Token, current.DiscoveryIndex = m.appliedIndex, cmd.Token, cmd.DiscoveryIndex
	if len(cmd.Raw) > 0 {
		current.ChangedVersion, current.Raw = m.appliedIndex, cmd.Raw
	}
	m.state.Stats.EndpointLists++
	return accepted
}

// endpointView returns the published list without Raw.
func (m *Machine) endpointView() EndpointView {
	published := &m.state.Endpoints
	return EndpointView{
		Version:        published.Version,
		ChangedVersion: published.ChangedVersion,
		Token:          published.Token,
		DiscoveryIndex: published.DiscoveryIndex,
	}
}
