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
	Name        string
	Listen      string                   // host:port; port 0 lets the system choose
	Cores       int                      // requests worked on at once
	Speed       float64                  // yardstick 1
	Waiting     int                      // places to wait in; beyond them requests are turned away unseen
	Connections int                      // open at once; 0 is any number
	Handshake   time.Duration            // work that a new connection costs
	Work        map[string]time.Duration // mean work of a request by class, on a core of speed 1
	Spread      float64                  // work varies from 1-Spread to 1+Spread times the mean
	WarmFor     time.Duration            // a key met within this time ...
	WarmPart    float64                  // ... costs this part of the work; 0 or 1 for no difference
	Cold        Cold
	Seed        uint64
	Idle        time.Duration // a connection that rests for so long is closed; 0 is 5 s
}

// Cold is how a server that has just started behaves.
type Cold struct {
	Start    float64       // part of its capacity at the start; 0 is warm at once
	Warm     time.Duration // full capacity after this
	Multiple float64       // sent more than this multiple of its capacity ...
	After    time.Duration // ... for so long, it falls over
}

// Zone is a zone server: HTTP/1.1 as the protocol has it, work done by waiting.
type Zone struct {
	o  ZoneOptions
	l  *Listener
	mu sync.Mutex
	zoneState
}

// zoneState is guarded by the zone's lock.
type zoneState struct {
	rng      *rand.Rand
	started  time.Time // of this process; zero is long ago
	working  int
	waiting  []chan bool // true: go on; false: turned away
	paused   time.Time   // works on nothing until then
	draining bool
	ended    bool
	told     time.Time            // when its drain or end was told to the proxies
	met      map[string]time.Time // keys
	window   time.Time            // in which arrivals of a cold server are summed up
	arrived  time.Duration        // work in it
	counts   ZoneCounts
	ran      map[string]int // by id, how often an unsafe request ran
}

// ZoneCounts are what a zone server saw.
type ZoneCounts struct {
	Requests   int `json:"requests"`    // received whole
	Served     int `json:"served"`      // answered 200
	TurnedAway int `json:"turned_away"` // never ran
	Probes     int `json:"probes"`
	Opened     int `json:"opened"`      // connections
	RanTwice   int `json:"ran_twice"`   // unsafe requests that ran before, here
	AfterDrain int `json:"after_drain"` // received later than the grace after the drain was told
	FellOver   int `json:"fell_over"`   // times it was pushed over while cold
}

// maxRemembered bounds the ids and keys that a server remembers.
const maxRemembered = 1 << 17

// StartZone starts a zone server. since is its start as discovery tells it, zero for long ago.
func StartZone(o ZoneOptions, since time.Time) (*Zone, error) {
	if o.Cores <= 0 || o.Speed <= 0 || o.Waiting < 0 || o.Spread < 0 || o.Spread > 1 {
		return nil, fmt.Errorf("zone %s: cores and speed must be above 0, waiting not below, spread 0 to 1", o.Name)
	}
	if o.Idle <= 0 {
		o.Idle = 5 * time.Second
	}
	z := &Zone{o: o, zoneState: zoneState{
		rng: rand.New(rand.NewPCG(o.Seed, 0x5bd1e995)), started: since, met: map[string]time.Time{},
		ran: map[string]int{},
	}}
	var err error
	z.l, err = Listen(o.Listen, o.Connections, z.serve)
	return z, err
}

// Address is where it listens.
func (z *Zone) Address() string { return z.l.Address() }

// Name is what it is called.
func (z *Zone) Name() string { return z.o.Name }

// Started is when its process started; zero is long ago.
func (z *Zone) Started() time.Time { return z.started }

// Counts returns what it saw so far.
func (z *Zone) Counts() ZoneCounts {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.counts
}

// Ran returns how often each unsafe request ran here, by id.
func (z *Zone) Ran() map[string]int {
	z.mu.Lock()
	defer z.mu.Unlock()
	all := make(map[string]int, len(z.ran))
	for id, n := range z.ran {
		all[id] = n
	}
	return all
}

// Drain has it finish what it holds and turn all else away.
func (z *Zone) Drain() {
	z.mu.Lock()
	z.draining = true
	z.mu.Unlock()
}

// Told notes when the proxies were told that nothing new may reach it.
func (z *Zone) Told(at time.Time) {
	z.mu.Lock()
	z.told = at
	z.mu.Unlock()
}

// ToldFirst is Told unless an earlier time was noted.
func (z *Zone) ToldFirst(at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.told.IsZero() {
		z.told = at
	}
}

// Pause has it stand still.
func (z *Zone) Pause(d time.Duration) {
	z.mu.Lock()
	z.paused = time.Now().Add(d)
	z.mu.Unlock()
}

// Crash ends it as a process that dies: its connections are reset.
func (z *Zone) Crash() { z.end(true) }

// Close ends it.
func (z *Zone) Close() { z.end(false) }

func (z *Zone) end(reset bool) {
	z.mu.Lock()
	z.draining, z.ended = true, true
	for _, w := range z.waiting {
		w <- false
	}
	z.waiting = nil
	z.mu.Unlock()
	z.l.Close(reset)
}

// capacity is the part of its full capacity that it has now.
func (z *Zone) capacity(now time.Time) float64 {
	c := z.o.Cold
	if c.Start <= 0 || c.Warm <= 0 || z.started.IsZero() {
		return 1
	}
	age := now.Sub(z.started).Seconds() / c.Warm.Seconds()
	return min(1, c.Start+(1-c.Start)*max(age, 0))
}

