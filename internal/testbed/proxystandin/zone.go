package proxystandin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

// ZoneOptions describe one zone server.
type ZoneOptions struct {
	Name           string
	Listen         string                   // host:port; port 0 lets the system choose
	Cores          int                      // requests served concurrently
	Speed          float64                  // relative to a standard core, which is 1
	MaxQueued      int                      // queue capacity; requests beyond it are rejected
	MaxConnections int                      // open at once; 0 is no limit
	Handshake      time.Duration            // work that a new connection costs
	Work           map[string]time.Duration // mean work of a request by class, on a core of speed 1
	Spread         float64                  // work varies from 1-Spread to 1+Spread times the mean
	KeyCacheTTL    time.Duration            // a key requested again within this time ...
	CachedKeyCost  float64                  // ... costs this fraction of the work; 0 or 1 for no difference
	WarmUp         WarmUp
	Seed           uint64
	IdleTimeout    time.Duration // a connection idle for so long is closed; 0 is 5 s
}

// WarmUp is the slow start of a server whose process has just started.
type WarmUp struct {
	StartFraction    float64       // fraction of its capacity at the start; 0 is full capacity at once
	Duration         time.Duration // full capacity after this
	OverloadMultiple float64       // offered more than this multiple of its capacity ...
	OverloadAfter    time.Duration // ... for so long, it stops taking requests
}

// Zone is a zone server: it speaks HTTP/1.1 and simulates work by sleeping.
type Zone struct {
	opts     ZoneOptions
	listener *Listener
	mu       sync.Mutex
	zoneState
}

// zoneState is the part of a Zone that its mu guards.
type zoneState struct {
	rng                 *rand.Rand
	started             time.Time // start of its process; zero is long ago
	running             int
	queue               []chan bool // requests that wait for a core: true runs it, false rejects it
	pausedUntil         time.Time   // nothing progresses until then
	draining            bool
	ended               bool
	drainNotifiedAt     time.Time            // when proxies learned of its drain or end
	lastRequested       map[string]time.Time // by request key
	overloadWindowStart time.Time            // of the window over which arrivals are summed during warm-up
	arrivedWork         time.Duration        // in that window
	counts              ZoneCounts
	runs                map[string]int // by id, how often an unsafe request ran
}

// ZoneCounts are the events that a zone server counted.
type ZoneCounts struct {
	Requests   int `json:"requests"`    // received completely
	Served     int `json:"served"`      // answered 200
	Rejected   int `json:"turned_away"` // not processed
	Probes     int `json:"probes"`
	Opened     int `json:"opened"`      // connections
	RanTwice   int `json:"ran_twice"`   // unsafe requests run here more than once
	AfterDrain int `json:"after_drain"` // received more than DrainGrace after proxies learned of the drain
	Overloaded int `json:"fell_over"`   // times it was overloaded during warm-up
}

// plus returns the sums of two counts.
func (c ZoneCounts) plus(other ZoneCounts) ZoneCounts {
	return ZoneCounts{
		Requests: c.Requests + other.Requests, Served: c.Served + other.Served,
		Rejected: c.Rejected + other.Rejected, Probes: c.Probes + other.Probes, Opened: c.Opened + other.Opened,
		RanTwice: c.RanTwice + other.RanTwice, AfterDrain: c.AfterDrain + other.AfterDrain,
		Overloaded: c.Overloaded + other.Overloaded,
	}
}

// maxRemembered bounds the request ids and the keys that a server remembers.
const maxRemembered = 1 << 17

// StartZone starts a zone server. since is the start of its process as discovery reports it; zero is long
// ago, which means no warm-up.
func StartZone(o ZoneOptions, since time.Time) (*Zone, error) {
	if o.Cores <= 0 || o.Speed <= 0 || o.MaxQueued < 0 || o.Spread < 0 || o.Spread > 1 {
		return nil, fmt.Errorf("zone %s: cores and speed must be above 0, waiting not below, spread 0 to 1", o.Name)
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 5 * time.Second
	}
	z := &Zone{opts: o, zoneState: zoneState{
		rng: rand.New(rand.NewPCG(o.Seed, 0x5bd1e995)), started: since, lastRequested: map[string]time.Time{},
		runs: map[string]int{},
	}}
	var err error
	z.listener, err = Listen(o.Listen, o.MaxConnections, z.serve)
	return z, err
}

