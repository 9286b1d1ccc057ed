package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

const (
	// fetchDelay is how long a process that has a configuration waits for its feed to bring a newer one, before
	// it fetches that from a hub.
	fetchDelay   = 150 * time.Millisecond
	fetchTimeout = 700 * time.Millisecond
)

// packedConfigCache caches the newest configuration in the form in which it is sent to followers, so that it
// is packed once for all of them.
type packedConfigCache struct {
	mu      sync.Mutex
	version int64
	packed  []byte
}

// of returns the packed document of a configuration.
func (p *packedConfigCache) of(config *fleetconfig.Config) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed == nil || p.version != config.Version {
		p.version, p.packed = config.Version, peerproto.Pack(config.Raw())
	}
	return p.packed
}

// configSync brings the configuration in force here up to the one of the fleet, and hands it on: it applies
// what the chain commits, what the feed brings and what it fetches from hubs, and serves followers and hubs.
// The configuration itself is in the state, which decides by the version what comes into force. The methods
// are safe for concurrent use; several goroutines may apply configurations at the same time.
type configSync struct {
	state    *state
	log      zerolog.Logger
	packed   packedConfigCache
	fetching atomic.Bool // a configuration is being fetched from a hub
}

// fetchResult returns the configuration in force, packed.
func (s *configSync) fetchResult() *peerproto.Result {
	config := s.state.Config()
	if config == nil {
		return unavailableResult("no configuration is known here")
	}
	return &peerproto.Result{Outcome: peerproto.OutcomeAccepted, Version: config.Version,
		Body: s.packed.of(config)}
}

// updateSince returns what a follower with a version needs to get the one in force: patches, whose size does
// not grow with the document, or else the full document.
func (s *configSync) updateSince(config *fleetconfig.Config, version int64) []byte {
	patches := s.state.patchesSince(version)
	if len(patches) == 0 || patches[len(patches)-1].Version != config.Version {
		return s.packed.of(config)
	}
	return peerproto.PackPatches(&peerproto.Patches{Patches: patches})
}

// fetch fetches a newer configuration from a hub. It is how a hub that is no replica gets it, and a
// follower whose feed has not brought it. Only one fetch is in flight at a time.
func (s *configSync) fetch(h *hub) {
	if s.state.Config() != nil {
		time.Sleep(fetchDelay)
	}
	if h.current().lastSeen == 0 || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	defer s.fetching.Store(false)
	before := s.state.version()
	frame, err := h.link.Call(peerproto.KindConfigFetch, nil, fetchTimeout)
	if err != nil || s.state.version() > before {
		return
	}
	var result peerproto.Result
	if peerproto.Decode(frame.Body, &result) == nil && result.Outcome == peerproto.OutcomeAccepted &&
		result.Version > s.state.version() {
		s.applyPacked(result.Body)
	}
}

// applyPacked applies what another process sent of the configuration in force there: a packed document, or
// patches.
func (s *configSync) applyPacked(packed []byte) {
	if len(packed) == 0 {
		return
	}
	if peerproto.ArePatches(packed) {
		s.applyPatches(packed)
		return
	}
	document, err := peerproto.Unpack(packed)
	if err != nil {
		s.log.Error().Err(err).Msg("feed: unpacking the configuration failed")
		return
	}
	s.applyDocument(document)
}

// applyPatches applies the patches that build on the version in force here. It skips the others: a hub names
// its version in each answer to a ping, and fetch then fetches the full document.
func (s *configSync) applyPatches(packed []byte) {
	received, err := peerproto.UnpackPatches(packed)
	if err != nil {
		s.log.Error().Err(err).Msg("feed: unpacking patches of the configuration failed")
		return
	}
	for _, patch := range received.Patches {
		config := s.state.Config()
		if config == nil || config.Version != patch.Base {
			continue
		}
		next, err := config.ParseAndApply(patch.Body)
		if err != nil {
			s.log.Error().Err(err).Int64("version", patch.Version).Msg("feed: applying a patch failed")
			return
		}
		s.apply(next)
	}
}

// applyDocument applies a document that is in force at another process.
func (s *configSync) applyDocument(document []byte) {
	if len(document) == 0 {
		return
	}
	config, err := fleetconfig.Parse(document)
	if err != nil {
		s.log.Error().Err(err).Msg("feed: parsing the configuration failed")
		return
	}
	s.apply(config)
}

// applyStored applies a committed configuration, in the form in which the chain stores it.
func (s *configSync) applyStored(stored []byte) {
	if len(stored) == 0 {
		return
	}
	config, err := fleetconfig.ParseStored(stored, s.state.Config())
	if err != nil {
		s.log.Error().Err(err).Msg("chain: parsing the committed configuration failed")
		return
	}
	s.apply(config)
}

// apply puts a committed configuration in force, unless a newer one is.
func (s *configSync) apply(config *fleetconfig.Config) {
	if s.state.applyConfig(config) {
		s.log.Info().Int64("version", config.Version).Msg("config: in force")
	}
}
