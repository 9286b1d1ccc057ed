package scheduler

import "time"

// Outlier detection after Envoy's, by the outcomes of this proxy's own calls. There is no configuration: the
// values below hold for all services.
const (
	// consecutiveFailuresToEject is how many calls in a row must fail before a server is ejected. A server
	// that cannot be reached at all, or that answers nothing while others do, is ejected by the first one.
	consecutiveFailuresToEject = 2

	// The first ejection lasts for a base time, each further one without a success between for twice as long.
	baseEjectionTime            = 500 * time.Millisecond
	unreachableBaseEjectionTime = time.Second // base time of a server that cannot be reached
	maxEjectionTime             = 10 * time.Second

	// nonIdempotentProbeDelay is how long after its ejection a half-open server gets requests that must not
	// run twice, where no other request has probed it before.
	nonIdempotentProbeDelay = 3 * time.Second

	// rejectedFullTime is how long a server that rejected a request counts as full.
	rejectedFullTime = 100 * time.Millisecond

	// A server is stuck, and avoided, while its oldest unanswered call has taken stuckExpectedFactor times
	// the expected time, and at least minStuckTime.
	stuckExpectedFactor = 6.0
	minStuckTime        = time.Second

	// failedTransferLatenessMs counts as lateness of a decode server that could not fetch a prefix cache.
	failedTransferLatenessMs = 500.0
)

// outlierDetector ejects a server from the candidates after failures. Its states: closed, in which the server
// gets requests; ejected, in which it gets none; and half-open after the ejection, in which it gets one
// idempotent request at a time until one of them succeeds (closed) or fails (ejected for longer).
type outlierDetector struct {
	consecutiveFailures int
	ejections           int // since the last success
	ejectedUntil        time.Duration
	fullUntil           time.Duration // the server rejected a request and counts as full
	lastSuccess         time.Duration
}

// ejected reports whether the server is in the ejected state.
func (d *outlierDetector) ejected(now time.Duration) bool { return now < d.ejectedUntil }

// halfOpen reports whether the server has been ejected and not succeeded since.
func (d *outlierDetector) halfOpen() bool { return d.ejections > 0 }

// recordSuccess closes the detector.
func (d *outlierDetector) recordSuccess(now time.Duration) { *d = outlierDetector{lastSuccess: now} }

// recordFailure counts a failed call against the server. peerAnswered says that another server of its kind
// has succeeded since the call began, so that a timeout is the server's own fault. It reports whether that
// has ejected the server.
func (d *outlierDetector) recordFailure(now time.Duration, outcome Outcome, peerAnswered bool) bool {
	d.consecutiveFailures++
	switch {
	case outcome == Misdirected || outcome == Unreachable || outcome == TimedOut && peerAnswered:
		return d.eject(now, unreachableBaseEjectionTime)
	case d.consecutiveFailures >= consecutiveFailuresToEject || d.halfOpen():
		return d.eject(now, baseEjectionTime)
	}
	return false
}

// eject ejects the server, unless it is ejected already: calls that were in flight together fail together.
func (d *outlierDetector) eject(now, base time.Duration) bool {
	if d.ejected(now) {
		return false
	}
	const maxDoublings = 8 // far beyond maxEjectionTime; bounds the shift
	d.ejectedUntil = now + min(base<<min(d.ejections, maxDoublings), maxEjectionTime)
	d.ejections++
	return true
}

// available reports whether the server may get a request: it is not ejected, and while it is half-open, the
// request may probe it.
func (s *serverState) available(now time.Duration, idempotent bool) bool {
	if now < s.ejectedUntil() {
		return false
	}
	if !s.outliers.halfOpen() && !s.transferOutliers.halfOpen() {
		return true
	}
	return len(s.calls) == 0 && (idempotent || now > s.ejectedUntil()+nonIdempotentProbeDelay)
}

// ejectedUntil returns the end of the later of the server's two ejections.
func (s *serverState) ejectedUntil() time.Duration {
	return max(s.outliers.ejectedUntil, s.transferOutliers.ejectedUntil)
}

// stuck reports whether the oldest unanswered call has waited for unusually long.
func (s *serverState) stuck(now time.Duration) bool {
	for _, call := range s.calls {
		if !call.answered {
			return now-call.startedAt-call.stalled > max(duration(stuckExpectedFactor*call.expectedMs), minStuckTime)
		}
	}
	return false
}

// recordSuccess records a success of the server of the call, and of the one whose prefix cache it fetched.
func (c *Call) recordSuccess(now time.Duration) {
	c.state.outliers.recordSuccess(now)
	if c.prefillServer != nil {
		c.prefillServer.transferOutliers.recordSuccess(now)
	}
}

// recordFailure counts an outcome against the server that is to blame for it.
func (c *Call) recordFailure(now time.Duration, outcome Outcome) {
	switch outcome {
	case Rejected:
		c.state.outliers.fullUntil = now + rejectedFullTime
	case Abandoned:
	case HandleFailed: // the prefill server evicted the prefix, or the decode server's transfers queue up
		c.state.lateness.add(now, failedTransferLatenessMs, c.expectedMs)
		if c.prefillServer != nil && c.prefillServer.transferOutliers.recordFailure(now, outcome, false) {
			c.pool.ejections++
		}
	default:
		if c.state.outliers.recordFailure(now, outcome, c.pool.peerAnsweredSince(c)) {
			c.pool.ejections++
		}
	}
}
