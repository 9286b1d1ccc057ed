package agent

import (
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// storedDigest names the change that an entry of the chain came from.
func storedDigest(body []byte) chain.Digest { return fleetconfig.StoredDigest(body) }

// patch applies a patch to the version that it builds on and proposes the whole configuration that results.
// Where that version is not current any more the patch can't be applied; it was acknowledged before, or it is
// refused.
func (m *chainMember) patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	patch, err := fleetconfig.ParsePatch(change.Expected, change.Body)
	if err != nil {
		return invalidChange(err)
	}
	until := m.agent.now() + timeout
	base, failed := m.configAtVersion(patch.Base, timeout)
	left := until - m.agent.now()
	switch {
	case failed != nil:
		return failed
	case base == nil:
		return m.confirm(patch, left)
	}
	config, err := base.Apply(patch)
	if err == nil {
		err = config.CheckSize()
	}
	if err != nil {
		return invalidChange(err)
	}
	return m.propose(&peerproto.Proposal{Expected: patch.Base, Version: patch.Version,
		Body: fleetconfig.EncodeStored(patch, config.Raw())}, left)
}

// configAtVersion returns the configuration of a version if it is in force here or current, else nil. The
// result is not nil where that can't be told.
func (m *chainMember) configAtVersion(version int64,
	timeout time.Duration) (*fleetconfig.Config, *peerproto.Result) {
	if config := m.agent.state.Config(); config != nil && config.Version == version {
		return config, nil
	}
	current := m.read(timeout)
	switch {
	case current.Outcome != peerproto.OutcomeAccepted:
		return nil, unavailableResult("the current configuration can't be read: " + current.Reason)
	case current.Version != version:
		return nil, nil
	case version == 0:
		return fleetconfig.Empty(), nil
	}
	config, err := fleetconfig.Parse(current.Body)
	if err != nil {
		return nil, unavailableResult(err.Error())
	}
	return config, nil
}

// confirm asks whether a patch was acknowledged before.
func (m *chainMember) confirm(patch *fleetconfig.Patch, timeout time.Duration) *peerproto.Result {
	name := chain.ChangeID{Expected: patch.Base, Version: patch.Version,
		Digest: storedDigest(fleetconfig.EncodeStoredPatch(patch))}
	return m.request(timeout, func(now time.Duration, number uint64) chain.Effects {
		return m.machine.Confirm(now, number, name)
	})
}

func invalidChange(err error) *peerproto.Result {
	return &peerproto.Result{Outcome: peerproto.OutcomeInvalid, Reason: err.Error()}
}
