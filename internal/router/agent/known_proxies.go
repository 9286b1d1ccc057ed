package agent

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// proxyRetention is how long the address of a proxy is retained after it was last live.
	proxyRetention = 10 * time.Minute
	// maxKnownProxies bounds the known addresses; the most recently live ones are retained.
	maxKnownProxies = 2048
)

// knownProxies are the addresses of the proxies that were live within proxyRetention. Machines with a disk
// persist them, so that after a loss of all processes these find the others whatever the seeds are. Its
// methods are safe for concurrent use.
type knownProxies struct {
	mu       sync.Mutex
	lastLive map[string]time.Duration // by IP
	changed  bool                     // since the last call of resetChanged
}

func newKnownProxies() *knownProxies { return &knownProxies{lastLive: map[string]time.Duration{}} }

// record adds the proxies that are live now, and removes those whose retention is over.
func (k *knownProxies) record(now time.Duration, live []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, ip := range live {
		if _, ok := k.lastLive[ip]; !ok {
			k.changed = true
		}
		k.lastLive[ip] = now
	}
	for ip, last := range k.lastLive {
		if now-last > proxyRetention {
			delete(k.lastLive, ip)
			k.changed = true
		}
	}
	k.evictOldest()
}

// evictOldest removes the addresses beyond maxKnownProxies; the lock is held.
func (k *knownProxies) evictOldest() {
	excess := len(k.lastLive) - maxKnownProxies
	if excess <= 0 {
		return
	}
	oldestFirst := slices.SortedFunc(maps.Keys(k.lastLive), func(a, b string) int {
		return cmp.Or(cmp.Compare(k.lastLive[a], k.lastLive[b]), cmp.Compare(a, b))
	})
	for _, ip := range oldestFirst[:excess] {
		delete(k.lastLive, ip)
	}
	k.changed = true
}

// addresses returns all of them, sorted.
func (k *knownProxies) addresses() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.lastLive))
}

// setChanged has the addresses saved again, after saving them failed.
func (k *knownProxies) setChanged() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed = true
}

// resetChanged reports whether the addresses have changed since the last call.
func (k *knownProxies) resetChanged() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.changed
	k.changed = false
	return changed
}
