// Package upstream carries attempts and probes to zone servers. Each connection has a goroutine, which
// dials it, runs one exchange after the other on it, and while it is idle sits in Read, so that it
// hears when the other side closes.
package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/bodybudget"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/stats"
)

// Directory knows where servers are. A server that drains or is gone has no address.
type Directory interface {
	Address(dispatch.ServerID) (string, bool)
}

// Limits are the pool's figures; they may change while it is in use.
type Limits struct {
	Dial    time.Duration // a connection that does not stand by then is given up
	MaxIdle time.Duration // a connection idle for longer takes no new exchange
	// nor does one whose last answer to a request is not so old: a second one may follow
	DuplicateGuard time.Duration
	Probe          time.Duration // a probe is waited for so long
	// an answer of unknown length that is not whole by then is passed on as it comes
	BufferTime time.Duration
	Stall      time.Duration // a body that makes no progress for so long is given up
}

// Pool holds the connections to all zone servers.
type Pool struct {
	directory Directory
	limits    atomic.Pointer[Limits]
	budget    *descriptors.Budget
	stats     *stats.Set
	report    reportFormat
	bodies    *bodybudget.Budget

	mu   sync.Mutex
	idle map[dispatch.ServerID][]*conn // the last used at the end
}

// New returns a pool without connections. report is the values of a load report in the order to hand them
// on, by their settings' names.
func New(dir Directory, limits Limits, report []string, budget *descriptors.Budget, bodies *bodybudget.Budget,
	counters *stats.Set) *Pool {
	p := &Pool{
		directory: dir, budget: budget, stats: counters, report: newReportForm(report), bodies: bodies,
		idle: map[dispatch.ServerID][]*conn{},
	}
	p.SetLimits(limits)
	budget.SetReclaim(descriptors.Servers, p.closeOldestIdle)
	return p
}

// SetLimits changes the figures; what is out goes on by the old ones.
func (p *Pool) SetLimits(l Limits) { p.limits.Store(&l) }

// Outcome is how an exchange ended, or that its answer has begun. Whoever gets one gives it back to Release.
type Outcome struct {
	Result   dispatch.Result
	Response *http1.Response // of a Served one
	Rest     *Stream         // what follows Answer's Body; nil where that is all
	Load     []float64       // nil where no load report came

	reserved int // bytes taken from the budget for Answer's Body
}

// Release gives back what an outcome holds. A rest that was not read to its end is given up.
func (p *Pool) Release(o *Outcome) {
	p.bodies.Release(o.reserved)
	o.reserved = 0
	if o.Rest != nil {
		o.Rest.close()
	}
}

// Upload is the part of a request's body that is not kept: whoever reads it has it.
type Upload interface {
	// Claim says that it is about to be read; false where another attempt reads it.
	Claim() bool
	// Read reads of it; io.EOF ends it, any other error is the client's.
	Read(p []byte) (int, error)
	// Sent says that the last byte was written, and returns until when the answer is waited for.
	Sent() time.Time
}

// Attempt is one try of a request at one server.
type Attempt struct {
	Server   dispatch.ServerID
	Request  *http1.Request // without X-Timeout
	Upload   Upload         // what follows Request's Body; nil where that is all
	StartBy  time.Time      // it must not begin later; zero where that is no matter
	GiveUpAt time.Time      // it is given up then
	Done     func(Outcome)  // called once, from another goroutine

	ctx    context.Context
	cancel context.CancelFunc
	probe  bool
	state  atomic.Int32 // one of those below
}

const (
	attemptPending = iota
	attemptStarted // its first byte may be out
	attemptDropped
)

// Start sets the attempt going and returns.
func (p *Pool) Start(a *Attempt) {
	done := a.Done
	a.Done = func(o Outcome) {
		a.cancel()
		p.stats.Attempts.Add(int(o.Result))
		done(o)
	}
	p.start(a)
}

// Cancel gives the attempt up, if it is still out: its connection is closed.
func (a *Attempt) Cancel() { a.cancel() }

// Drop gives the attempt up if none of it was written: nobody needs it any more, and a server that never met
// it cannot have to cancel it.
func (a *Attempt) Drop() {
	if a.state.CompareAndSwap(attemptPending, attemptDropped) {
		a.cancel()
	}
}

// Probe asks a server for its load and returns; done is called once, from another goroutine.
func (p *Pool) Probe(
	s dispatch.ServerID, done func(res dispatch.Result, took time.Duration, load []float64),
) {
	began := time.Now()
	a := &Attempt{Server: s, probe: true, GiveUpAt: began.Add(p.limits.Load().Probe)}
	a.Done = func(o Outcome) {
		a.cancel()
		p.stats.Probes.Add(int(o.Result))
		p.countMissingReport(o)
		p.Release(&o)
		done(o.Result, time.Since(began), o.Load)
	}
	p.start(a)
}

// countMissingReport counts probes that were answered without a load report that can be read: without reports
// the decisions are blind.
func (p *Pool) countMissingReport(o Outcome) {
	if o.Result == dispatch.Served && o.Load == nil && p.report.size > 0 {
		p.stats.ProbesWithoutReport.Add()
	}
}

func (a *Attempt) initContext() { a.ctx, a.cancel = context.WithCancel(context.Background()) }

func (p *Pool) start(a *Attempt) {
	a.initContext()
	address, ok := p.directory.Address(a.Server)
	if !ok {
		go a.Done(Outcome{Result: dispatch.Rejected})
		return
	}
	if p.reuseIdle(a, address) {
		p.stats.Reused.Add()
		return
	}
	go (&conn{pool: p, server: a.Server, address: address}).run(a)
}

