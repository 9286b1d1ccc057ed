package scheduler

import (
	"slices"
	"time"

	"cresshub/internal/router/catalog"

	"github.com/cespare/xxhash/v2"
)

const (
	speedGain = 0.1 // weight of a sample in a server's relative speed
	minSpeed  = 0.25
	maxSpeed  = 4.0

	slowStartWindow    = 2 * time.Second // in which a new server's weight grows to its full weight
	slowStartMinWeight = 0.2             // of a server's full weight, right after it was listed
	warmUpWeight       = 0.5             // of a server's full weight while it warms up

	baselineWindow = 30.0 // reports over which the baseline of others' calls is averaged
)

// serverState is what this proxy knows about one server.
type serverState struct {
	*catalog.Server
	hash     uint64        // of its id
	listedAt time.Duration // when it was first listed
	warmAt   time.Duration // when it has warmed up
	speed    float64       // relative to the other servers of the service, 1 for the average

	reported       Load // the newest report
	reportedAt     time.Duration
	hasReport      bool
	reportedOthers float64    // calls of other proxies by the newest report
	baselineOthers movingMean // of them over the last reports

	calls        []*Call       // own calls in flight, oldest first
	ownPrefillMs float64       // of prefill work of own calls, as they began
	ownPrefillAt time.Duration // when it last changed
	changed      bool          // own calls began or ended since they were last reported to the peers

	outliers         outlierDetector // by the outcomes of own calls
	transferOutliers outlierDetector // by the transfers of its prefix cache to decode servers
	lateness         lateness

	peerBacklog backlog // prefill work of other proxies, as they report it
	peerCalls   float64 // calls of other proxies, as they report them
}

// serverHash is the identity of a server in rendezvous hashing and in the prefix index.
func serverHash(id string) uint64 { return xxhash.Sum64String(id) }

// newServerState returns the state of a server that the table lists for the first time.
func newServerState(now time.Duration, listed *catalog.Server) *serverState {
	return &serverState{
		Server: listed, hash: serverHash(listed.ID), listedAt: now, warmAt: now + listed.WarmUp, speed: 1,
	}
}

// updateListing applies the server's entry of the newest table. The warm-up starts again with each newer
// sequence of the entry.
func (s *serverState) updateListing(now time.Duration, newer *catalog.Server) {
	if newer.Sequence != s.Sequence {
		s.warmAt = now + newer.WarmUp
	}
	s.Server = newer
}

// recordReport records the load that the server reported at a time, unless a newer report is known, which it
// returns. What exceeds this proxy's own calls of that time belongs to other proxies.
func (s *serverState) recordReport(at time.Duration, load Load) (recorded bool) {
	if s.hasReport && at < s.reportedAt {
		return false
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
	return true
}

// beginCall counts a call and its prefill as the server's work.
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

// endCall takes a call off the server's work.
func (s *serverState) endCall(now time.Duration, call *Call) {
	s.changed = true
	if index := slices.Index(s.calls, call); index >= 0 {
		s.calls = slices.Delete(s.calls, index, index+1)
	}
	s.endPrefill(now, call)
}

// endPrefill takes a call's prefill off the server's work: it is done, or will not be done any more.
func (s *serverState) endPrefill(now time.Duration, call *Call) {
	if call.prefillMs == 0 {
		return
	}
	s.changed = true
	s.ownPrefillMs, s.ownPrefillAt = s.ownPrefillMs-call.prefillMs, now
	call.prefillMs = 0
	const roundingError = 1e-6
	if s.ownPrefillMs < roundingError {
		s.ownPrefillMs = 0
	}
}

// remainingPrefillMs returns the prefill work that own calls still have to wait for. Prefills run one after
// the other, so that the time since one ended is taken off the next. A quarter stays until they have ended.
func (s *serverState) remainingPrefillMs(now time.Duration) float64 {
	const minFraction = 0.25
	return max(s.ownPrefillMs-ms(now-s.ownPrefillAt), s.ownPrefillMs*minFraction)
}

// slots returns how many requests the server runs at once.
func (s *serverState) slots() float64 {
	if s.hasReport && s.reported.Slots > 0 {
		return float64(s.reported.Slots)
	}
	return float64(max(s.Slots, 1))
}

// weight returns the server's speed, less in slow start and while it warms up.
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

// observeSpeed adjusts the server's speed to the time in ms that something took there, relative to the
// expected one.
func (s *serverState) observeSpeed(expectedMs, tookMs float64) {
	if tookMs > 0 {
		s.speed += speedGain * (expectedMs/tookMs - s.speed)
	}
	s.speed = min(max(s.speed, minSpeed), maxSpeed)
}
