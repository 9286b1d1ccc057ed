package agent

import (
	"sync"
	"time"

	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

const (
	// fetchDelay is how long a process that has a configuration waits for its feed to bring a newer one, before
	// it fetches that from a hub.
	fetchDelay   = 150 * time.Millisecond
	fetchTimeout = 700 * time.Millisecond
)

// packedConfig caches the newest configuration in the form in which it is sent to followers, so that it is
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

// configUpdate returns what a follower with a version needs to get the one in force: patches, whose size does
// not grow with the document, or else the full document.
func (a *Agent) configUpdate(config *fleetconfig.Config, version int64) []byte {
	patches := a.state.patchesSince(version)
	if len(patches) == 0 || patches[len(patches)-1].Version != config.Version {
		return a.packed.of(config)
	}
	return peerproto.PackPatches(&peerproto.Patches{Patches: patches})
}

// fetchConfig fetches a newer configuration from a hub. It is how a hub that is no replica gets it, and a
// follower whose feed has not brought it. Only one fetch is in flight at a time.
func (a *Agent) fetchConfig(h *hub) {
	if a.state.Config() != nil {
		time.Sleep(fetchDelay)
	}
	if h.current().lastSeen == 0 || !a.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer a.fetchingConfig.Store(false)
	before := a.state.version()
	frame, err := h.link.Call(peerproto.KindConfigFetch, nil, fetchTimeout)
	if err != nil || a.state.version() > before {
		return
	}
	var result peerproto.Result
	if peerproto.Decode(frame.Body, &result) == nil && result.Outcome == peerproto.OutcomeAccepted &&
		result.Version > a.state.version() {
		a.applyPacked(result.Body)
	}
}

// applyPacked applies what another process sent of the configuration in force there: a packed document, or
// patches.
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
		a.log.Error().Err(err).Msg("feed: unpacking the configuration failed")
		return
	}
	a.applyDocument(document)
}

// applyPatches applies the patches that build on the version in force here. It skips the others: a hub names
// its version in each answer to a ping, and fetchConfig then fetches the full document.
func (a *Agent) applyPatches(packed []byte) {
	received, err := peerproto.UnpackPatches(packed)
	if err != nil {
		a.log.Error().Err(err).Msg("feed: unpacking patches of the configuration failed")
		return
	}
	for _, patch := range received.Patches {
		config := a.state.Config()
		if config == nil || config.Version != patch.Base {
			continue
		}
		next, err := config.ParseAndApply(patch.Body)
		if err != nil {
			a.log.Error().Err(err).Int64("version", patch.Version).Msg("feed: applying a patch failed")
			return
		}
		a.applyConfig(next)
	}
}

// applyDocument applies a document that is in force at another process.
func (a *Agent) applyDocument(document []byte) {
	if len(document) == 0 {
		return
	}
	config, err := fleetconfig.Parse(document)
	if err != nil {
		a.log.Error().Err(err).Msg("feed: parsing the configuration failed")
		return
	}
	a.applyConfig(config)
}

// applyStored applies a committed configuration, in the form in which the chain stores it.
func (a *Agent) applyStored(stored []byte) {
	if len(stored) == 0 {
		return
	}
	config, err := fleetconfig.ParseStored(stored, a.state.Config())
	if err != nil {
		a.log.Error().Err(err).Msg("chain: parsing the committed configuration failed")
		return
	}
	a.applyConfig(config)
}

// applyConfig puts a committed configuration in force, unless a newer one is.
func (a *Agent) applyConfig(config *fleetconfig.Config) {
	if a.state.applyConfig(config) {
		a.log.Info().Int64("version", config.Version).Msg("config: in force")
	}
}
