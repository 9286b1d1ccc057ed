package routerstandin

import (
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"cresshub/internal/router/controlclient"
)

const (
	// readyInterval is how often the platform asks a proxy whether it is ready.
	readyInterval = time.Second
	// maxMisses is how many readiness checks in a row a proxy fails until it gets no clients.
	maxMisses = 2
)

// Proxy is a proxy as the platform knows it.
type Proxy struct {
	Zone  string
	Front string // address for clients
	Ready string // address for readiness calls
}

// Entry is the platform's address for clients: it gives each new connection to a proxy of the client's zone.
type Entry struct {
	proxies []Proxy

	mu     sync.Mutex
	misses map[string]int // in a row, by ready address; maxMisses until the first success
}

// NewEntry returns an entry that holds no proxy to be ready yet.
func NewEntry(proxies []Proxy) *Entry {
	e := &Entry{proxies: proxies, misses: map[string]int{}}
	for _, proxy := range proxies {
		e.misses[proxy.Ready] = maxMisses
	}
	return e
}

// Run checks the readiness of each proxy each second until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var checks sync.WaitGroup
	for _, proxy := range e.proxies {
		checks.Go(func() {
			for {
				e.checkReady(ctx, proxy)
				if !Sleep(ctx, readyInterval) {
					return
				}
			}
		})
	}
	checks.Wait()
}

func (e *Entry) checkReady(ctx context.Context, proxy Proxy) {
	bounded, cancel := context.WithTimeout(ctx, readyInterval)
	defer cancel()
	answer, err := controlclient.Do(bounded, proxy.Ready, controlclient.Call{Method: "GET", Target: readyPath})
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && answer.Status == 200 {
		e.misses[proxy.Ready] = 0
		return
	}
	e.misses[proxy.Ready]++
}

// Ready returns the proxies that get new connections.
func (e *Entry) Ready() []Proxy {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ready []Proxy
	for _, proxy := range e.proxies {
		if e.misses[proxy.Ready] < maxMisses {
			ready = append(ready, proxy)
		}
	}
	return ready
}

// Choose names the proxy that gets a new connection of a client for its next attempt; each attempt has
// another number.
func (e *Entry) Choose(zone string, client, attempt int) Proxy {
	eligible := e.eligible(zone)
	hash := fnv.New32a()
	hash.Write([]byte(strconv.Itoa(client)))
	return eligible[(int(hash.Sum32())+attempt)%len(eligible)]
}

// eligible returns the proxies that get the connections of a zone: those that are ready, all of the zone
// where fewer than half are, and those of other zones where none is.
func (e *Entry) eligible(zone string) []Proxy {
	ready := e.Ready()
	inZone := func(p Proxy) bool { return p.Zone == zone }
	here := slices.DeleteFunc(slices.Clone(ready), func(p Proxy) bool { return !inZone(p) })
	all := slices.DeleteFunc(slices.Clone(e.proxies), func(p Proxy) bool { return !inZone(p) })
	switch {
	case len(here) == 0 && len(ready) > 0:
		return ready
	case 2*len(here) < len(all) || len(here) == 0:
		return all
	}
	return here
}
