package scheduler

import "time"

const (
	// first rest of a server that another has the address of, or nobody
	unreachableEjectionTime = time.Second
	baseEjectionTime        = 500 * time.Millisecond // first rest of a server that answers badly
	maxEjectionTime         = 10 * time.Second
	// a server that rejected a request counts as full so long
	rejectedFullTime           = 100 * time.Millisecond
	consecutiveFailuresToEject = 2 // bad answers in a row before a server rests
	// a call unanswered for so many times what was expected is stuck
	stuckExpectedFactor = 6.0
	minStuckTime        = time.Second // and for at least this long
	// ms that a server counts as late by when it could not fetch memory
	failedTransferLatenessMs = 500.0
)

// trust is how a server has answered lately. A server that failed rests for a time that grows with every
// failure after a rest; then one request at a time tries it until one succeeds.
type outlierDetector struct {
	consecutiveFailures int           // bad answers in a row
	ejections           int           // rests since the last good answer
	ejectedUntil        time.Duration // end of the rest
	fullUntil           time.Duration // until when it counts as full
	lastSuccess         time.Duration // when it last answered well
}

// resting tells whether the server gets no requests at all.
func (d *outlierDetector) ejected(now time.Duration) bool { return now < d.ejectedUntil }

// probation tells whether a server has rested and not succeeded since.
func (d *outlierDetector) halfOpen() bool { return d.ejections > 0 }

func (d *outlierDetector) recordSuccess(now time.Duration) {
	d.consecutiveFailures, d.ejections, d.ejectedUntil, d.fullUntil, d.lastSuccess = 0, 0, 0, 0, now
}

// failed counts an outcome that speaks against the server. peerAnswered tells that another server of its kind
// has answered since the call was sent, so that silence is the server's own.
func (d *outlierDetector) recordFailure(now time.Duration, outcome Outcome, peerAnswered bool) {
	d.consecutiveFailures++
	switch {
	case outcome == Misdirected || outcome == Unreachable || outcome == TimedOut && peerAnswered:
		d.eject(now, unreachableEjectionTime)
	case d.consecutiveFailures >= consecutiveFailuresToEject || d.halfOpen():
		d.eject(now, baseEjectionTime)
	}
}

func (d *outlierDetector) eject(now, base time.Duration) {
	if d.ejected(now) {
		return // calls that were under way together failed together
	}
	d.ejectedUntil = now + min(base<<min(d.ejections, 8), maxEjectionTime)
	d.ejections++
}

// stuck tells whether the oldest call without any answer waits for unusually long.
func (s *serverState) stuck(now time.Duration) bool {
	for _, call := range s.calls {
		if !call.answered {
			return now-call.startedAt > max(duration(stuckExpectedFactor*call.expectedMs), minStuckTime)
		}
	}
	return false
}

// succeeded counts for the server of a call, and for the one whose memory it fetched.
func (call *Call) recordSuccess(now time.Duration) {
	call.state.outliers.recordSuccess(now)
	if call.prefillServer != nil {
		call.prefillServer.transferOutliers.recordSuccess(now)
	}
}

// failed counts an outcome against the server it speaks against.
func (call *Call) recordFailure(now time.Duration, outcome Outcome) {
	switch outcome {
	case Rejected:
		call.state.outliers.fullUntil = now + rejectedFullTime
	case Abandoned:
	case HandleFailed: // the reader let the memory go, or the writer's moves have too long a queue
		call.state.lateness.add(now, failedTransferLatenessMs, call.expectedMs)
		if call.prefillServer != nil {
			call.prefillServer.transferOutliers.recordFailure(now, outcome, false)
		}
	default:
		call.state.outliers.recordFailure(now, outcome, call.pool.peerAnsweredSince(call))
	}
}
