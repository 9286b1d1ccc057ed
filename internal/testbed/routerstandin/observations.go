package routerstandin

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
)

// Bounds are the figures that the rules are judged by.
type Bounds struct {
	agentsettings.Bounds
	Back    time.Duration // after a version's effect was seen, an older one must not be met at that machine
	Recover time.Duration // after all processes are back, requests must be served
}

// Observations is what all stand-ins of a trial have seen. Its methods are safe for concurrent use.
type Observations struct {
	bounds Bounds

	mu       sync.Mutex
	verdicts verdicts
	tries    map[string]*try
	inOrder  []*try
	runs     []*run              // a run's number is its place plus one
	handles  map[string]string   // the try that owns each handle
	configs  []*configVersion    // in the order in which they were sent
	effects  map[string]effect   // by machine
	orders   map[string]lastSeen // by server
	troubles []trouble
	leaving  int // servers that said in a calm time that they leave
	unheard  int // those of them that were not acknowledged
	denied   int
	keptLost int       // tries of kept connections that ended without an answer though a sound server had them
	backAt   time.Time // when all processes were back after the loss of all
	judged   bool
}

// NewObservations returns Observations of nothing.
func NewObservations(bounds Bounds) *Observations {
	return &Observations{
		bounds: bounds, verdicts: newVerdicts(), tries: map[string]*try{}, handles: map[string]string{},
		effects: map[string]effect{}, orders: map[string]lastSeen{},
	}
}

// Broken notes a break that a caller has seen itself.
func (o *Observations) Broken(rule Rule, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdicts.broken(rule, format, args...)
}

// try is one request as one client sent it once.
type try struct {
	id       string
	request  *Request
	resumeAt int    // Last-Event-Id, 0 for none
	machine  string // IP of the proxy that took it
	probe    bool   // it only shows which configuration is in force
	kept     bool   // it came on a connection that had carried another one before
	sent     time.Time
	lastByte time.Time // when all of it had been handed to the system
	until    time.Time // when its client gives up
	arrivals []*arrival
	runs     []*run
	broken   bool // a server broke off while at work on it

	status int // of the answer, 0 for none
	served bool
	ended  time.Time // when the answer was whole, or the connection ended
	cut    bool      // the connection ended without a complete answer
}

// arrival is a call of the router that reached a server, other than a health check or one to a handle.
type arrival struct {
	try     *try
	server  string
	service string
	at      time.Time
	free    bool // it only had the prompt read, and was the first of the try to be taken up
}

// run is the work of a server on a try.
type run struct {
	number  int
	try     *try
	server  string
	first   int // id of its first event in a stream
	stamp   string
	body    string // of an answer that is no stream
	isEvent bool   // it answers with a stream
}

// sending notes that a client is about to send a try.
func (o *Observations) sending(t *try) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.sent = time.Now()
	o.tries[t.id] = t
	o.inOrder = append(o.inOrder, t)
}

// sentWhole notes that all of a try was handed to the system.
func (o *Observations) sentWhole(t *try) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.lastByte = time.Now()
}

// arrived notes that a server got a request, and checks that it is what a client sent. It returns nil where
// no client sent such a request.
func (o *Observations) arrived(at *Server, q *http1.Request) *arrival {
	leftSince, heardBy := at.leftSince()
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tries[q.Header.Get(tryIDHeader)]
	if t == nil {
		o.verdicts.broken(Unasked, "server %s got id %q, which no client sent", at.ID(), q.Header.Get(tryIDHeader))
		return nil
	}
	o.checkUnchanged(t, q)
	a := &arrival{try: t, server: at.ID(), service: at.options.Service, at: time.Now()}
	t.arrivals = append(t.arrivals, a)
	late := !leftSince.IsZero() && a.at.Sub(leftSince) > o.bounds.Drain
	// The acknowledgement binds all machines in touch, also where the one that gave it was not.
	if late && o.inTouch(t.machine, t.sent, a.at) {
		o.verdicts.broken(Drain, "try %s from %s reached server %s %v after its departure was acknowledged by %s",
			t.id, t.machine, at.ID(), a.at.Sub(leftSince).Round(time.Millisecond), heardBy)
	}
	return a
}

func (o *Observations) checkUnchanged(t *try, q *http1.Request) {
	r := t.request
	if q.Method != r.Method || q.Target != r.Target || !bytes.Equal(q.Body, r.Body) {
		o.verdicts.broken(Unasked, "try %s reached a server changed: %s %s with %d bytes", t.id, q.Method, q.Target,
			len(q.Body))
	}
	resumed, _ := strconv.Atoi(q.Header.Get(lastEventHeader))
	if resumed < t.resumeAt || resumed != t.resumeAt && !r.Kind.idempotent() {
		o.verdicts.broken(Order, "try %s reached a server with Last-Event-Id %d", t.id, resumed)
	}
}

// startReading notes that a server has taken up a call that only has the prompt read.
func (o *Observations) startReading(a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, other := range a.try.arrivals {
		if other.free {
			return
		}
	}
	a.free = true
	o.judgeService(a.try, a.service, time.Now())
}

// startRun notes that a server has begun work on a try; first is the id of the first event of a stream.
func (o *Observations) startRun(a *arrival, first int, isStream bool) *run {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := a.try
	r := &run{number: len(o.runs) + 1, try: t, server: a.server, first: first, isEvent: isStream}
	r.stamp = a.server + "." + strconv.Itoa(r.number)
	if !isStream {
		r.body = bodyOf(r, t.request.Kind.BodyBytes)
	}
	o.runs = append(o.runs, r)
	t.runs = append(t.runs, r)
	if len(t.runs) > 1 && !t.request.Kind.idempotent() {
		o.verdicts.broken(Twice, "try %s of kind %s ran at %s and then at %s", t.id, t.request.Kind.Name,
			t.runs[0].server, a.server)
	}
	o.judgeService(t, a.service, time.Now())
	return r
}

// brokeOff notes that a server left a run unfinished.
func (o *Observations) brokeOff(a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.try.broken = true
}

// answered notes the end of a try with a whole answer.
func (o *Observations) answered(t *try, status int, ownAnswer, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.status, t.served, t.ended = status, served, time.Now()
	if ownAnswer {
		o.judgeRefusal(t)
	}
}

// cutOff notes that a try ended without a whole answer.
func (o *Observations) cutOff(t *try) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t.cut, t.ended = true, time.Now()
}

// seenBy tells whether some server got a try.
func (o *Observations) seenBy(t *try) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(t.arrivals) > 0
}

// newHandle notes that a server holds memory for a try.
func (o *Observations) newHandle(handle string, a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handles[handle] = a.try.id
}

// tookHandle notes that a server goes on from memory for a try.
func (o *Observations) tookHandle(handle string, a *arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner := o.handles[handle]; owner != a.try.id {
		o.verdicts.broken(Mixed, "try %s goes on at %s from the memory of try %s", a.try.id, a.server, owner)
	}
}

// runOf returns the run that a stamp names, nil where there is none.
func (o *Observations) runOf(stamp string) *run {
	o.mu.Lock()
	defer o.mu.Unlock()
	number, err := strconv.Atoi(stamp[strings.LastIndexByte(stamp, '.')+1:])
	if err != nil || number < 1 || number > len(o.runs) || o.runs[number-1].stamp != stamp {
		return nil
	}
	return o.runs[number-1]
}