// Address returns the host:port it listens on.
func (z *Zone) Address() string { return z.listener.Address() }

// Name returns its name in discovery.
func (z *Zone) Name() string { return z.opts.Name }

// Counts returns the counts so far.
func (z *Zone) Counts() ZoneCounts {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.counts
}

// Runs returns how often each unsafe request ran here, by id.
func (z *Zone) Runs() map[string]int {
	z.mu.Lock()
	defer z.mu.Unlock()
	all := make(map[string]int, len(z.runs))
	for id, count := range z.runs {
		all[id] = count
	}
	return all
}

// Drain makes it finish queued and running requests and reject all others.
func (z *Zone) Drain() {
	z.mu.Lock()
	z.draining = true
	z.mu.Unlock()
}

// RecordDrainNotified records when proxies learned that they may send nothing new; DrainGrace runs from
// there.
func (z *Zone) RecordDrainNotified(at time.Time) {
	z.mu.Lock()
	z.drainNotifiedAt = at
	z.mu.Unlock()
}

// RecordFirstDrainNotified is RecordDrainNotified unless a time was recorded before.
func (z *Zone) RecordFirstDrainNotified(at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.drainNotifiedAt.IsZero() {
		z.drainNotifiedAt = at
	}
}

// Pause stalls its work for d, as a stopped process would.
func (z *Zone) Pause(d time.Duration) {
	z.mu.Lock()
	z.pausedUntil = time.Now().Add(d)
	z.mu.Unlock()
}

// Crash ends it as a killed process would: its connections are reset.
func (z *Zone) Crash() { z.shutDown(true) }

// Close ends it and closes its connections.
func (z *Zone) Close() { z.shutDown(false) }

func (z *Zone) shutDown(reset bool) {
	z.mu.Lock()
	z.draining, z.ended = true, true
	for _, w := range z.queue {
		w <- false
	}
	z.queue = nil
	z.mu.Unlock()
	z.listener.Close(reset)
}

// capacity is the fraction of its full capacity at now; z.mu is held or the zone not yet shared.
func (z *Zone) capacity(now time.Time) float64 {
	warmUp := z.opts.WarmUp
	if warmUp.StartFraction <= 0 || warmUp.Duration <= 0 || z.started.IsZero() {
		return 1
	}
	age := now.Sub(z.started).Seconds() / warmUp.Duration.Seconds()
	return min(1, warmUp.StartFraction+(1-warmUp.StartFraction)*max(age, 0))
}

func (z *Zone) serve(c *connbuffer.Conn) {
	z.mu.Lock()
	z.counts.Opened++
	z.mu.Unlock()
	time.Sleep(z.opts.Handshake)
	for {
		c.SetDeadline(time.Now().Add(z.opts.IdleTimeout))
		req, err := http1.ReadRequest(c.In)
		if err != nil {
			return
		}
		c.SetDeadline(time.Time{})
		resp := z.respond(req, time.Now())
		if resp == nil {
			return
		}
		c.SetWriteDeadline(time.Now().Add(z.opts.IdleTimeout))
		if resp.Write(c.Out) != nil || c.Flush() != nil || resp.Close {
			return
		}
	}
}

var (
	liveResponse = &http1.Response{Status: 200}
	notProcessed = &http1.Response{Status: 503, Header: http1.Header{{Name: "X-Not-Processed", Value: "1"}}}
)

