package scheduler

import "time"

const (
	gone        = time.Second            // first rest of a server that another has the address of, or nobody
	troubled    = 500 * time.Millisecond // first rest of a server that answers badly
	longestRest = 10 * time.Second
	fullFor     = 100 * time.Millisecond // a server that rejected a request counts as full so long
	twice       = 2                      // bad answers in a row before a server rests
	stuckTimes  = 6.0                    // a call unanswered for so many times what was expected is stuck
	stuckLeast  = time.Second            // and for at least this long
	lateMove    = 500.0                  // ms that a server counts as late by when it could not fetch memory
)

// trust is how a server has answered lately. A server that failed rests for a time that grows with every
// failure after a rest; then one request at a time tries it until one succeeds.
type trust struct {
	bad      int           // bad answers in a row
	rests    int           // rests since the last good answer
	until    time.Duration // end of the rest
	full     time.Duration // until when it counts as full
	answered time.Duration // when it last answered well
}

// resting tells whether the server gets no requests at all.
func (t *trust) resting(now time.Duration) bool { return now < t.until }

// probation tells whether a server has rested and not succeeded since.
func (t *trust) probation() bool { return t.rests > 0 }

func (t *trust) good(now time.Duration) {
	t.bad, t.rests, t.until, t.full, t.answered = 0, 0, 0, 0, now
}

// failed counts an outcome that speaks against the server. othersAnswer tells that another server of its kind
// has answered since the call was sent, so that silence is the server's own.
func (t *trust) failed(now time.Duration, outcome Outcome, othersAnswer bool) {
	t.bad++
	switch {
	case outcome == Misdirected || outcome == Unreachable || outcome == Silent && othersAnswer:
		t.rest(now, gone)
	case t.bad >= twice || t.probation():
		t.rest(now, troubled)
	}
}

func (t *trust) rest(now, first time.Duration) {
	if t.resting(now) {
		return // calls that were under way together failed together
	}
	t.until = now + min(first<<min(t.rests, 8), longestRest)
	t.rests++
}

// stuck tells whether the oldest call without any answer waits for unusually long.
func (s *server) stuck(now time.Duration) bool {
	for _, call := range s.calls {
		if !call.answered {
			return now-call.started > max(duration(stuckTimes*call.expected), stuckLeast)
		}
	}
	return false
}

// succeeded counts for the server of a call, and for the one whose memory it fetched.
func (call *Call) succeeded(now time.Duration) {
	call.state.trust.good(now)
	if call.reader != nil {
		call.reader.handles.good(now)
	}
}

// failed counts an outcome against the server it speaks against.
func (call *Call) failed(now time.Duration, outcome Outcome) {
	switch outcome {
	case Rejected:
		call.state.trust.full = now + fullFor
	case Abandoned:
	case HandleFailed: // the reader let the memory go, or the writer's moves have too long a queue
		call.state.late.add(now, lateMove, call.expected)
		if call.reader != nil {
			call.reader.handles.failed(now, outcome, false)
		}
	default:
		call.state.trust.failed(now, outcome, call.pool.answeredSince(call))
	}
}
