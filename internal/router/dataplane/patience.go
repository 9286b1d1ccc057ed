package dataplane

import (
	"sync"
	"time"
)

const (
	// readPatienceLeast is how long a server may take at least to read a prompt.
	readPatienceLeast = time.Second
	// readPatienceTimes is how many times as long as usual it may take.
	readPatienceTimes = 3
	// readPatiencePart of the time left may be spent on reading: the call that writes has to follow.
	readPatiencePart = 2
	// readWeight is the weight of all earlier times beside that of a new one.
	readWeight = 7
	// servePatienceLeast is how long a server may be silent at least before a request that may be repeated goes
	// to another one.
	servePatienceLeast = 1500 * time.Millisecond
	// servePatienceTarget is how many times the target of its route it may take, servePatienceTimes how many
	// times as long as the decision reckoned with.
	servePatienceTarget = 2
	servePatienceTimes  = 3
	// silenceLeast and silenceGaps of the route's longest pause, whichever is more, is how long a stream may
	// pause before another server takes it up.
	silenceLeast = time.Second
	silenceGaps  = 3
)

// readPatience is how long a server may take to read a prompt before the request goes on without.
func readPatience(expected, left time.Duration) time.Duration {
	return min(max(readPatienceTimes*expected, readPatienceLeast), left/readPatiencePart)
}

// servePatience is how long a server may be silent before its answer begins; all the time there is where no
// other one could make it in time.
func servePatience(target, expected, left time.Duration) time.Duration {
	patience := max(servePatienceTarget*target, servePatienceTimes*expected, servePatienceLeast)
	if left < patience+patience/2 {
		return left
	}
	return patience
}

// streamPatience is how long a stream may pause before another server takes it up.
func streamPatience(gap time.Duration) time.Duration { return max(silenceGaps*gap, silenceLeast) }

// readTimes learns how long servers take to read prompts, by service. It is safe for concurrent use.
type readTimes struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

func newReadTimes() *readTimes { return &readTimes{usual: map[string]time.Duration{}} }

// note takes in how long a reading took, or how long it was waited for in vain.
func (t *readTimes) note(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.usual[service]
	if !known {
		before = took
	}
	t.usual[service] = (before*readWeight + took) / (readWeight + 1)
}

// expected is how long a reading usually takes, 0 where that is not known.
func (t *readTimes) expected(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usual[service]
}
