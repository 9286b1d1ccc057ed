package agent

import (
	"sync"

	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// packedConfig keeps the newest configuration in the form in which it is sent to followers, so that it is
// packed once for all of them.
type packedConfig struct {
	mu      sync.Mutex
	version int64
	packed  []byte
}

// of returns the packed document of a configuration.
func (p *packedConfig) of(config *fleetconfig.Config) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed == nil || p.version != config.Version {
		p.version, p.packed = config.Version, peerproto.Pack(config.Raw())
	}
	return p.packed
}

// configUpdate returns what a follower that has a version needs to have the one in force: patches, whose cost
// does not grow with the document, or the whole of it.
func (n *Node) configUpdate(config *fleetconfig.Config, version int64) []byte {
	patches := n.state.patchesSince(version)
	if len(patches) == 0 || patches[len(patches)-1].Version != config.Version {
		return n.packed.of(config)
	}
	return peerproto.PackPatches(&peerproto.Patches{Patches: patches})
}

// applyPacked puts a packed document, or patches, that another process holds to be in force in force here.
func (n *Node) applyPacked(packed []byte) {
	if len(packed) == 0 {
		return
	}
	if peerproto.ArePatches(packed) {
		n.applyPatches(packed)
		return
	}
	document, err := peerproto.Unpack(packed)
	if err != nil {
		n.log.Error().Err(err).Msg("feed: a configuration can't be unpacked")
		return
	}
	n.applyDocument(document)
}

// applyPatches puts patches in force. One that does not build on the version in force here is left: the hub
// tells its version with each answer to a ping, and the whole document is asked for.
func (n *Node) applyPatches(packed []byte) {
	news, err := peerproto.UnpackPatches(packed)
	if err != nil {
		n.log.Error().Err(err).Msg("feed: patches of the configuration can't be unpacked")
		return
	}
	for _, patch := range news.Patches {
		config := n.state.Config()
		if config == nil || config.Version != patch.Base {
			continue
		}
		next, err := config.ParseAndApply(patch.Body)
		if err != nil {
			n.log.Error().Err(err).Int64("version", patch.Version).Msg("feed: a patch can't be applied")
			return
		}
		n.applyConfig(next)
	}
}

// applyStored puts a configuration in force that the control state holds.
func (n *Node) applyStored(stored []byte) {
	if len(stored) == 0 {
		return
	}
	config, err := fleetconfig.ParseStored(stored, n.state.Config())
	if err != nil {
		n.log.Error().Err(err).Msg("chain: a configuration in force can't be read")
		return
	}
	n.applyConfig(config)
}
