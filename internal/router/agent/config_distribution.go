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
func (a *Agent) configUpdate(config *fleetconfig.Config, version int64) []byte {
	patches := a.state.patchesSince(version)
	if len(patches) == 0 || patches[len(patches)-1].Version != config.Version {
		return a.packed.of(config)
	}
	return peerproto.PackPatches(&peerproto.Patches{Patches: patches})
}

// applyPacked puts a packed document, or patches, that another process holds to be in force in force here.
func (a *Agent) applyPacked(packed []byte) {
	if len(packed) == 0 {
		return
	}
	if peerproto.ArePatches(packed) {
		a.applyPatches(packed)
		return
	}
	document, err := peerproto.Unpack(packed)
	if err != nil {
		a.log.Error().Err(err).Msg("feed: a configuration can't be unpacked")
		return
	}
	a.applyDocument(document)
}

// applyPatches puts patches in force. One that does not build on the version in force here is left: the hub
// tells its version with each answer to a ping, and the whole document is asked for.
func (a *Agent) applyPatches(packed []byte) {
	news, err := peerproto.UnpackPatches(packed)
	if err != nil {
		a.log.Error().Err(err).Msg("feed: patches of the configuration can't be unpacked")
		return
	}
	for _, patch := range news.Patches {
		config := a.state.Config()
		if config == nil || config.Version != patch.Base {
			continue
		}
		next, err := config.ParseAndApply(patch.Body)
		if err != nil {
			a.log.Error().Err(err).Int64("version", patch.Version).Msg("feed: a patch can't be applied")
			return
		}
		a.applyConfig(next)
	}
}

// applyStored puts a configuration in force that the control state holds.
func (a *Agent) applyStored(stored []byte) {
	if len(stored) == 0 {
		return
	}
	config, err := fleetconfig.ParseStored(stored, a.state.Config())
	if err != nil {
		a.log.Error().Err(err).Msg("chain: a configuration in force can't be read")
		return
	}
	a.applyConfig(config)
}