// respond serves one request. It returns nil if the server ended meanwhile.
func (z *Zone) respond(req *http1.Request, now time.Time) *http1.Response {
	switch req.Target {
	case "/health/live":
		return liveResponse
	case "/stats":
		return &http1.Response{Status: 200, Body: []byte(z.loadReport())}
	}
	id, class := req.Header.Get("X-Request-ID"), req.Header.Get("X-Priority-Class")
	if id == "" {
		return &http1.Response{Status: 404}
	}
	admitted := z.admit(class, req.Target, now)
	if admitted == nil || admitted.turn != nil && !<-admitted.turn {
		return notProcessed
	}
	z.recordRun(id, class)
	if !z.execute(admitted.work) {
		return nil
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.releaseCore()
	z.counts.Served++
	return &http1.Response{Status: 200, Body: []byte(id + " served by " + z.opts.Name + "\n")}
}

// admission is a request that got a core or a place in the queue.
type admission struct {
	work time.Duration
	turn <-chan bool // nil with a core; else its value tells whether to run the request
}

// admit reserves a core for a request, or a place in the queue. It returns nil where the request is rejected.
func (z *Zone) admit(class, target string, now time.Time) *admission {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.counts.Requests++
	if !z.drainNotifiedAt.IsZero() && now.Sub(z.drainNotifiedAt) > DrainGrace {
		z.counts.AfterDrain++
	}
	work := z.drawWork(class, target, now)
	z.recordArrival(work, now)
	if z.draining || z.running >= z.opts.Cores && len(z.queue) >= z.opts.MaxQueued {
		z.counts.Rejected++
		return nil
	}
	if z.running < z.opts.Cores {
		z.running++
		return &admission{work: work}
	}
	turn := make(chan bool, 1)
	z.queue = append(z.queue, turn)
	return &admission{work: work, turn: turn}
}

// recordRun counts the runs of an unsafe request.
func (z *Zone) recordRun(id, class string) {
	if !strings.HasPrefix(class, UnsafePrefix) {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if _, known := z.runs[id]; !known && len(z.runs) >= maxRemembered {
		return
	}
	if z.runs[id]++; z.runs[id] > 1 {
		z.counts.RanTwice++
	}
}

// releaseCore passes the core on to the longest waiting request; z.mu is held.
func (z *Zone) releaseCore() {
	if len(z.queue) > 0 {
		z.queue[0] <- true
		z.queue = z.queue[1:]
		return
	}
	z.running--
}

// drawWork draws how long a request takes on one core of this server now; z.mu is held.
func (z *Zone) drawWork(class, target string, now time.Time) time.Duration {
	mean, ok := z.opts.Work[class]
	if !ok {
		mean = 10 * time.Millisecond
	}
	work := mean.Seconds() * (1 + z.opts.Spread*(2*z.rng.Float64()-1)) / z.opts.Speed
	if _, key, ok := strings.Cut(target, "key="); ok && z.opts.CachedKeyCost > 0 && z.opts.CachedKeyCost < 1 {
		if last, known := z.lastRequested[key]; known && now.Sub(last) < z.opts.KeyCacheTTL {
			work *= z.opts.CachedKeyCost
		}
		if len(z.lastRequested) >= maxRemembered {
			clear(z.lastRequested)
		}
		z.lastRequested[key] = now
	}
	return time.Duration(work / z.capacity(now) * float64(time.Second))
}

// recordArrival sums the work offered during warm-up. A server offered more than OverloadMultiple of its
// capacity over a window of OverloadAfter is overloaded and drains; z.mu is held.
func (z *Zone) recordArrival(work time.Duration, now time.Time) {
	warmUp := z.opts.WarmUp
	capacity := z.capacity(now)
	if capacity >= 1 || warmUp.OverloadAfter <= 0 {
		return
	}
	if now.Sub(z.overloadWindowStart) > warmUp.OverloadAfter {
		z.overloadWindowStart, z.arrivedWork = now, 0
	}
	z.arrivedWork += work
	// Work is in this server's own time already.
	possible := warmUp.OverloadAfter.Seconds() * float64(z.opts.Cores)
	if z.arrivedWork.Seconds() > warmUp.OverloadMultiple*possible+float64(z.opts.Cores)*work.Seconds() {
		z.counts.Overloaded++
		z.draining = true
		z.overloadWindowStart, z.arrivedWork = now, 0
	}
}

// execute sleeps as long as the work takes, longer while the server is paused. It returns false if the server
// ends first.
func (z *Zone) execute(d time.Duration) bool {
	var included time.Time // the pause that end already includes
	for end := time.Now().Add(d); ; {
		z.mu.Lock()
		if remaining := time.Until(z.pausedUntil); remaining > 0 && !z.pausedUntil.Equal(included) {
			included, end = z.pausedUntil, end.Add(remaining)
		}
		ended := z.ended
		z.mu.Unlock()
		left := time.Until(end)
		if left <= 0 || ended {
			return !ended
		}
		time.Sleep(min(left, 20*time.Millisecond))
	}
}

// loadReport answers a load probe.
func (z *Zone) loadReport() string {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.counts.Probes++
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", z.running+len(z.queue), len(z.queue),
		math.Min(1, float64(z.running)/float64(z.opts.Cores)))
}