func (z *Zone) serve(c *connbuffer.Conn) {
	z.mu.Lock()
	z.counts.Opened++
	z.mu.Unlock()
	time.Sleep(z.o.Handshake)
	for {
		c.SetDeadline(time.Now().Add(z.o.Idle))
		q, err := http1.ReadRequest(c.In)
		if err != nil {
			return
		}
		c.SetDeadline(time.Time{})
		a := z.answer(q, time.Now())
		if a == nil {
			return
		}
		c.SetWriteDeadline(time.Now().Add(z.o.Idle))
		if a.Write(c.Out) != nil || c.Flush() != nil || a.Close {
			return
		}
	}
}

var (
	liveAnswer = &http1.Response{Status: 200}
	notRun     = &http1.Response{Status: 503, Header: http1.Header{{Name: "X-Not-Processed", Value: "1"}}}
)

// answer serves one request; nil where the server ended meanwhile.
func (z *Zone) answer(q *http1.Request, now time.Time) *http1.Response {
	switch q.Target {
	case "/health/live":
		return liveAnswer
	case "/stats":
		return &http1.Response{Status: 200, Body: []byte(z.report(now))}
	}
	id, class := q.Header.Get("X-Request-ID"), q.Header.Get("X-Priority-Class")
	if id == "" {
		return &http1.Response{Status: 404}
	}
	work, turn, ok := z.admit(id, class, q.Target, now)
	if !ok {
		return notRun
	}
	if turn != nil && !<-turn {
		return notRun
	}
	z.begin(id, class)
	if !z.work(work) {
		return nil
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.leave()
	z.counts.Served++
	return &http1.Response{Status: 200, Body: []byte(id + " served by " + z.o.Name + "\n")}
}

// admit takes a request in: at once, or after its turn has come.
func (z *Zone) admit(id, class, target string, now time.Time) (work time.Duration, turn chan bool, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.counts.Requests++
	if !z.told.IsZero() && now.Sub(z.told) > DrainGrace {
		z.counts.AfterDrain++
	}
	work = z.draw(class, target, now)
	z.push(work, now)
	if z.draining || z.working >= z.o.Cores && len(z.waiting) >= z.o.Waiting {
		z.counts.TurnedAway++
		return 0, nil, false
	}
	if z.working < z.o.Cores {
		z.working++
		return work, nil, true
	}
	turn = make(chan bool, 1)
	z.waiting = append(z.waiting, turn)
	return work, turn, true
}

// begin notes that an unsafe request runs.
func (z *Zone) begin(id, class string) {
	if !strings.HasPrefix(class, UnsafePrefix) {
		return
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if _, known := z.ran[id]; !known && len(z.ran) >= maxRemembered {
		return
	}
	if z.ran[id]++; z.ran[id] > 1 {
		z.counts.RanTwice++
	}
}

// leave gives the core to whoever has waited longest.
func (z *Zone) leave() {
	if len(z.waiting) > 0 {
		z.waiting[0] <- true
		z.waiting = z.waiting[1:]
		return
	}
	z.working--
}

// draw is how long a request takes on one core of this server.
func (z *Zone) draw(class, target string, now time.Time) time.Duration {
	mean, ok := z.o.Work[class]
	if !ok {
		mean = 10 * time.Millisecond
	}
	work := mean.Seconds() * (1 + z.o.Spread*(2*z.rng.Float64()-1)) / z.o.Speed
	if _, key, has := strings.Cut(target, "key="); has && z.o.WarmPart > 0 && z.o.WarmPart < 1 {
		if last, met := z.met[key]; met && now.Sub(last) < z.o.WarmFor {
			work *= z.o.WarmPart
		}
		if len(z.met) >= maxRemembered {
			clear(z.met)
		}
		z.met[key] = now
	}
	return time.Duration(work / z.capacity(now) * float64(time.Second))
}

// push sums up what reaches a cold server; held beyond what it can do for too long, it falls over.
func (z *Zone) push(work time.Duration, now time.Time) {
	c := z.o.Cold
	capacity := z.capacity(now)
	if capacity >= 1 || c.After <= 0 {
		return
	}
	if now.Sub(z.window) > c.After {
		z.window, z.arrived = now, 0
	}
	z.arrived += work
	can := c.After.Seconds() * float64(z.o.Cores) // work is in this server's own time already
	if z.arrived.Seconds() > c.Multiple*can+float64(z.o.Cores)*work.Seconds() {
		z.counts.FellOver++
		z.draining = true
		z.window, z.arrived = now, 0
	}
}

// work waits as long as the work takes, longer while the server stands still, and not beyond its end;
// then it returns false.
func (z *Zone) work(d time.Duration) bool {
	var paused time.Time // the pause that end has in it
	for end := time.Now().Add(d); ; {
		z.mu.Lock()
		if still := time.Until(z.paused); still > 0 && !z.paused.Equal(paused) {
			paused, end = z.paused, end.Add(still)
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

// report is the load report that probes get.
func (z *Zone) report(now time.Time) string {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.counts.Probes++
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", z.working+len(z.waiting), len(z.waiting),
		math.Min(1, float64(z.working)/float64(z.o.Cores)))
}
