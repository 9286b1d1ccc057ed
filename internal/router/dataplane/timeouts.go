package dataplane

import (
	"sync"
	"time"
)

const (
	// The timeout of prefill is prefillTimeoutFactor times the expected time and at least minPrefillTimeout,
	// but at most the time left divided by prefillTimeoutDivisor, because the decode call has to follow.
	minPrefillTimeout     = time.Second
	prefillTimeoutFactor  = 3
	prefillTimeoutDivisor = 2
	// priorMeanWeight is the weight of the previous mean of prefill times, where a new time has the weight 1.
	priorMeanWeight = 7
	// An idempotent request may be retried at another server if its response has not begun after the longest
	// of minResponseTimeout, responseTimeoutTargetFactor times the route's latency target, and
	// responseTimeoutExpectedFactor times the duration that the scheduler expected.
	minResponseTimeout            = 1500 * time.Millisecond
	responseTimeoutTargetFactor   = 2
	responseTimeoutExpectedFactor = 3
	// A stream may pause for minStreamTimeout or streamTimeoutGapFactor times the route's gap target, whichever
	// is longer, before it is resumed at another server.
	minStreamTimeout       = time.Second
	streamTimeoutGapFactor = 3
)

// prefillTimeout returns how long a server may take to prefill a prompt before the request continues without
// its prefix cache.
func prefillTimeout(expected, left time.Duration) time.Duration {
	return min(max(prefillTimeoutFactor*expected, minPrefillTimeout), left/prefillTimeoutDivisor)
}

// responseTimeout returns how long a server may take to begin its response before another one is tried. It
// returns all the time left if that is less than one and a half timeouts, because another server would hardly
// respond in time.
func responseTimeout(target, expected, left time.Duration) time.Duration {
	timeout := max(responseTimeoutTargetFactor*target, responseTimeoutExpectedFactor*expected,
		minResponseTimeout)
	if left < timeout+timeout/2 {
		return left
	}
	return timeout
}

// streamTimeout returns how long a stream may pause before it is resumed at another server.
func streamTimeout(gap time.Duration) time.Duration {
	return max(streamTimeoutGapFactor*gap, minStreamTimeout)
}

// prefillTimes keeps a moving mean of the time that prefill takes, by service. It is safe for concurrent
// use.
type prefillTimes struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

func newPrefillTimes() *prefillTimes { return &prefillTimes{mean: map[string]time.Duration{}} }

// record adds the duration of a prefill call, or the time after which it timed out.
func (t *prefillTimes) record(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.mean[service]
	if !known {
		before = took
	}
	t.mean[service] = (before*priorMeanWeight + took) / (priorMeanWeight + 1)
}

// expected returns the mean time that prefill takes, 0 if none has been recorded.
func (t *prefillTimes) expected(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean[service]
}
