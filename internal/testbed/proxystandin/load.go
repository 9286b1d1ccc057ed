package proxystandin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

// LoadOptions describe the application's requests to one proxy.
type LoadOptions struct {
	Address        string
	Rate           float64 // requests a second on average; Poisson arrivals, open loop
	Classes        []LoadClass
	Tenants        []string
	Keys           int // distinct keys, of Zipf popularity
	MaxConnections int // open at once, 0 for 256; an arrival beyond them counts as NotSent
	Seed           uint64
	IDPrefix       string // of request ids; "" is r
}

// LoadClass is one class of requests.
type LoadClass struct {
	Name          string
	Fraction      float64 // of all requests
	LatencyTarget time.Duration
	Deadline      time.Duration
	Value         float64
	Unsafe        bool // must not run twice; sent as POST
}

// answerSlack is how long after its deadline an answer still counts as given in time.
const answerSlack = 50 * time.Millisecond

// Load is an open-loop load generator: it sends requests at a rate independent of the answers. Latencies
// count from the scheduled arrival, so that a stall isn't hidden by arrivals that waited for it (coordinated
// omission).
type Load struct {
	opts     LoadOptions
	tally    *Tally
	rng      *rand.Rand
	zipf     *rand.Zipf
	inFlight sync.WaitGroup

	mu   sync.Mutex
	idle []*connbuffer.Conn
	open int
}

// NewLoad returns a load that Run starts.
func NewLoad(o LoadOptions) *Load {
	if o.MaxConnections <= 0 {
		o.MaxConnections = 256
	}
	if o.IDPrefix == "" {
		o.IDPrefix = "r"
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0x2545f491))
	return &Load{opts: o, tally: NewTally(), rng: rng, zipf: rand.NewZipf(rng, 1.1, 4, uint64(max(o.Keys, 1)-1))}
}

// Tally returns the outcomes so far.
func (l *Load) Tally() *Tally { return l.tally }

// Run sends until ctx ends, then waits for the requests in flight. It may be called once.
func (l *Load) Run(ctx context.Context) {
	due := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(l.rng.ExpFloat64() / l.opts.Rate * float64(time.Second)))
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			l.inFlight.Wait()
			l.closeIdle()
			return
		case <-timer.C:
		}
		l.tally.recordLag(time.Since(due))
		class := l.drawClass()
		req := l.newRequest(class, n)
		l.inFlight.Add(1)
		go func(due time.Time) { // a copy, as the loop advances its own
			defer l.inFlight.Done()
			l.send(class, req, due)
		}(due)
	}
}

func (l *Load) drawClass() *LoadClass {
	position := l.rng.Float64() // among the cumulated fractions
	for i := range l.opts.Classes {
		class := &l.opts.Classes[i]
		if position -= class.Fraction; position < 0 {
			return class
		}
	}
	return &l.opts.Classes[len(l.opts.Classes)-1]
}

// newRequest draws a request of a class; number makes its id.
func (l *Load) newRequest(class *LoadClass, number int) *http1.Request {
	method := "GET"
	if class.Unsafe {
		method = "POST"
	}
	header := http1.Header{
		{Name: "Host", Value: "backend.local"},
		{Name: "X-Request-ID", Value: l.opts.IDPrefix + "-" + strconv.Itoa(number)},
		{Name: "X-Priority-Class", Value: class.Name},
	}
	if len(l.opts.Tenants) > 0 {
		tenant := l.opts.Tenants[l.rng.IntN(len(l.opts.Tenants))]
		header = append(header, http1.Field{Name: "X-Tenant-Id", Value: tenant})
	}
	target := fmt.Sprintf("/api?key=%016x", l.zipf.Uint64()+1)
	return &http1.Request{Method: method, Target: target, Header: header}
}

// send sends one request and tallies its outcome.
func (l *Load) send(class *LoadClass, req *http1.Request, due time.Time) {
	deadline := due.Add(class.Deadline)
	timeout := strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64)
	req.Header = append(req.Header, http1.Field{Name: "X-Timeout", Value: timeout})
	resp, conn, err := l.exchange(req, deadline.Add(answerSlack))
	outcome := Outcome{Class: class, Latency: time.Since(due), Kind: classify(resp, err)}
	if outcome.Kind == Served {
		body := string(resp.Body)
		outcome.Mismatched = !strings.HasPrefix(body, req.Header.Get("X-Request-ID")+" ")
		_, outcome.Server, _ = strings.Cut(strings.TrimSpace(body), " served by ")
	}
	if conn != nil {
		outcome.ExtraAnswer = conn.In.Buffered() > 0
		l.release(conn, err == nil && !resp.Close && !outcome.ExtraAnswer)
	}
	l.tally.add(outcome)
}

