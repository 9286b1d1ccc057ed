package scheduler

import (
	"slices"
	"time"

	"cresshub/internal/router/catalog"

	"github.com/cespare/xxhash/v2"
)

const (
	speedGain          = 0.1 // of a sample in a server's relative speed
	minSpeed           = 0.25
	maxSpeed           = 4.0
	slowStartMinWeight = 0.2             // of a server's usual share, right after it was listed
	slowStartWindow    = 2 * time.Second // until a new server has its whole share
	baselineWindow     = 30.0            // figures that a server's usual load is the mean of
	warmUpWeight       = 0.5             // of a server's usual share while it is cold
)

// server is what is known of one server.
type serverState struct {
	*catalog.Server
	hash     uint64
	listedAt time.Duration // when it was first seen
	warmAt   time.Duration // when it stops being cold
	speed    float64       // of the server relative to the fleet's

	reported         Load
	reportedAt       time.Duration
	hasReport        bool       // it told a load
	reportedOthers   float64    // calls of other proxies at the time it told its load
	baselineOthers   movingMean // of others, over what it told lately
	calls            []*Call    // own calls under way, oldest first
	ownPrefillMs     float64    // ms of work of own calls that only read, when they were sent
	ownPrefillAt     time.Duration
	changed          bool            // something of this proxy's began or ended there since that was last told
	outliers         outlierDetector // by its own calls
	transferOutliers outlierDetector // by the writers that fetched memory from it
	lateness         lateness

	newPrefixes []uint64 // names that the other proxies are to be told of
	peerBacklog backlog  // work that other proxies told of
	peerCalls   float64  // their calls
}

// serverHash is what stands for a server where prompts are ranked and remembered.
func serverHash(id string) uint64 { return xxhash.Sum64String(id) }

func newServerState(now time.Duration, s *catalog.Server) *serverState {
	return &serverState{Server: s, hash: serverHash(s.ID), listedAt: now, warmAt: now + s.WarmUp, speed: 1}
}

// list takes in what the newest table says of the server.
func (s *serverState) updateListing(now time.Duration, newer *catalog.Server) {
	if newer.Sequence != s.Sequence {
		s.warmAt = now + newer.WarmUp
	}
	s.Server = newer
}

// tell takes in a load that the server told at a time, where it told no newer one: what of it is not this
// proxy's own calls.
func (s *serverState) recordReport(at time.Duration, load Load) {
	if s.hasReport && at < s.reportedAt {
		return
	}
	own := 0
	for _, call := range s.calls {
		if call.startedAt <= at {
			own++
		}
	}
	s.reported, s.reportedAt, s.hasReport = load, at, true
	s.reportedOthers = max(0, float64(load.Running+load.Waiting-own))
	s.baselineOthers.add(s.reportedOthers, baselineWindow)
}

// recordNewPrefix remembers to tell the others of what a prompt shares that was sent here to be read for the
// first time.
func (s *serverState) recordNewPrefix(role Role, chain *prefixChain, cachedBefore int) {
	if name, _, ok := chain.shared(); ok && role == Prefill && cachedBefore < chain.length-1 {
		s.newPrefixes = append(s.newPrefixes, name)
	}
}

func (s *serverState) beginCall(call *Call) {
	s.changed = true
	if call.prefillMs > 0 {
		if s.ownPrefillMs == 0 {
			s.ownPrefillAt = call.startedAt
		}
		s.ownPrefillMs += call.prefillMs
	}
	s.calls = append(s.calls, call)
}

func (s *serverState) endCall(now time.Duration, call *Call) {
	s.changed = true
	if at := slices.Index(s.calls, call); at >= 0 {
		s.calls = slices.Delete(s.calls, at, at+1)
	}
	s.endPrefill(now, call)
}

// read notes that the server has read the prompt of a call, or will not read it any more.
func (s *serverState) endPrefill(now time.Duration, call *Call) {
	if call.prefillMs == 0 {
		return
	}
	s.changed = true
	s.ownPrefillMs, s.ownPrefillAt = s.ownPrefillMs-call.prefillMs, now
	call.prefillMs = 0
	if s.ownPrefillMs < 1e-6 {
		s.ownPrefillMs = 0
	}
}

// remainingPrefillMs is the work in ms that own reads still have to do: reads run one after the other, so
// that what the server has worked since one ended is done. A quarter stays until they have ended.
func (s *serverState) remainingPrefillMs(now time.Duration) float64 {
	const minFraction = 0.25
	return max(s.ownPrefillMs-ms(now-s.ownPrefillAt), s.ownPrefillMs*minFraction)
}

// slots is how many requests the server runs at once.
func (s *serverState) slots() float64 {
	if s.hasReport && s.reported.Slots > 0 {
		return float64(s.reported.Slots)
	}
	return float64(max(s.Slots, 1))
}

// weight is the server's speed relative to the others, less while it is new or cold.
func (s *serverState) weight(now time.Duration) float64 {
	weight := s.speed
	if age := now - s.listedAt; age < slowStartWindow {
		weight *= slowStartMinWeight + (1-slowStartMinWeight)*max(0, float64(age)/float64(slowStartWindow))
	}
	if now < s.warmAt {
		weight *= warmUpWeight
	}
	return weight
}

// measured takes in how fast the server was, beside what was expected.
func (s *serverState) observeSpeed(expected, took float64) {
	if took > 0 {
		s.speed += speedGain * (expected/took - s.speed)
	}
	s.speed = min(max(s.speed, minSpeed), maxSpeed)
}
