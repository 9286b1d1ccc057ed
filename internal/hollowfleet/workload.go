package hollowfleet

import (
	"container/heap"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"cresshub/internal/front"
	"cresshub/internal/node"
	"cresshub/internal/pairing"
)

const (
	// readingTime and writingTime are how long a request is under way at a reading and at a writing server: the
	// planned 437 tokens of an answer, at some 20 ms each.
	readingTime = 300 * time.Millisecond
	writingTime = 9 * time.Second
)

// phase is a part of a request that ends at a time.
type phase struct {
	end     time.Time
	server  int
	reading bool
}

// phases is a heap of phases; it implements heap.Interface.
type phases []phase

func (p phases) Len() int           { return len(p) }
func (p phases) Less(i, j int) bool { return p[i].end.Before(p[j].end) }
func (p phases) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *phases) Push(x any)        { *p = append(*p, x.(phase)) }
func (p *phases) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// load is what a proxy has under way at one server.
type load struct {
	calls, reading int
	changed        bool
}

// workload is the made-up work of one proxy: requests come at random, are read at one server and then written
// at another. It is brought up to date whenever it is looked at, so that it costs little by itself.
type workload struct {
	servers  int
	services int
	rate     float64 // requests a second

	mu     sync.Mutex
	random *rand.Rand
	next   time.Time // of the next request
	active phases
	loads  map[int]*load
}

var _ node.Workload = (*workload)(nil)

func newWorkload(plan *Plan, seed int64) *workload {
	w := &workload{servers: plan.Servers, services: plan.Services,
		rate:   plan.Requests / float64(plan.Proxies),
		random: rand.New(rand.NewSource(seed)), next: time.Now(), loads: map[int]*load{}}
	w.draw()
	return w
}

// draw sets when the next request comes.
func (w *workload) draw() {
	if w.rate <= 0 || w.servers == 0 {
		w.next = time.Now().Add(time.Hour)
		return
	}
	w.next = w.next.Add(time.Duration(w.random.ExpFloat64() / w.rate * float64(time.Second)))
}

// advance lets begin and end what is due; the lock is held.
func (w *workload) advance(now time.Time) {
	for w.next.Before(now) {
		w.begin(phase{w.next.Add(readingTime), w.random.Intn(w.servers), true})
		w.draw()
	}
	for len(w.active) > 0 && w.active[0].end.Before(now) {
		done := heap.Pop(&w.active).(phase)
		w.count(done, -1)
		if done.reading {
			w.begin(phase{done.end.Add(writingTime), w.random.Intn(w.servers), false})
		}
	}
}

func (w *workload) begin(p phase) {
	heap.Push(&w.active, p)
	w.count(p, 1)
}

func (w *workload) count(p phase, change int) {
	l := w.loads[p.server]
	if l == nil {
		l = &load{}
		w.loads[p.server] = l
	}
	l.changed = true
	l.calls += change
	if p.reading {
		l.reading += change
	}
}

// WorkChanged implements node.Workload; the node looks by itself every few milliseconds.
func (w *workload) WorkChanged() <-chan struct{} { return nil }

// WorkChanges implements node.Workload.
func (w *workload) WorkChanges(all bool) []pairing.Contribution {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	var changes []pairing.Contribution
	for server, l := range w.loads {
		if l.changed || all && l.calls > 0 {
			reading := time.Duration(l.reading) * readingTime
			changes = append(changes,
				pairing.Contribution{Server: serverID(server, 0), Reading: reading, Calls: l.calls})
			l.changed = false
		}
		if l.calls == 0 {
			delete(w.loads, server)
		}
	}
	return changes
}

// ShareWork implements node.Workload; nothing is chosen by what the others have.
func (w *workload) ShareWork([]pairing.Contribution, bool, []pairing.NewPrompts) {}

// NewPrompts implements node.Workload; hollow prompts share nothing.
func (w *workload) NewPrompts() []pairing.NewPrompts { return nil }

// SinceAnswer implements node.Workload.
func (w *workload) SinceAnswer(string) (time.Duration, bool) { return 0, false }

// KnownPrompts implements node.Workload.
func (w *workload) KnownPrompts() []pairing.NewPrompts { return nil }

// CatchUp implements node.Workload.
func (w *workload) CatchUp([]pairing.NewPrompts) {}

// Demands implements node.Workload.
func (w *workload) Demands() []front.Demand {
	w.mu.Lock()
	defer w.mu.Unlock()
	demands := make([]front.Demand, w.services)
	for i := range demands {
		demands[i] = front.Demand{Service: serviceName(i), Known: true}
	}
	for server, l := range w.loads {
		demand := &demands[server%w.services]
		demand.Reading += float64(l.reading)
		demand.Writing += float64(l.calls - l.reading)
	}
	return demands
}

func serviceName(service int) string { return fmt.Sprintf("model-%02d", service) }

// serverID returns the id of a run of a server.
func serverID(server, run int) string { return fmt.Sprintf("i-%06x%02x", server, run) }

func tenantName(tenant int) string { return fmt.Sprintf("tenant-%05d", tenant) }