// classify returns the kind of an exchange's outcome; resp is nil exactly if err isn't.
func classify(resp *http1.Response, err error) OutcomeKind {
	switch {
	case errors.Is(err, errNoConnection):
		return NotSent
	case errors.Is(err, os.ErrDeadlineExceeded):
		return NoAnswer
	case errors.Is(err, errNotSent):
		return Unreachable
	case err != nil: // sent, then the connection broke
		return NoAnswer
	case resp.Status == 200:
		return Served
	case resp.Status == 429 || resp.Status == 503:
		return Refused
	}
	return Failed
}

var (
	errNoConnection = errors.New("no connection left")
	errNotSent      = errors.New("the request was not sent")
)

// exchange sends one request and reads its answer. If the peer closed a reused connection while the request
// was in transit, it is sent again on another (RFC 9112, section 9.3.1). The connection is nil if there was
// none.
func (l *Load) exchange(req *http1.Request, deadline time.Time) (*http1.Response, *connbuffer.Conn, error) {
	for {
		conn, reused, err := l.acquire(deadline)
		if err != nil {
			return nil, nil, err
		}
		conn.SetDeadline(deadline)
		if err := sendAndAwait(conn, req); err == nil {
			resp, err := http1.ReadResponse(conn.In)
			return resp, conn, err
		} else if !reused || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, conn, err
		}
		l.release(conn, false)
	}
}

// sendAndAwait sends a request and waits for the first byte of its answer.
func sendAndAwait(conn *connbuffer.Conn, req *http1.Request) error {
	if err := req.Write(conn.Out); err != nil {
		return err
	}
	if err := conn.Flush(); err != nil {
		return err
	}
	_, err := conn.In.Peek(1)
	return err
}

// acquire returns an idle connection or dials a new one.
func (l *Load) acquire(deadline time.Time) (conn *connbuffer.Conn, reused bool, err error) {
	for {
		conn, err := l.takeIdle()
		if err != nil {
			return nil, false, err
		}
		if conn == nil {
			conn, err = l.dial(deadline)
			return conn, false, err
		}
		if conn.Quiet() {
			return conn, true, nil
		}
		l.checkUnsolicited(conn)
		l.release(conn, false)
	}
}

// takeIdle returns the connection that became idle last. Without one it returns nil, and has reserved a place
// for a new connection, or errNoConnection if there is no place left.
func (l *Load) takeIdle() (*connbuffer.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := len(l.idle) - 1; last >= 0 {
		conn := l.idle[last]
		l.idle = l.idle[:last]
		return conn, nil
	}
	if l.open >= l.opts.MaxConnections {
		return nil, errNoConnection
	}
	l.open++
	return nil, nil
}

// dial opens a connection, whose place takeIdle reserved.
func (l *Load) dial(deadline time.Time) (*connbuffer.Conn, error) {
	conn, err := (&net.Dialer{Deadline: deadline, KeepAlive: -1}).Dial("tcp", l.opts.Address)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open--
		return nil, errors.Join(errNotSent, err)
	}
	return connbuffer.NewConn(conn), nil
}

// checkUnsolicited counts an answer to no request on an idle connection that has become readable; it may also
// just have been closed by the peer.
func (l *Load) checkUnsolicited(conn *connbuffer.Conn) {
	conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := conn.In.Peek(1); err == nil {
		l.tally.addExtraAnswer()
	}
}

// release keeps a connection for another request, or closes it.
func (l *Load) release(conn *connbuffer.Conn, reusable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reusable {
		l.idle = append(l.idle, conn)
		return
	}
	l.open--
	conn.Close()
}

func (l *Load) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.idle {
		c.Close()
	}
	l.open -= len(l.idle)
	l.idle = nil
}

// readyPollInterval is how often AwaitReady asks.
const readyPollInterval = 20 * time.Millisecond

// AwaitReady polls /health/ready at address until it answers 200 or ctx ends.
func AwaitReady(ctx context.Context, address string) error {
	for !isReady(ctx, address) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", address, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	// A failed write shows in the read.
	_, _ = io.WriteString(conn, "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	response, err := http1.ReadResponse(connbuffer.NewConn(conn).In)
	return err == nil && response.Status == 200
}
