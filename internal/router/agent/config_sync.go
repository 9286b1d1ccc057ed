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
	// fetchDelay is how long a process that has a configuration waits for its feed to deliver a newer one before
	// it fetches that from a hub.
	fetchDelay   = 150 * time.Millisecond
	fetchTimeout = 700 * time.Millisecond
)

// packedConfigCache caches the newest configuration in the compressed form that is sent to followers, so that
// it is compressed once for all of them.
type packedConfigCache struct {
	mu      sync.Mutex
	version int64
	packed  []byte
}

// get returns the compressed document of a configuration.
func (p *packedConfigCache) get(config *fleetconfig.Config) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed == nil || p.version != config.Version {
		p.version, p.packed = config.Version, peerproto.Pack(config.Raw())
	}
	return p.packed
}

// configSync keeps the configuration in force in this process up to date with the rest of the fleet and sends
// it to others. It applies the configurations that the chain commits, that the feed delivers and that it
// fetches from hubs, and it serves followers and hubs. The configuration itself is in the state, which puts
// only newer versions in force. The methods are safe for concurrent use; several goroutines may apply
// configurations at the same time.
type configSync struct {
	state    *state
	log      zerolog.Logger
	packed   packedConfigCache
	fetching atomic.Bool // a fetch from a hub is in flight
}

// fetchResult returns the answer to another process that fetches the configuration: the one in force here, in
// compressed form.
func (s *configSync) fetchResult() *peerproto.Result {
	config := s.state.Config()
	if config == nil {
		return unavailableResult("no configuration is known here")
	}
	return &peerproto.Result{Outcome: peerproto.OutcomeAccepted, Version: config.Version,
		Body: s.packed.get(config)}
}

// updateSince returns what a follower that has a version needs in order to get the configuration in force:
// the patches since that version, whose size does not grow with the document, or else the full document.
func (s *configSync) updateSince(config *fleetconfig.Config, version int64) []byte {
	patches := s.state.patchesSince(version)
	if len(patches) == 0 || patches[len(patches)-1].Version != config.Version {
		return s.packed.get(config)
	}
	return peerproto.PackPatches(&peerproto.Patches{Patches: patches})
}

// fetch fetches a newer configuration from a hub. A hub that is not a replica gets configurations in this
// way, and so does a follower whose feed has not delivered one. Only one fetch is in flight at a time.
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

// applyPacked applies the configuration that is in force at another process, which sent it as a compressed
// document or as patches.
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

// applyPatches applies the patches that build on the version in force here and skips the others. If that
// leaves an old version in force, it is updated later: a hub states its version in each answer to a ping, and
// fetch then fetches the full document.
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

// applyStored applies a committed configuration, given in the form in which the chain stores it.
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

// apply puts a committed configuration in force, unless one at least as new is in force.
func (s *configSync) apply(config *fleetconfig.Config) {
	if s.state.applyConfig(config) {
		s.log.Info().Int64("version", config.Version).Msg("config: in force")
	}
}
