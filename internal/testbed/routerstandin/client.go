package routerstandin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"cresshub/internal/router/fleetconfig"
)

const (
	// leastTryTime is the time left below which a client does not try again.
	leastTryTime = 20 * time.Millisecond
	// failurePause is how long a client waits after a failure that names no time.
	failurePause = 30 * time.Millisecond
	// retryAfterPart of the time left is the longest that a client waits as told.
	retryAfterPart = 3
)

// Client sends requests as the program of one user does.
type Client struct {
	Number    int
	Zone      string
	Keeps     bool // it keeps connections for further requests
	Impatient bool // it tries again at once and more often

	entry        *Entry
	observations *Observations

	mu   sync.Mutex
	idle []*clientConn // the last used at the end
}

// NewClient returns a client of a zone.
func NewClient(number int, zone string, entry *Entry, observations *Observations) *Client {
	return &Client{Number: number, Zone: zone, Keeps: true, entry: entry, observations: observations}
}

// Outcome is what has become of a request, all its tries together.
type Outcome int

// The outcomes of a request.
const (
	Served      Outcome = iota
	Turned              // it was refused at last, and has not run
	Failed              // anything else
	Interrupted         // the trial ended before the request did
)

// Result is the end of a request.
type Result struct {
	Kind    *Kind
	Outcome Outcome
	Latency time.Duration // from the first try to the answer, of a stream to its first event
	InTime  bool          // served within the aim and without a longer pause than the aim for pauses
	Tries   int
	Reason  string // why it was not served: the last answer, or what came in its place
}

// asking is a request on its way through its tries.
type asking struct {
	client  *Client
	request *Request
	began   time.Time
	until   time.Time
	tries   int
	fixed   *Proxy // where all tries go, nil for the entry's choice
	stream  streamCheck
	latency time.Duration
}

// ending is how one try ended.
type ending struct {
	status     int // 0 for none
	served     bool
	reason     string // why it was not served
	unread     bool   // the proxy has not read the request
	retryAfter time.Duration
}

// Do sends a request until it is served or nothing more may be tried.
func (c *Client) Do(ctx context.Context, r *Request) Result {
	a := &asking{client: c, request: r, began: time.Now()}
	a.until = a.began.Add(r.Kind.Deadline)
	for {
		end := a.attempt(ctx)
		if ctx.Err() != nil && !end.served {
			return Result{Kind: r.Kind, Outcome: Interrupted}
		}
		if !a.mayRetry(end) || !sleepFor(ctx, a.pause(end)) {
			return a.result(end)
		}
	}
}

// Probe sends a request once to a proxy, and returns the status of the answer, 0 for none.
func (c *Client) Probe(ctx context.Context, proxy Proxy, r *Request) int {
	a := &asking{client: c, request: r, began: time.Now(), fixed: &proxy}
	a.until = a.began.Add(r.Kind.Deadline)
	return a.attempt(ctx).status
}

func (a *asking) left() time.Duration { return time.Until(a.until) }

// mayRetry tells whether the request may be tried once more.
func (a *asking) mayRetry(end ending) bool {
	most := a.request.Kind.Retries
	if a.client.Impatient {
		most += 2
	}
	if end.served || a.tries > most || a.left() < leastTryTime {
		return false
	}
	switch {
	case end.status == 400 || end.status == 401 || end.status == 404 || end.status == 413 || end.status == 431:
		return false
	case promisesNoRun(end.status) || end.unread:
		return true
	}
	return a.request.Kind.idempotent()
}

// pause is how long the client waits before its next try.
func (a *asking) pause(end ending) time.Duration {
	switch {
	case a.client.Impatient:
		return 0
	case end.retryAfter > 0:
		return min(end.retryAfter, a.left()/retryAfterPart)
	}
	return failurePause
}

func (a *asking) result(end ending) Result {
	kind := a.request.Kind
	r := Result{Kind: kind, Outcome: Failed, Latency: a.latency, Tries: a.tries, Reason: end.reason}
	switch {
	case end.served:
		r.Outcome = Served
		r.InTime = a.latency <= kind.Aim && (kind.Gap == 0 || a.stream.longest <= kind.Gap)
	case promisesNoRun(end.status):
		r.Outcome = Turned
	}
	return r
}

// attempt makes one try.
func (a *asking) attempt(ctx context.Context) ending {
	a.tries++
	conn, err := a.connect(ctx)
	if err != nil {
		return ending{unread: true, reason: "no connection"}
	}
	t := &try{id: newTryID(), request: a.request, resumeAt: a.stream.last, machine: conn.machine, until: a.until,
		probe: a.fixed != nil, kept: conn.used}
	a.client.observations.sending(t)
	stopWatching := context.AfterFunc(ctx, func() { conn.SetDeadline(longAgo) })
	defer stopWatching()
	return a.exchange(ctx, conn, t)
}

// connect returns a connection that the client keeps, or a new one; further tries always open one.
func (a *asking) connect(ctx context.Context) (*clientConn, error) {
	if a.fixed != nil {
		return dialProxy(ctx, *a.fixed)
	}
	if a.tries == 1 {
		if conn := a.client.takeIdle(); conn != nil {
			return conn, nil
		}
	}
	proxy := a.client.entry.Choose(a.client.Zone, a.client.Number, a.tries-1)
	return dialProxy(ctx, proxy)
}

func newTryID() string {
	var random [8]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// retryAfterOf reads Retry-After: seconds, fractions included.
func retryAfterOf(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// silence is how long a client of a kind waits for the next event.
func (k *Kind) silence() time.Duration {
	const least, aims, gaps = 2 * time.Second, 4, 8
	if k.Class != fleetconfig.Stream {
		return k.Deadline
	}
	return max(least, aims*k.Aim, gaps*k.Gap)
}
