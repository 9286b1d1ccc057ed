package agent

import (
	"sync"
	"time"
)

// lastSeenRetention is how long the last contact with a process is remembered whose record is not known.
const lastSeenRetention = 10 * time.Second

// lastSeen holds when each process and server last called this one, by id of its record. Its methods are safe
// for concurrent use.
type lastSeen struct {
	mu       sync.Mutex
	contacts map[string]contact
}

// contact is the last call of a process or server.
type contact struct {
	at         time.Duration
	redirected bool // it was sent to another proxy
}

func newLastSeen() *lastSeen { return &lastSeen{contacts: map[string]contact{}} }

// record records a call.
func (l *lastSeen) record(id string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contacts[id] = contact{at: now}
}

// recordRedirect records a call that was answered by sending the caller to another proxy, so that none is
// expected of it here for a while.
func (l *lastSeen) recordRedirect(id string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contacts[id] = contact{at: now, redirected: true}
}

// of returns when a process last called.
func (l *lastSeen) of(id string) (at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.contacts[id]
	return last.at, ok
}

// wasRedirected reports whether the last call of a process was answered by sending it to another proxy.
func (l *lastSeen) wasRedirected(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contacts[id].redirected
}

// snapshot returns when each process last called.
func (l *lastSeen) snapshot() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := make(map[string]time.Duration, len(l.contacts))
	for id, last := range l.contacts {
		at[id] = last.at
	}
	return at
}

func (l *lastSeen) remove(ids map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range ids {
		delete(l.contacts, id)
	}
}
