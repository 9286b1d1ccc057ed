package proxystandin

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// FleetOptions describe zone servers of two kinds in several halls.
type FleetOptions struct {
	Servers           int
	Halls             []string
	Work              map[string]time.Duration // mean work of a request by class, on a core of speed 1
	HalfSpeedFraction float64                  // fraction of the servers that are of the slow kind
	MaxQueued         int
	WarmUp            WarmUp
	Seed              uint64
}

// The kinds of server.
const (
	Standard  = "standard"
	HalfSpeed = "half-speed"
)

const (
	standardSpeed  = 1.8
	halfSpeedSpeed = 0.9
	coresPerServer = 2
)

// Fleet is a set of zone servers and the discovery service that lists them.
type Fleet struct {
	Discovery *Discovery
	opts      FleetOptions

	mu      sync.Mutex
	running map[string]*member
	started []*Zone         // all that were ever started
	ports   []*reservedPort // theirs
	next    int
	closed  bool
}

// member is a running server and its line in discovery.
type member struct {
	zone  *Zone
	entry Endpoint
}

// The states of a server in discovery.
const (
	statusInService   = "in_service"
	statusTerminating = "terminating"
	statusTerminated  = "terminated"
)

// StartFleet starts the servers at full capacity, and a discovery service that lists them, on loopback.
func StartFleet(o FleetOptions) (*Fleet, error) {
	f := &Fleet{opts: o, running: map[string]*member{}}
	var err error
	if f.Discovery, err = StartDiscovery("127.0.0.1:0"); err != nil {
		return nil, err
	}
	f.Discovery.OnDelivered(f.recordDrainNotified)
	for range o.Servers {
		if _, err := f.Add(time.Time{}); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// speed returns the kind and speed of the n-th server: slow ones are spread evenly over the fleet.
func (f *Fleet) speed(n int) (kind string, speed float64) {
	slowUpTo := func(servers int) int { return int(float64(servers) * f.opts.HalfSpeedFraction) }
	if slowUpTo(n+1) > slowUpTo(n) {
		return HalfSpeed, halfSpeedSpeed
	}
	return Standard, standardSpeed
}

// Capacity returns the work per second that the first n servers can do, in seconds of a core of speed 1.
func (f *Fleet) Capacity(n int) (capacity float64) {
	for i := range n {
		_, speed := f.speed(i)
		capacity += speed * coresPerServer
	}
	return capacity
}

// Add starts one more server and lists it. since is the start of its process, zero for long ago. It returns
// the server's name.
func (f *Fleet) Add(since time.Time) (string, error) {
	f.mu.Lock()
	n := f.next
	f.next++
	f.mu.Unlock()
	kind, speed := f.speed(n)
	entry := Endpoint{
		Name: fmt.Sprintf("zone-%02d", n+1), Zone: f.opts.Halls[n%len(f.opts.Halls)], Type: kind, Group: n + 1,
		Status: statusInService, Weight: speed / standardSpeed,
	}
	return entry.Name, f.start(n, entry, speed, since)
}

// start starts the n-th server and lists it by an entry, of which it completes address and start.
func (f *Fleet) start(n int, entry Endpoint, speed float64, since time.Time) error {
	port, err := reservePort()
	if err != nil {
		return err
	}
	zone, err := StartZone(ZoneOptions{
		Name: entry.Name, Listen: port.address, Cores: coresPerServer, Speed: speed, MaxQueued: f.opts.MaxQueued,
		MaxConnections: 1500, Handshake: 2 * time.Millisecond, Work: f.opts.Work, Spread: 0.3,
		KeyCacheTTL: 5 * time.Second, CachedKeyCost: 0.5, WarmUp: f.opts.WarmUp, Seed: f.opts.Seed + uint64(n),
	}, since)
	if err != nil {
		port.release()
		return err
	}
	entry.Address = zone.Address()
	if !since.IsZero() {
		entry.SinceMS = since.UnixMilli()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		zone.Close()
		port.release()
		return errors.New("the fleet has ended")
	}
	f.running[entry.Name] = &member{zone, entry}
	f.started, f.ports = append(f.started, zone), append(f.ports, port)
	f.Discovery.Set(entry)
	return nil
}

// Names returns the names of the running servers, sorted.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.running))
}

func (f *Fleet) member(name string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[name]
}

// publishStatus changes a server's status in discovery.
func (f *Fleet) publishStatus(m *member, status string) {
	changed := m.entry
	changed.Status = status
	f.Discovery.Set(changed)
}

// recordDrainNotified records when a proxy first learned that it may send a server nothing new: not before
// discovery could deliver it.
func (f *Fleet) recordDrainNotified(entries []Endpoint) {
	now := time.Now()
	for _, entry := range entries {
		if entry.Status == statusInService {
			continue
		}
		for _, zone := range f.Zones() {
			if zone.Name() == entry.Name && zone.Address() == entry.Address {
				zone.RecordFirstDrainNotified(now)
			}
		}
	}
}

// Drain lists a server as terminating and lets it finish what it has; Terminate ends it.
func (f *Fleet) Drain(name string) {
	if m := f.member(name); m != nil {
		f.publishStatus(m, statusTerminating)
		m.zone.Drain()
	}
}

// Terminate ends a server and lists it as terminated.
func (f *Fleet) Terminate(name string) {
	if m := f.remove(name); m != nil {
		f.publishStatus(m, statusTerminated)
		m.zone.Close()
	}
}

func (f *Fleet) remove(name string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.running[name]
	delete(f.running, name)
	return m
}

// Pause stalls a server for d.
func (f *Fleet) Pause(name string, d time.Duration) {
	if m := f.member(name); m != nil {
		m.zone.Pause(d)
	}
}

// Crash kills a server's process. announce lists it as terminated, restart starts it again under its name at
// a new address, in warm-up.
func (f *Fleet) Crash(name string) (announce func(), restart func() error) {
	m := f.remove(name)
	if m == nil {
		return func() {}, func() error { return nil }
	}
	m.zone.Crash()
	return func() { f.publishStatus(m, statusTerminated) }, func() error {
		return f.start(len(f.Zones()), m.entry, m.zone.opts.Speed, time.Now())
	}
}

// Zones returns all servers ever started, in order of their start.
func (f *Fleet) Zones() []*Zone {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.started)
}

// RanTwice returns how many unsafe requests ran more than once, on whichever servers.
func (f *Fleet) RanTwice() int {
	runs := map[string]int{}
	for _, zone := range f.Zones() {
		for id, count := range zone.Runs() {
			runs[id] += count
		}
	}
	ranTwice := 0
	for _, count := range runs {
		if count > 1 {
			ranTwice++
		}
	}
	return ranTwice
}

// Counts returns the servers' counts by name, summed over a server's restarts.
func (f *Fleet) Counts() map[string]ZoneCounts {
	all := map[string]ZoneCounts{}
	for _, z := range f.Zones() {
		all[z.Name()] = all[z.Name()].plus(z.Counts())
	}
	return all
}

// Close ends all servers and discovery, and waits for their goroutines.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	ports := f.ports
	f.ports = nil
	f.mu.Unlock()
	for _, z := range f.Zones() {
		z.Close()
	}
	f.Discovery.Close()
	for _, port := range ports {
		port.release()
	}
}
