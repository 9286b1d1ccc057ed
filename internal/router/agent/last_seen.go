package agent

import (
	"sync"
	"time"
)

// lastSeenRetention is how long the last contact with a process is kept if the directory has no record of it.
const lastSeenRetention = 10 * time.Second

// lastSeen holds when each process and server last called this process, by the id of its record. Its methods
// are safe for concurrent use.
type lastSeen struct {
	mu       sync.Mutex
	contacts map[string]contact
}

// contact is the last call of a process or server.
type contact struct {
	at         time.Duration
	redirected bool // the answer sent the caller to another proxy
}

func newLastSeen() *lastSeen { return &lastSeen{contacts: map[string]contact{}} }

// record records a call.
func (l *lastSeen) record(id string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contacts[id] = contact{at: now}
}

// recordRedirect records a call whose answer sent the caller to another proxy, so that no further call is
// expected of it for a while.
func (l *lastSeen) recordRedirect(id string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contacts[id] = contact{at: now, redirected: true}
}

// get returns when a process or server last called; ok is false if that is not known.
func (l *lastSeen) get(id string) (at time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.contacts[id]
	return last.at, ok
}

// wasRedirected reports whether the answer to the last call of a process sent it to another proxy.
func (l *lastSeen) wasRedirected(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contacts[id].redirected
}

// snapshot returns a copy of the times of the last calls, by id.
func (l *lastSeen) snapshot() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := make(map[string]time.Duration, len(l.contacts))
	for id, last := range l.contacts {
		at[id] = last.at
	}
	return at
}

// remove removes the last contacts with the processes whose ids are the keys.
func (l *lastSeen) remove(ids map[string]time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range ids {
		delete(l.contacts, id)
	}
}
