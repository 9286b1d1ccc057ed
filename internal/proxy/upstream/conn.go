package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/stallclock"
)

// conn is one connection to a server. Its goroutine is run.
type conn struct {
	pool      *Pool
	server    dispatch.ServerID
	address   string
	netConn   *connbuffer.Conn
	deadlines *stallclock.Conn // below netConn
	closeOnce sync.Once

	// The pool's lock guards these while the connection is idle.
	idleSince    time.Time
	next         *Attempt // handed over by reuseIdle
	lastWasProbe bool     // the last exchange was a probe
}

// close closes the connection and returns its descriptor to the budget; only the first call has an effect.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		c.netConn.Close()
		c.pool.budget.Release(descriptors.Servers)
	})
}

// run is the connection's goroutine; first is the attempt that it is opened for.
func (c *conn) run(first *Attempt) {
	if result, ok := c.dial(first); !ok {
		first.Done(Outcome{Result: result})
		return
	}
	defer c.close()
	for a := first; ; {
		if !c.serve(a) {
			return
		}
		var usable bool
		if a, usable = c.awaitAttempt(); a == nil {
			return
		}
		if !usable {
			// It closed just as the attempt was handed over. None of the attempt was written, so on another
			// connection it is sent for the first time.
			c.close()
			go (&conn{pool: c.pool, server: c.server, address: c.address}).run(a)
			return
		}
	}
}

// serve runs one attempt to its end and parks the connection as idle again; false if it is closed instead. A
// connection whose response was read is parked before Done is called, so that what the caller starts then
// finds it; one whose response streams is parked once the stream was read to its end.
func (c *conn) serve(a *Attempt) bool {
	c.lastWasProbe = a.probe
	outcome, reusable := c.exchange(a)
	switch {
	case outcome.Stream != nil:
		a.Done(outcome)
		if complete := <-outcome.Stream.complete; !complete || !reusable {
			c.close()
			return false
		}
		c.pool.park(c)
	case reusable:
		c.pool.park(c)
		a.Done(outcome)
	default:
		c.close()
		a.Done(outcome)
		return false
	}
	return true
}

// awaitAttempt waits in Read until the next attempt is handed over. It returns nil if the connection was
// closed or has been idle for too long, and usable false if that is so but an attempt was handed over all
// the same.
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
	// The deadline that wakes this goroutine also ends Read when there are unread bytes in the kernel's
	// buffer: a duplicate response, garbage, or the end of the connection. The next request must not get
	// them for its response. And MaxIdle may have passed since reuseIdle, if this goroutine was scheduled
	// late.
	return a, errors.Is(err, os.ErrDeadlineExceeded) &&
		(a == nil || c.netConn.Quiet() && time.Since(c.idleSince) <= p.limits.Load().MaxIdle)
}

var dialer = net.Dialer{KeepAlive: -1} // every exchange has a deadline of its own

// dial opens the connection, for which the attempt's own times and Limits.DialTimeout are the bounds. If it returns
// false the attempt never ran, and ends with the result.
func (c *conn) dial(a *Attempt) (dispatch.Result, bool) {
	if !c.pool.budget.Acquire(descriptors.Servers) {
		return dispatch.Skipped, false
	}
	deadline := time.Now().Add(c.pool.limits.Load().DialTimeout)
	latest := a.Deadline
	if !a.StartBy.IsZero() && a.StartBy.Before(latest) {
		latest = a.StartBy
	}
	boundByAttempt := latest.Before(deadline)
	if boundByAttempt {
		deadline = latest
	}
	ctx, cancel := c.dialContext(a.ctx, deadline, boundByAttempt)
	defer cancel()
	netConn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err == nil {
		c.deadlines = c.pool.clock.Wrap(netConn)
		c.netConn = connbuffer.NewConn(c.deadlines)
		c.pool.stats.Opened.Add()
		return dispatch.Served, true
	}
	c.pool.budget.Release(descriptors.Servers)
	switch {
	case a.ctx.Err() != nil:
		return dispatch.Cancelled, false
	case boundByAttempt && ctx.Err() != nil:
		return dispatch.Skipped, false // the attempt's time was over before the server had its full time
	}
	return dispatch.NoConnection, false
}

// dialContext ends when the connection counts as failed that is not open yet: at a deadline of the attempt,
// or once this process has run until Limits.DialTimeout is over.
func (c *conn) dialContext(parent context.Context, deadline time.Time, boundByAttempt bool) (context.Context,
	context.CancelFunc) {
	if boundByAttempt {
		return context.WithDeadline(parent, deadline)
	}
	return c.pool.clock.WithTimeout(parent, time.Until(deadline))
}
