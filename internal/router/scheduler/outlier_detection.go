package scheduler

import "time"

// Outlier detection follows Envoy's and uses the outcomes of this proxy's own calls. It is not configurable:
// the values below apply to all services.
const (
	// consecutiveFailuresToEject is the number of consecutive failures after which a server is ejected. A
	// server that cannot be reached at all, or whose call times out while another server succeeds, is ejected
	// after the first failure.
	consecutiveFailuresToEject = 2

	// The first ejection lasts for a base time. Each further ejection without a success in between lasts
	// twice as long as the previous one, up to maxEjectionTime.
	baseEjectionTime            = 500 * time.Millisecond
	unreachableBaseEjectionTime = time.Second // base time after the failures that eject at once
	maxEjectionTime             = 10 * time.Second

	// nonIdempotentProbeDelay is the time after the end of the ejection from which a half-open server gets
	// requests that must not run twice too, if no idempotent request has probed it before.
	nonIdempotentProbeDelay = 3 * time.Second

	// fullAfterRejectionTime is how long a server counts as full after it rejected a request.
	fullAfterRejectionTime = 100 * time.Millisecond

	// A server counts as stuck, and is avoided, while its oldest unanswered call has been in flight for more
	// than stuckExpectedFactor times its expected time and for more than minStuckTime.
	stuckExpectedFactor = 6.0
	minStuckTime        = time.Second

	// failedTransferLatenessMs is the lateness sample in ms for a decode server that could not fetch a prefix
	// cache.
	failedTransferLatenessMs = 500.0
)

// outlierDetector ejects a server from the candidates after failures. It has three states: closed, in which
// the server gets requests; ejected, in which it gets none; and half-open after the ejection, in which it
// gets one idempotent request at a time until a request succeeds (closed) or fails (ejected for longer).
type outlierDetector struct {
	consecutiveFailures   int
	ejectionsSinceSuccess int
	ejectedUntil          time.Duration
	fullUntil             time.Duration // until when the server counts as full after it rejected a request
	lastSuccess           time.Duration
}

// ejected reports whether the server is in the ejected state.
func (d *outlierDetector) ejected(now time.Duration) bool { return now < d.ejectedUntil }

// halfOpen reports whether the server has been ejected and has not succeeded since then.
func (d *outlierDetector) halfOpen() bool { return d.ejectionsSinceSuccess > 0 }

// recordSuccess resets the detector to the closed state.
func (d *outlierDetector) recordSuccess(now time.Duration) { *d = outlierDetector{lastSuccess: now} }

// recordFailure counts a failed call against the server and reports whether that ejects the server.
// otherServerSucceeded says that another server for the same role has succeeded since the call began, so that
// a timeout is the fault of this server.
func (d *outlierDetector) recordFailure(now time.Duration, outcome Outcome, otherServerSucceeded bool) bool {
	d.consecutiveFailures++
	switch {
	case outcome == Misdirected || outcome == Unreachable || outcome == TimedOut && otherServerSucceeded:
		return d.eject(now, unreachableBaseEjectionTime)
	case d.consecutiveFailures >= consecutiveFailuresToEject || d.halfOpen():
		return d.eject(now, baseEjectionTime)
	}
	return false
}

// eject ejects the server and reports whether it has. It does nothing if the server is ejected already, as
// calls that were in flight at the same time often fail together.
func (d *outlierDetector) eject(now, base time.Duration) bool {
	if d.ejected(now) {
		return false
	}
	const maxDoublings = 8 // far beyond maxEjectionTime; bounds the shift
	d.ejectedUntil = now + min(base<<min(d.ejectionsSinceSuccess, maxDoublings), maxEjectionTime)
	d.ejectionsSinceSuccess++
	return true
}

// available reports whether the server may get a request: it is not ejected and, if it is half-open, the
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

// ejectedUntil returns when the server's ejections end: the later end of its two detectors.
func (s *serverState) ejectedUntil() time.Duration {
	return max(s.outliers.ejectedUntil, s.transferOutliers.ejectedUntil)
}

// stuck reports whether the oldest unanswered call has waited unusually long for its first event.
func (s *serverState) stuck(now time.Duration) bool {
	for _, call := range s.calls {
		if !call.answered {
			return now-call.startedAt-call.stallTime > max(duration(stuckExpectedFactor*call.expectedMs), minStuckTime)
		}
	}
	return false
}

// recordSuccess records a success of the call's server and of the server whose prefix cache it fetched.
func (c *Call) recordSuccess(now time.Duration) {
	c.state.outliers.recordSuccess(now)
	if c.prefillServer != nil {
		c.prefillServer.transferOutliers.recordSuccess(now)
	}
}

// recordFailure records an unsuccessful outcome for the server that caused it.
func (c *Call) recordFailure(now time.Duration, outcome Outcome) {
	switch outcome {
	case Rejected:
		c.state.outliers.fullUntil = now + fullAfterRejectionTime
	case Abandoned:
	case HandleFailed: // the prefill server evicted the prefix, or transfers queue at the decode server
		c.state.lateness.add(now, failedTransferLatenessMs, c.expectedMs)
		if c.prefillServer != nil && c.prefillServer.transferOutliers.recordFailure(now, outcome, false) {
			c.pool.ejections++
		}
	default:
		if c.state.outliers.recordFailure(now, outcome, c.pool.otherServerSucceededSince(c)) {
			c.pool.ejections++
		}
	}
}
