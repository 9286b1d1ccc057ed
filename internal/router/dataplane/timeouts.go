package dataplane

import (
	"sync"
	"time"
)

const (
	// minPrefillTimeout is how long a server may take at least to prefill a prompt.
	minPrefillTimeout = time.Second
	// prefillTimeoutFactor is how many times the usual time it may take.
	prefillTimeoutFactor = 3
	// The time left divided by prefillTimeoutDivisor may be spent on prefill: the decode call has to
	// follow.
	prefillTimeoutDivisor = 2
	// prefillTimeWeight is the weight of all earlier times in the mean beside that of a new one.
	prefillTimeWeight = 7
	// minResponseTimeout is how long a server may take at least to begin its response before an idempotent
	// request is retried at another one.
	minResponseTimeout = 1500 * time.Millisecond
	// responseTimeoutTargets is how many times its route's latency target it may take,
	// responseTimeoutFactor how many times the duration that the scheduler expected.
	responseTimeoutTargets = 2
	responseTimeoutFactor  = 3
	// minStreamTimeout, or streamTimeoutGaps times the route's gap target, whichever is longer, is how long
	// a stream may pause before it is resumed at another server.
	minStreamTimeout  = time.Second
	streamTimeoutGaps = 3
)

// prefillTimeout is how long a server may take to prefill a prompt before the request goes on without.
func prefillTimeout(expected, left time.Duration) time.Duration {
	return min(max(prefillTimeoutFactor*expected, minPrefillTimeout), left/prefillTimeoutDivisor)
}

// responseTimeout is how long a server may take to begin its response; all the time left where no other one
// could make it in time.
func responseTimeout(target, expected, left time.Duration) time.Duration {
	timeout := max(responseTimeoutTargets*target, responseTimeoutFactor*expected, minResponseTimeout)
	if left < timeout+timeout/2 {
		return left
	}
	return timeout
}

// streamTimeout is how long a stream may pause before it is resumed at another server.
func streamTimeout(gap time.Duration) time.Duration {
	return max(streamTimeoutGaps*gap, minStreamTimeout)
}

// prefillTimes keeps a moving mean of the time that prefill takes, by service. It is safe for concurrent
// use.
type prefillTimes struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

func newPrefillTimes() *prefillTimes { return &prefillTimes{mean: map[string]time.Duration{}} }

// record adds how long a prefill call took, or how long it was waited for in vain.
func (t *prefillTimes) record(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.mean[service]
	if !known {
		before = took
	}
	t.mean[service] = (before*prefillTimeWeight + took) / (prefillTimeWeight + 1)
}

// expected is how long prefill usually takes, 0 if that is not known.
func (t *prefillTimes) expected(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean[service]
}
