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

// LoadOptions describe the application's requests.
type LoadOptions struct {
	Address        string
	Rate           float64 // requests a second, on average; arrivals are Poisson and wait for nothing
	Classes        []LoadClass
	Tenants        []string
	Keys           int // distinct keys, a few far more popular than the rest
	MaxConnections int // connections at once; an arrival beyond them fails here and is told apart
	Seed           uint64
	IDPrefix       string // what ids begin with
}

// LoadClass is one class of requests.
type LoadClass struct {
	Name          string
	Fraction      float64 // of the requests
	LatencyTarget time.Duration
	Deadline      time.Duration
	Value         float64
	Unsafe        bool // must not run twice: POST
}

// answerSlack is how long after its deadline an answer still counts as given in time.
const answerSlack = 50 * time.Millisecond

// Load sends requests at a rate whatever becomes of them, and counts what does. Times are taken from when
// a request was due, so that a stall is not hidden by arrivals that waited for it.
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

// NewLoad returns a load that sends nothing yet.
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

// Tally is what has become of the requests so far.
func (l *Load) Tally() *Tally { return l.tally }

// Run sends until ctx ends, then waits for what is out.
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
		go func(due time.Time) { // the loop goes on with its own
			defer l.inFlight.Done()
			l.send(class, req, due)
		}(due)
	}
}

func (l *Load) drawClass() *LoadClass {
	x := l.rng.Float64()
	for i := range l.opts.Classes {
		if x -= l.opts.Classes[i].Fraction; x < 0 {
			return &l.opts.Classes[i]
		}
	}
	return &l.opts.Classes[len(l.opts.Classes)-1]
}

func (l *Load) newRequest(c *LoadClass, n int) *http1.Request {
	method := "GET"
	if c.Unsafe {
		method = "POST"
	}
	h := http1.Header{
		{Name: "Host", Value: "backend.local"},
		{Name: "X-Request-ID", Value: l.opts.IDPrefix + "-" + strconv.Itoa(n)},
		{Name: "X-Priority-Class", Value: c.Name},
	}
	if len(l.opts.Tenants) > 0 {
		h = append(h, http1.Field{Name: "X-Tenant-Id", Value: l.opts.Tenants[l.rng.IntN(len(l.opts.Tenants))]})
	}
	return &http1.Request{Method: method, Target: fmt.Sprintf("/api?key=%016x", l.zipf.Uint64()+1), Header: h}
}

// send sends a request and counts what comes of it.
func (l *Load) send(class *LoadClass, req *http1.Request, due time.Time) {
	deadline := due.Add(class.Deadline)
	timeout := strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64)
	req.Header = append(req.Header, http1.Field{Name: "X-Timeout", Value: timeout})
	resp, c, err := l.exchange(req, deadline.Add(answerSlack))
	took := time.Since(due)
	id := req.Header.Get("X-Request-ID")
	outcome := Outcome{Class: class, Latency: took}
	switch {
	case errors.Is(err, errNoConnection):
		outcome.Kind = NotSent
	case errors.Is(err, os.ErrDeadlineExceeded):
		outcome.Kind = NoAnswer
	case err != nil:
		outcome.Kind = Unreachable
		if !errors.Is(err, errNotSent) { // taken, and then cut off
			outcome.Kind = NoAnswer
		}
	case resp.Status == 200:
		outcome.Kind = Served
		outcome.Mismatched = !strings.HasPrefix(string(resp.Body), id+" ")
		if _, server, ok := strings.Cut(strings.TrimSpace(string(resp.Body)), " served by "); ok {
			outcome.Server = server
		}
	case resp.Status == 429 || resp.Status == 503:
		outcome.Kind = Refused
	default:
		outcome.Kind = Failed
	}
	if c != nil {
		outcome.ExtraAnswer = c.In.Buffered() > 0
		l.release(c, err == nil && !resp.Close && !outcome.ExtraAnswer)
	}
	l.tally.add(outcome)
}

var (
	errNoConnection = errors.New("no connection left")
	errNotSent      = errors.New("the request was not taken")
)

// exchange sends one request and reads its answer. Where the other side closed a resting connection just
// as the request was on its way, it is sent once more on a new one, as the protocol has it.
func (l *Load) exchange(req *http1.Request, deadline time.Time) (*http1.Response, *connbuffer.Conn, error) {
	for {
		c, reused, err := l.acquire(deadline)
		if err != nil {
			return nil, nil, err
		}
		c.SetDeadline(deadline)
		err = req.Write(c.Out)
		if err == nil {
			err = c.Flush()
		}
		var resp *http1.Response
		if err == nil {
			if _, err = c.In.Peek(1); err == nil {
				resp, err = http1.ReadResponse(c.In)
				return resp, c, err
			}
		}
		if reused && !errors.Is(err, os.ErrDeadlineExceeded) {
			l.release(c, false)
			continue
		}
		return resp, c, err
	}
}

// acquire returns a connection that rests, or a new one.
func (l *Load) acquire(deadline time.Time) (c *connbuffer.Conn, reused bool, err error) {
	for {
		l.mu.Lock()
		if n := len(l.idle); n > 0 {
			c, l.idle = l.idle[n-1], l.idle[:n-1]
		}
		exhausted := c == nil && l.open >= l.opts.MaxConnections
		if c == nil && !exhausted {
			l.open++
		}
		l.mu.Unlock()
		switch {
		case exhausted:
			return nil, false, errNoConnection
		case c == nil:
			nc, err := (&net.Dialer{Deadline: deadline, KeepAlive: -1}).Dial("tcp", l.opts.Address)
			if err != nil {
				l.mu.Lock()
				l.open--
				l.mu.Unlock()
				return nil, false, errors.Join(errNotSent, err)
			}
			return connbuffer.NewConn(nc), false, nil
		case c.Quiet():
			return c, true, nil
		}
		// It closed while it rested, or something came that nobody asked for.
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.In.Peek(1); err == nil {
			l.tally.addExtraAnswer()
		}
		l.release(c, false)
		c = nil
	}
}

func (l *Load) release(c *connbuffer.Conn, reusable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reusable {
		l.idle = append(l.idle, c)
		return
	}
	l.open--
	c.Close()
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

// AwaitReady asks for /health/ready until it answers 200 or ctx ends.
func AwaitReady(ctx context.Context, address string) error {
	for {
		nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
		if err == nil {
			nc.SetDeadline(time.Now().Add(time.Second))
			io.WriteString(nc, "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			a, err := http1.ReadResponse(connbuffer.NewConn(nc).In)
			nc.Close()
			if err == nil && a.Status == 200 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", address, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}