// reuseIdle hands the attempt to the connection used last, so that those not needed grow old and close.
// One that is near the time when its server closes it is no longer used: a request written into a
// closing connection may or may not have run.
func (p *Pool) reuseIdle(a *Attempt, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[a.Server]
	now, limits := time.Now(), p.limits.Load()
	// They stand in the order in which they were used. One whose late second answer could be taken for the next
	// request's has to rest; of those only the last few are looked at, for one that a probe used. There may be
	// hundreds.
	at := sort.Search(len(list),
		func(i int) bool { return now.Sub(list[i].idleSince) < limits.DuplicateGuard }) - 1
	for i := len(list) - 1; i > max(at, len(list)-1-probedSearchDepth); i-- {
		if list[i].lastWasProbe {
			at = i
			break
		}
	}
	if at < 0 {
		return false
	}
	c := list[at]
	if c.address != address || now.Sub(c.idleSince) > limits.MaxIdle {
		return false // the rest is older still; each closes itself when its time comes
	}
	p.idle[a.Server] = slices.Delete(list, at, at+1)
	c.next = a
	c.netConn.SetReadDeadline(time.Unix(1, 0)) // wakes its goroutine
	return true
}

// probedSearchDepth is how many of the connections used last are looked at each for itself.
const probedSearchDepth = 16

// park lists c as idle.
func (p *Pool) park(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle[c.server] = append(p.idle[c.server], c)
}

// removeIdle takes c off the idle ones, if it is among them.
func (p *Pool) removeIdle(c *conn) {
	list := p.idle[c.server]
	if i := slices.Index(list, c); i >= 0 {
		p.idle[c.server] = slices.Delete(list, i, i+1)
	}
}

// closeOldestIdle closes the connection that has been idle longest and gives its place back.
func (p *Pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.removeIdle(oldest)
	oldest.close()
	return true
}

// Sweep closes the idle connections of servers that have left or moved.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, list := range p.idle {
		if address, ok := p.directory.Address(s); ok && (len(list) == 0 || list[0].address == address) {
			continue
		}
		delete(p.idle, s)
		for _, c := range list {
			c.close()
		}
	}
}

// conn is one connection to a server. The pool's lock guards since and next.
type conn struct {
	pool      *Pool
	server    dispatch.ServerID
	address   string
	netConn   *connbuffer.Conn
	closeOnce sync.Once

	idleSince    time.Time // idle from then on
	next         *Attempt  // handed over while idle
	lastWasProbe bool      // the last answer was a probe's
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		c.netConn.Close()
		c.pool.budget.Release(descriptors.Servers)
	})
}

// run is the connection's goroutine; first is what it is opened for.
func (c *conn) run(first *Attempt) {
	if res, ok := c.dial(first); !ok {
		first.Done(Outcome{Result: res})
		return
	}
	defer c.close()
	for a := first; ; {
		c.lastWasProbe = a.probe
		outcome, reusable := c.exchange(a)
		if outcome.Rest != nil {
			a.Done(outcome)
			if complete := <-outcome.Rest.done; !complete || !reusable {
				c.close()
				return
			}
			c.pool.park(c)
		} else {
			if !reusable {
				c.close()
				a.Done(outcome)
				return
			}
			c.pool.park(c)
			a.Done(outcome)
		}
		var usable bool
		if a, usable = c.awaitAttempt(); a == nil {
			return
		}
		if !usable {
			// It closed just as it was handed over. Not a byte of the attempt was written, so this is
			// still its first sending.
			c.close()
			go (&conn{pool: c.pool, server: c.server, address: c.address}).run(a)
			return
		}
	}
}

// awaitAttempt sits in Read until the next attempt is handed over. It returns nil where the connection has
// closed or grown too old, and usable false where it closed but was handed over all the same.
func (c *conn) awaitAttempt() (a *Attempt, usable bool) {
	p := c.pool
	p.mu.Lock()
	if c.next == nil {
		c.netConn.SetReadDeadline(c.idleSince.Add(p.limits.Load().MaxIdle))
	}
	p.mu.Unlock()
	_, err := c.netConn.In.Peek(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	a, c.next = c.next, nil
	p.removeIdle(c)
	// The deadline that wakes this goroutine also ends Read when bytes wait in the system: a second copy of
	// an answer, noise, or the end. The next request must not get them for its answer.
	// And it may have grown too old since it was handed over, where this goroutine had to wait for its turn.
	return a, errors.Is(err, os.ErrDeadlineExceeded) &&
		(a == nil || c.netConn.Quiet() && time.Since(c.idleSince) <= p.limits.Load().MaxIdle)
}

var dialer = net.Dialer{KeepAlive: -1} // every exchange has a deadline of its own

// dial opens the connection; where that fails the attempt provably never ran.
func (c *conn) dial(a *Attempt) (dispatch.Result, bool) {
	if !c.pool.budget.Acquire(descriptors.Servers) {
		return dispatch.Skipped, false
	}
	until := time.Now().Add(c.pool.limits.Load().Dial)
	latest := a.GiveUpAt
	if !a.StartBy.IsZero() && a.StartBy.Before(latest) {
		latest = a.StartBy
	}
	bounded := latest.Before(until)
	if bounded {
		until = latest
	}
	ctx, cancel := context.WithDeadline(a.ctx, until)
	defer cancel()
	nc, err := dialer.DialContext(ctx, "tcp", c.address)
	if err == nil {
		c.netConn = connbuffer.NewConn(nc)
		c.pool.stats.Opened.Add()
		return 0, true
	}
	c.pool.budget.Release(descriptors.Servers)
	switch {
	case a.ctx.Err() != nil:
		return dispatch.Cancelled, false
	case bounded && ctx.Err() != nil:
		return dispatch.Skipped, false // its own time was over before the server's
	}
	return dispatch.NoConnection, false
}
