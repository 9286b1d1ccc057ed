package agent

import (
	"maps"
	"sync"
	"time"
)

// lastSeenRetention is how long the last contact with a process is remembered whose record is not known.
const lastSeenRetention = 10 * time.Second

// lastSeen holds when each process and server last called this one, by id of its record. Its methods are safe
// for concurrent use.
type lastSeen struct {
	mu sync.Mutex
	at map[string]time.Duration
}

func newLastSeen() *lastSeen { return &lastSeen{at: map[string]time.Duration{}} }

func (l *lastSeen) record(id string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at[id] = now
}

func (l *lastSeen) of(id string) (at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok = l.at[id]
	return at, ok
}

func (l *lastSeen) snapshot() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.at)
}

func (l *lastSeen) remove(ids map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range ids {
		delete(l.at, id)
	}
}
