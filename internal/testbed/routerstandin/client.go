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
	// minAttemptTime is the time left below which a client does not retry.
	minAttemptTime = 20 * time.Millisecond
	// failureBackoff is how long a client waits after a failure without Retry-After.
	failureBackoff = 30 * time.Millisecond
	// retryAfterDivisor: a client waits for Retry-After, but at most this fraction of the time left.
	retryAfterDivisor = 3
)

// Client sends requests as the program of one user does.
type Client struct {
	Number     int
	Zone       string
	KeepsConns bool // it reuses connections
	Impatient  bool // it retries without backoff and more often

	entry        *Entry
	observations *Observations

	mu   sync.Mutex
	idle []*clientConn // the last used at the end
}

// NewClient returns a client of a zone.
func NewClient(number int, zone string, entry *Entry, observations *Observations) *Client {
	return &Client{Number: number, Zone: zone, KeepsConns: true, entry: entry, observations: observations}
}

// Outcome is what has become of a request, all its attempts together.
type Outcome int

// The outcomes of a request.
const (
	Served      Outcome = iota
	Rejected            // the last answer was a rejection, and it has not run
	Failed              // anything else
	Interrupted         // the trial ended before the request did
)

// Result is the end of a request.
type Result struct {
	Kind     *Kind
	Outcome  Outcome
	Latency  time.Duration // from the first attempt to the answer, of a stream to its first event
	InTime   bool          // served within the latency target, without a gap above the gap target
	Attempts int
	Reason   string // why it was not served: the last answer, or the lack of one
}

// pendingRequest is a request between its first attempt and its outcome.
type pendingRequest struct {
	client   *Client
	request  *Request
	began    time.Time
	deadline time.Time
	attempts int
	proxy    *Proxy // where all attempts go, nil for the entry's choice
	stream   streamCheck
	latency  time.Duration
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	status     int // 0 for none
	served     bool
	reason     string // why it was not served
	unread     bool   // the proxy has not read the request
	retryAfter time.Duration
}

// Do sends a request until it is served or nothing more may be attempted.
func (c *Client) Do(ctx context.Context, r *Request) Result {
	p := &pendingRequest{client: c, request: r, began: time.Now()}
	p.deadline = p.began.Add(r.Kind.Deadline)
	for {
		last := p.sendOnce(ctx)
		if ctx.Err() != nil && !last.served {
			return Result{Kind: r.Kind, Outcome: Interrupted}
		}
		if !p.mayRetry(last) || !Sleep(ctx, p.backoff(last)) {
			return p.result(last)
		}
	}
}

// Probe sends a request once to a proxy, and returns the status of the answer, 0 for none.
func (c *Client) Probe(ctx context.Context, proxy Proxy, r *Request) int {
	p := &pendingRequest{client: c, request: r, began: time.Now(), proxy: &proxy}
	p.deadline = p.began.Add(r.Kind.Deadline)
	return p.sendOnce(ctx).status
}

func (p *pendingRequest) timeLeft() time.Duration { return time.Until(p.deadline) }

// mayRetry reports whether the request may be retried.
func (p *pendingRequest) mayRetry(last attemptResult) bool {
	maxRetries := p.request.Kind.Retries
	if p.client.Impatient {
		maxRetries += 2
	}
	if last.served || p.attempts > maxRetries || p.timeLeft() < minAttemptTime {
		return false
	}
	switch {
	case last.status == 400 || last.status == 401 || last.status == 404 || last.status == 413 ||
		last.status == 431:
		return false
	case guaranteesNotRun(last.status) || last.unread:
		return true
	}
	return p.request.Kind.idempotent()
}

// backoff is how long the client waits before its next attempt.
func (p *pendingRequest) backoff(last attemptResult) time.Duration {
	switch {
	case p.client.Impatient:
		return 0
	case last.retryAfter > 0:
		return min(last.retryAfter, p.timeLeft()/retryAfterDivisor)
	}
	return failureBackoff
}

func (p *pendingRequest) result(last attemptResult) Result {
	kind := p.request.Kind
	r := Result{Kind: kind, Outcome: Failed, Latency: p.latency, Attempts: p.attempts, Reason: last.reason}
	switch {
	case last.served:
		r.Outcome = Served
		r.InTime = p.latency <= kind.LatencyTarget && (kind.GapTarget == 0 || p.stream.longestGap <= kind.GapTarget)
	case guaranteesNotRun(last.status):
		r.Outcome = Rejected
	}
	return r
}

// sendOnce makes one attempt.
func (p *pendingRequest) sendOnce(ctx context.Context) attemptResult {
	p.attempts++
	conn, err := p.connect(ctx)
	if err != nil {
		return attemptResult{unread: true, reason: "no connection"}
	}
	attempt := &attempt{id: newAttemptID(), request: p.request, resumeAfter: p.stream.lastToken,
		machine: conn.machine, deadline: p.deadline, probe: p.proxy != nil, reusedConn: conn.used}
	p.client.observations.recordAttempt(attempt)
	stopWatching := context.AfterFunc(ctx, func() { conn.SetDeadline(longAgo) })
	defer stopWatching()
	return p.roundTrip(ctx, conn, attempt)
}

// connect returns an idle connection or a new one; retries always open a new one.
func (p *pendingRequest) connect(ctx context.Context) (*clientConn, error) {
	if p.proxy != nil {
		return dialProxy(ctx, p.client.observations.stallClock(), *p.proxy)
	}
	if p.attempts == 1 {
		if conn := p.client.takeIdle(); conn != nil {
			return conn, nil
		}
	}
	proxy := p.client.entry.Choose(p.client.Zone, p.client.Number, p.attempts-1)
	return dialProxy(ctx, p.client.observations.stallClock(), proxy)
}

func newAttemptID() string {
	var random [8]byte
	rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// retryAfterOf parses Retry-After: seconds, fractions included; 0 where it is malformed.
func retryAfterOf(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// eventTimeout is how long a client waits for the next event of a stream, and for any other answer.
func (k *Kind) eventTimeout() time.Duration {
	const minWait, targets, gaps = 2 * time.Second, 4, 8
	if k.Class != fleetconfig.Stream {
		return k.Deadline
	}
	return max(minWait, targets*k.LatencyTarget, gaps*k.GapTarget)
}
