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
	Address string
	Rate    float64 // requests a second, on average; arrivals are Poisson and wait for nothing
	Classes []LoadClass
	Tenants []string
	Keys    int // distinct keys, a few far more popular than the rest
	Open    int // connections at once; an arrival beyond them fails here and is told apart
	Seed    uint64
	IDs     string // what ids begin with
}

// LoadClass is one class of requests.
type LoadClass struct {
	Name     string
	Share    float64 // of the requests
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
	Unsafe   bool // must not run twice: POST
}

// answerSlack is how long after its deadline an answer still counts as given in time.
const answerSlack = 50 * time.Millisecond

// Load sends requests at a rate whatever becomes of them, and counts what does. Times are taken from when
// a request was due, so that a stall is not hidden by arrivals that waited for it.
type Load struct {
	o     LoadOptions
	tally *Tally
	rng   *rand.Rand
	zipf  *rand.Zipf
	all   sync.WaitGroup

	mu   sync.Mutex
	idle []*connbuffer.Conn
	open int
}

// NewLoad returns a load that sends nothing yet.
func NewLoad(o LoadOptions) *Load {
	if o.Open <= 0 {
		o.Open = 256
	}
	if o.IDs == "" {
		o.IDs = "r"
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0x2545f491))
	return &Load{o: o, tally: NewTally(), rng: rng, zipf: rand.NewZipf(rng, 1.1, 4, uint64(max(o.Keys, 1)-1))}
}

// Tally is what has become of the requests so far.
func (l *Load) Tally() *Tally { return l.tally }

// Run sends until ctx ends, then waits for what is out.
func (l *Load) Run(ctx context.Context) {
	due := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(l.rng.ExpFloat64() / l.o.Rate * float64(time.Second)))
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			l.all.Wait()
			l.closeIdle()
			return
		case <-timer.C:
		}
		l.tally.lag(time.Since(due))
		class := l.class()
		q := l.request(class, n)
		l.all.Add(1)
		go func(due time.Time) { // the loop goes on with its own
			defer l.all.Done()
			l.one(class, q, due)
		}(due)
	}
}

func (l *Load) class() *LoadClass {
	x := l.rng.Float64()
	for i := range l.o.Classes {
		if x -= l.o.Classes[i].Share; x < 0 {
			return &l.o.Classes[i]
		}
	}
	return &l.o.Classes[len(l.o.Classes)-1]
}

func (l *Load) request(c *LoadClass, n int) *http1.Request {
	method := "GET"
	if c.Unsafe {
		method = "POST"
	}
	h := http1.Header{
		{Name: "Host", Value: "backend.local"},
		{Name: "X-Request-ID", Value: l.o.IDs + "-" + strconv.Itoa(n)},
		{Name: "X-Priority-Class", Value: c.Name},
	}
	if len(l.o.Tenants) > 0 {
		h = append(h, http1.Field{Name: "X-Tenant-Id", Value: l.o.Tenants[l.rng.IntN(len(l.o.Tenants))]})
	}
	return &http1.Request{Method: method, Target: fmt.Sprintf("/api?key=%016x", l.zipf.Uint64()+1), Header: h}
}

// one sends a request and counts what comes of it.
func (l *Load) one(class *LoadClass, q *http1.Request, due time.Time) {
	until := due.Add(class.Deadline)
	left := strconv.FormatFloat(time.Until(until).Seconds(), 'f', 3, 64)
	q.Header = append(q.Header, http1.Field{Name: "X-Timeout", Value: left})
	a, c, err := l.exchange(q, until.Add(answerSlack))
	took := time.Since(due)
	id := q.Header.Get("X-Request-ID")
	o := Outcome{Class: class, Took: took}
	switch {
	case errors.Is(err, errNoPlace):
		o.Kind = NotSent
	case errors.Is(err, os.ErrDeadlineExceeded):
		o.Kind = NoAnswer
	case err != nil:
		o.Kind = Unreachable
		if !errors.Is(err, errNotTaken) { // taken, and then cut off
			o.Kind = NoAnswer
		}
	case a.Status == 200:
		o.Kind = Served
		o.Wrong = !strings.HasPrefix(string(a.Body), id+" ")
		if _, server, ok := strings.Cut(strings.TrimSpace(string(a.Body)), " served by "); ok {
			o.Server = server
		}
	case a.Status == 429 || a.Status == 503:
		o.Kind = Refused
	default:
		o.Kind = Failed
	}
	if c != nil {
		o.Second = c.In.Buffered() > 0
		l.give(c, err == nil && !a.Close && !o.Second)
	}
	l.tally.add(o)
}

var (
	errNoPlace  = errors.New("no connection left")
	errNotTaken = errors.New("the request was not taken")
)

// exchange sends one request and reads its answer. Where the other side closed a resting connection just
// as the request was on its way, it is sent once more on a new one, as the protocol has it.
func (l *Load) exchange(q *http1.Request, until time.Time) (*http1.Response, *connbuffer.Conn, error) {
	for {
		c, used, err := l.take(until)
		if err != nil {
			return nil, nil, err
		}
		c.SetDeadline(until)
		err = q.Write(c.Out)
		if err == nil {
			err = c.Flush()
		}
		var a *http1.Response
		if err == nil {
			if _, err = c.In.Peek(1); err == nil {
				a, err = http1.ReadResponse(c.In)
				return a, c, err
			}
		}
		if used && !errors.Is(err, os.ErrDeadlineExceeded) {
			l.give(c, false)
			continue
		}
		return a, c, err
	}
}

// take returns a connection that rests, or a new one.
func (l *Load) take(until time.Time) (c *connbuffer.Conn, used bool, err error) {
	for {
		l.mu.Lock()
		if n := len(l.idle); n > 0 {
			c, l.idle = l.idle[n-1], l.idle[:n-1]
		}
		full := c == nil && l.open >= l.o.Open
		if c == nil && !full {
			l.open++
		}
		l.mu.Unlock()
		switch {
		case full:
			return nil, false, errNoPlace
		case c == nil:
			nc, err := (&net.Dialer{Deadline: until, KeepAlive: -1}).Dial("tcp", l.o.Address)
			if err != nil {
				l.mu.Lock()
				l.open--
				l.mu.Unlock()
				return nil, false, errors.Join(errNotTaken, err)
			}
			return connbuffer.NewConn(nc), false, nil
		case c.Quiet():
			return c, true, nil
		}
		// It closed while it rested, or something came that nobody asked for.
		c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.In.Peek(1); err == nil {
			l.tally.second()
		}
		l.give(c, false)
		c = nil
	}
}

func (l *Load) give(c *connbuffer.Conn, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if again {
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
