package scheduler

import (
	"slices"
	"time"

	"cresshub/internal/router/catalog"

	"github.com/cespare/xxhash/v2"
)

const (
	speedGain = 0.1 // weight of the newest sample in the moving average of a server's relative speed
	minSpeed  = 0.25
	maxSpeed  = 4.0

	slowStartWindow    = 2 * time.Second // time in which a new server's weight rises to its full weight
	slowStartMinWeight = 0.2             // fraction of a server's full weight when it has just been listed
	warmUpWeight       = 0.5             // fraction of a server's full weight while it warms up

	baselineWindow = 30.0 // reports over which the baseline of other proxies' calls is averaged
)

// serverState is what this proxy knows about one server.
type serverState struct {
	*catalog.Server
	hash         uint64        // of the server's id
	listedAt     time.Duration // when the table first listed the server
	warmUpEndsAt time.Duration // when the server's warm-up ends
	speed        float64       // relative to the service's other servers, 1 on average

	reported           Load // in the newest load report
	reportedAt         time.Duration
	hasReport          bool
	reportedOtherCalls float64    // calls of other proxies by the newest load report
	baselineOtherCalls movingMean // reportedOtherCalls, averaged over the last reports

	calls          []*Call       // this proxy's calls in flight, oldest first
	ownPrefillMs   float64       // prefill work in ms of own calls, as estimated when they began
	ownPrefillAt   time.Duration // when the first of these prefills began, or when one last ended
	ownLoadChanged bool          // own calls began or ended since the last report to the other proxies

	outliers         outlierDetector // based on the outcomes of own calls
	transferOutliers outlierDetector // based on transfers of prefix caches from this server to decode servers
	lateness         lateness

	peerBacklog backlog // prefill work of other proxies' calls, by their reports
	peerCalls   float64 // calls of other proxies in flight, by their reports
}

// serverHash returns the hash that identifies a server in rendezvous hashing and in the prefix index.
func serverHash(id string) uint64 { return xxhash.Sum64String(id) }

// newServerState returns the state of a server that the table lists for the first time.
func newServerState(now time.Duration, listed *catalog.Server) *serverState {
	return &serverState{
		Server: listed, hash: serverHash(listed.ID), listedAt: now, warmUpEndsAt: now + listed.WarmUp, speed: 1,
	}
}

// updateListing applies the server's entry in the newest table. The warm-up starts again whenever the entry's
// sequence number has changed.
func (s *serverState) updateListing(now time.Duration, newer *catalog.Server) {
	if newer.Sequence != s.Sequence {
		s.warmUpEndsAt = now + newer.WarmUp
	}
	s.Server = newer
}

// recordReport records the load that the server reported at the given time, unless a newer report is known,
// and returns whether it has recorded the load. The requests in the report beyond this proxy's own calls in
// flight at that time belong to other proxies.
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
	s.reportedOtherCalls = max(0, float64(load.Running+load.Waiting-own))
	s.baselineOtherCalls.add(s.reportedOtherCalls, baselineWindow)
	return true
}

// beginCall adds a call and its prefill work to the server.
func (s *serverState) beginCall(call *Call) {
	s.ownLoadChanged = true
	if call.prefillMs > 0 {
		if s.ownPrefillMs == 0 {
			s.ownPrefillAt = call.startedAt
		}
		s.ownPrefillMs += call.prefillMs
	}
	s.calls = append(s.calls, call)
}

// endCall removes a call and its prefill work from the server.
func (s *serverState) endCall(now time.Duration, call *Call) {
	s.ownLoadChanged = true
	if index := slices.Index(s.calls, call); index >= 0 {
		s.calls = slices.Delete(s.calls, index, index+1)
	}
	s.endPrefill(now, call)
}

// endPrefill removes a call's prefill work from the server, because the prefill has ended or will not be
// done.
func (s *serverState) endPrefill(now time.Duration, call *Call) {
	if call.prefillMs == 0 {
		return
	}
	s.ownLoadChanged = true
	s.ownPrefillMs, s.ownPrefillAt = s.ownPrefillMs-call.prefillMs, now
	call.prefillMs = 0
	const roundingError = 1e-6
	if s.ownPrefillMs < roundingError {
		s.ownPrefillMs = 0
	}
}

// remainingPrefillMs returns the prefill work in ms that own calls still have at the server. Prefills run one
// after the other, so that the time since one ended is subtracted from the next. A quarter of the work counts
// until the prefills have ended.
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

// weight returns the server's weight in Basic LI: its speed, reduced during slow start and warm-up.
func (s *serverState) weight(now time.Duration) float64 {
	weight := s.speed
	if age := now - s.listedAt; age < slowStartWindow {
		weight *= slowStartMinWeight + (1-slowStartMinWeight)*max(0, float64(age)/float64(slowStartWindow))
	}
	if now < s.warmUpEndsAt {
		weight *= warmUpWeight
	}
	return weight
}

// observeSpeed adjusts the server's speed by one sample: the expected time of an operation, divided by the
// time that it took at this server.
func (s *serverState) observeSpeed(expectedMs, elapsedMs float64) {
	if elapsedMs > 0 {
		s.speed += speedGain * (expectedMs/elapsedMs - s.speed)
	}
	s.speed = min(max(s.speed, minSpeed), maxSpeed)
}
