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

// conn is one connection to a server. Its goroutine runs the method run.
type conn struct {
	pool      *Pool
	server    dispatch.ServerID
	address   string
	netConn   *connbuffer.Conn
	deadlines *stallclock.Conn // the layer below netConn that enforces its deadlines
	closeOnce sync.Once

	// Pool.mu guards these fields while the connection is idle.
	idleSince    time.Time
	next         *Attempt // set by reuseIdle; nil if there is none
	lastWasProbe bool     // the last exchange was a probe
}

// close closes the connection and returns its descriptor to the budget; only the first call has an effect.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		c.netConn.Close()
		c.pool.budget.Release(descriptors.Servers)
	})
}

// run is the connection's goroutine. It dials and runs the attempt first, for which the connection is opened,
// then the attempts that reuseIdle passes to it, until the connection closes.
func (c *conn) run(first *Attempt) {
	if result, ok := c.dial(first); !ok {
		first.Done(Outcome{Result: result})
		return
	}
	defer c.close()
	for a := first; ; {
		if !c.runAttempt(a) {
			return
		}
		var usable bool
		if a, usable = c.awaitAttempt(); a == nil {
			return
		}
		if !usable {
			// The connection became unusable just as the attempt was passed to it. None of the attempt's bytes
			// has been written, so sending it on another connection does not repeat it.
			c.close()
			go (&conn{pool: c.pool, server: c.server, address: c.address}).run(a)
			return
		}
	}
}

// runAttempt runs one attempt to its end. It returns true if the connection is in the idle list afterwards
// and false if it has been closed. If the whole response has been read, the connection becomes idle before
// Done is called, so that attempts started by Done can reuse it. If the response is streamed, the connection
// becomes idle once the stream has been read to its end.
func (c *conn) runAttempt(a *Attempt) bool {
	c.lastWasProbe = a.probe
	outcome, reusable := c.exchange(a)
	switch {
	case outcome.Stream != nil:
		a.Done(outcome)
		if complete := <-outcome.Stream.complete; !complete || !reusable {
			c.close()
			return false
		}
		c.pool.addIdle(c)
	case reusable:
		c.pool.addIdle(c)
		a.Done(outcome)
	default:
		c.close()
		a.Done(outcome)
		return false
	}
	return true
}

// awaitAttempt waits, reading from the connection, until reuseIdle passes it the next attempt. It returns nil
// if the connection was closed or idle for longer than Limits.MaxIdle. usable is false if an attempt was
// passed although the connection must not be used any more.
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
	// The past deadline by which reuseIdle wakes this goroutine ends the read even if there are unread bytes in
	// the kernel's buffer: a duplicate response, garbage, or the end of the connection. They must not be taken
	// for the response to the next request. And MaxIdle may have passed since reuseIdle checked it, if this
	// goroutine was scheduled late.
	return a, errors.Is(err, os.ErrDeadlineExceeded) &&
		(a == nil || c.netConn.Quiet() && time.Since(c.idleSince) <= p.limits.Load().MaxIdle)
}

var dialer = net.Dialer{KeepAlive: -1} // no keep-alive packets: every exchange has a deadline of its own

// dial opens the connection within Limits.DialTimeout and before the attempt's Deadline and StartBy. If it
// returns false, nothing has been sent and the attempt ends with the returned result.
func (c *conn) dial(a *Attempt) (dispatch.Result, bool) {
	if !c.pool.budget.Acquire(descriptors.Servers) {
		return dispatch.Skipped, false
	}
	deadline := time.Now().Add(c.pool.limits.Load().DialTimeout)
	attemptDeadline := a.Deadline
	if !a.StartBy.IsZero() && a.StartBy.Before(attemptDeadline) {
		attemptDeadline = a.StartBy
	}
	boundByAttempt := attemptDeadline.Before(deadline)
	if boundByAttempt {
		deadline = attemptDeadline
	}
	ctx, cancel := c.dialContext(a.ctx, deadline, boundByAttempt)
	defer cancel()
	netConn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err == nil {
		c.deadlines = c.pool.clock.Wrap(netConn)
		c.netConn = connbuffer.NewConn(c.deadlines)
		c.pool.stats.OpenedServerConns.Inc()
		return dispatch.Served, true
	}
	c.pool.budget.Release(descriptors.Servers)
	switch {
	case a.ctx.Err() != nil:
		return dispatch.Cancelled, false
	case boundByAttempt && ctx.Err() != nil:
		return dispatch.Skipped, false // the attempt's time ran out before DialTimeout: no fault of the server
	}
	return dispatch.NoConnection, false
}

// dialContext returns a context that ends when dialling must stop: at the deadline if the attempt sets it,
// otherwise at the deadline extended by the time in which this process was stalled.
func (c *conn) dialContext(parent context.Context, deadline time.Time, boundByAttempt bool) (context.Context,
	context.CancelFunc) {
	if boundByAttempt {
		return context.WithDeadline(parent, deadline)
	}
	return c.pool.clock.WithTimeout(parent, time.Until(deadline))
}
