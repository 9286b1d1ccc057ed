package proxystandin

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// FleetOptions describe zone servers of two kinds in several halls, as the brief has them.
type FleetOptions struct {
	Servers           int
	Halls             []string
	Work              map[string]time.Duration // mean work of a request by class, on a core of speed 1
	HalfSpeedFraction float64                  // part of the servers that are of the slow kind
	MaxQueued         int
	WarmUp            WarmUp
	Seed              uint64
}

// The kinds of server and their speeds.
const (
	Standard, HalfSpeed           = "standard", "half-speed"
	standardSpeed, halfSpeedSpeed = 1.8, 0.9
	coresPerServer                = 2
)

// Fleet is zone servers with the discovery that tells of them.
type Fleet struct {
	Discovery *Discovery
	opts      FleetOptions

	mu      sync.Mutex
	running map[string]*member
	started []*Zone // ever started
	next    int
	closed  bool
}

type member struct {
	zone  *Zone
	entry Endpoint
}

// statusInService is the status of a server that takes work.
const statusInService = "in_service"

// StartFleet starts the servers, warm, and a discovery that lists them, on loopback.
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

// speed is that of the n-th server: the slow ones are spread evenly over the fleet.
func (f *Fleet) speed(n int) (kind string, speed float64) {
	if int(float64(n+1)*f.opts.HalfSpeedFraction) > int(float64(n)*f.opts.HalfSpeedFraction) {
		return HalfSpeed, halfSpeedSpeed
	}
	return Standard, standardSpeed
}

// Capacity is the work a second that the first n servers can do, in seconds of a core of speed 1.
func (f *Fleet) Capacity(n int) (c float64) {
	for i := range n {
		_, speed := f.speed(i)
		c += speed * coresPerServer
	}
	return c
}

// Add starts one more server and tells of it; since is when its process started, zero for long ago.
func (f *Fleet) Add(since time.Time) (string, error) {
	f.mu.Lock()
	n := f.next
	f.next++
	f.mu.Unlock()
	kind, speed := f.speed(n)
	e := Endpoint{
		Name: fmt.Sprintf("zone-%02d", n+1), Zone: f.opts.Halls[n%len(f.opts.Halls)], Type: kind, Group: n + 1,
		Status: statusInService, Weight: speed / standardSpeed,
	}
	return e.Name, f.start(n, e, speed, since)
}

func (f *Fleet) start(n int, e Endpoint, speed float64, since time.Time) error {
	z, err := StartZone(ZoneOptions{
		Name: e.Name, Listen: "127.0.0.1:0", Cores: coresPerServer, Speed: speed, MaxQueued: f.opts.MaxQueued,
		MaxConnections: 1500, Handshake: 2 * time.Millisecond, Work: f.opts.Work, Spread: 0.3,
		KeyCacheTTL: 5 * time.Second, CachedKeyCost: 0.5, WarmUp: f.opts.WarmUp, Seed: f.opts.Seed + uint64(n),
	}, since)
	if err != nil {
		return err
	}
	e.Address = z.Address()
	if !since.IsZero() {
		e.SinceMS = since.UnixMilli()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		z.Close()
		return errors.New("the fleet has ended")
	}
	f.running[e.Name] = &member{z, e}
	f.started = append(f.started, z)
	f.Discovery.Set(e)
	return nil
}

// Names returns the servers that are there, sorted.
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

// publishStatus changes a server's status in the list.
func (f *Fleet) publishStatus(m *member, status string) {
	e := m.entry
	e.Status = status
	f.Discovery.Set(e)
}

// recordDrainNotified notes when a proxy was first told that nothing new may reach a server: not before
// discovery could tell it.
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

// Drain tells that a server wants nothing new; it finishes what it has. Leave ends it.
func (f *Fleet) Drain(name string) {
	if m := f.member(name); m != nil {
		f.publishStatus(m, "terminating")
		m.zone.Drain()
	}
}

// Terminate ends a server and tells so.
func (f *Fleet) Terminate(name string) {
	if m := f.remove(name); m != nil {
		f.publishStatus(m, "terminated")
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

// Pause has a server stand still.
func (f *Fleet) Pause(name string, d time.Duration) {
	if m := f.member(name); m != nil {
		m.zone.Pause(d)
	}
}

// Crash ends a server's process without a word; Gone tells that it is gone.
func (f *Fleet) Crash(name string) (announce func(), restart func() error) {
	m := f.remove(name)
	if m == nil {
		return func() {}, func() error { return nil }
	}
	m.zone.Crash()
	return func() { f.publishStatus(m, "terminated") }, func() error {
		return f.start(len(f.Zones()), m.entry, m.zone.opts.Speed, time.Now())
	}
}

// Zones returns all servers that ever were.
func (f *Fleet) Zones() []*Zone {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.started)
}

// RanTwice is how many unsafe requests ran more than once, whichever servers they ran on.
func (f *Fleet) RanTwice() (n int) {
	runs := map[string]int{}
	for _, z := range f.Zones() {
		for id, k := range z.Runs() {
			if runs[id] += k; runs[id] == 2 || k > 1 && runs[id] == k {
				n++
			}
		}
	}
	return n
}

// Counts returns what the servers saw by name, a server's several lives added up.
func (f *Fleet) Counts() map[string]ZoneCounts {
	all := map[string]ZoneCounts{}
	for _, z := range f.Zones() {
		c, sum := z.Counts(), all[z.Name()]
		sum.Requests += c.Requests
		sum.Served += c.Served
		sum.Rejected += c.Rejected
		sum.Probes += c.Probes
		sum.Opened += c.Opened
		sum.RanTwice += c.RanTwice
		sum.AfterDrain += c.AfterDrain
		sum.Overloaded += c.Overloaded
		all[z.Name()] = sum
	}
	return all
}

// Close ends all servers and the discovery, and waits for their goroutines.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, z := range f.Zones() {
		z.Close()
	}
	f.Discovery.Close()
}
