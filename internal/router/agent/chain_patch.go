package agent

import (
	"errors"
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// errNotCurrent is the error for a version of the configuration that is not the current one.
var errNotCurrent = errors.New("the version is not current")

// storedDigest returns the digest of the change that made an entry of the chain. The chain recognizes a
// change that is sent again by this digest.
func storedDigest(body []byte) chain.Digest { return fleetconfig.StoredDigest(body) }

// patch applies a patch to its base version and proposes the full configuration that results. If the base
// version is not current any more, the patch is accepted if it was committed before, and else rejected.
func (r *chainRequests) patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	patch, err := fleetconfig.ParsePatch(change.Expected, change.Body)
	if err != nil {
		return invalidResult(err)
	}
	deadline := r.now() + timeout
	base, err := r.configAtVersion(patch.Base, timeout)
	left := deadline - r.now()
	switch {
	case errors.Is(err, errNotCurrent):
		return r.confirm(patch, left)
	case err != nil:
		return unavailableResult(err.Error())
	}
	config, err := base.Apply(patch)
	if err == nil {
		err = config.CheckSize()
	}
	if err != nil {
		return invalidResult(err)
	}
	return r.propose(&peerproto.Proposal{Expected: patch.Base, Version: patch.Version,
		Body: fleetconfig.EncodeStored(patch, config.Raw())}, left)
}

// configAtVersion returns the configuration of a version if that is in force here or is the current one of
// the chain. The error is errNotCurrent if it is neither.
func (r *chainRequests) configAtVersion(version int64, timeout time.Duration) (*fleetconfig.Config, error) {
	if config := r.state.Config(); config != nil && config.Version == version {
		return config, nil
	}
	current := r.read(timeout)
	switch {
	case current.Outcome != peerproto.OutcomeAccepted:
		return nil, errors.New("the current configuration can't be read: " + current.Reason)
	case current.Version != version:
		return nil, errNotCurrent
	case version == 0:
		return fleetconfig.Empty(), nil
	}
	return fleetconfig.Parse(current.Body)
}

// confirm asks the chain whether a patch was committed before.
func (r *chainRequests) confirm(patch *fleetconfig.Patch, timeout time.Duration) *peerproto.Result {
	id := chain.ChangeID{Expected: patch.Base, Version: patch.Version,
		Digest: storedDigest(fleetconfig.EncodeStoredPatch(patch))}
	return r.request(timeout, func(node *chain.Node, now time.Duration, number uint64) chain.Effects {
		return node.Confirm(now, number, id)
	})
}

func invalidResult(err error) *peerproto.Result {
	return &peerproto.Result{Outcome: peerproto.OutcomeInvalid, Reason: err.Error()}
}
