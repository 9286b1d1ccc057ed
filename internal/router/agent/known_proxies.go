package agent

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// proxyRetention is how long the address of a proxy is retained after the proxy was last live.
	proxyRetention = 10 * time.Minute
	// maxKnownProxies bounds the known addresses; the most recently live ones are retained.
	maxKnownProxies = 2048
)

// knownProxies holds the addresses of the proxies that were live within proxyRetention. A machine with a disk
// persists them, so that after an outage of the whole fleet its process finds the others even if the seeds
// have changed. Its methods are safe for concurrent use.
type knownProxies struct {
	mu       sync.Mutex
	lastLive map[string]time.Duration // by IP
	changed  bool                     // since the last call of takeChanged
}

func newKnownProxies() *knownProxies { return &knownProxies{lastLive: map[string]time.Duration{}} }

// record adds the proxies that are live now, and removes those that were last live before proxyRetention.
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

// evictOldest removes the least recently live addresses beyond maxKnownProxies; the lock is held.
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

// addresses returns all known addresses, sorted.
func (k *knownProxies) addresses() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.lastLive))
}

// markChanged marks the addresses as changed, so that they are saved again after a failed attempt.
func (k *knownProxies) markChanged() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed = true
}

// takeChanged reports whether the addresses have changed since its last call, and resets that.
func (k *knownProxies) takeChanged() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.changed
	k.changed = false
	return changed
}
