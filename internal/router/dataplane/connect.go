package dataplane

import (
	"context"
	"errors"
	"os"
	"time"

	"cresshub/internal/invariant"
	"cresshub/internal/router/scheduler"
)

const (
	// The bounds of the time that a connection may take to open.
	minDialTimeout = 300 * time.Millisecond
	maxDialTimeout = time.Second
)

// connect gets a connection to the server, from the pool or by dialling. Until disconnect, stop closes it.
func (c *call) connect() *callFailure {
	rt := c.roundTrip
	abandoned := &callFailure{outcome: scheduler.Abandoned, execution: notSent}
	started := time.Now()
	ctx, cancel := c.connectContext()
	defer cancel()
	if !rt.setAbortable(canceller(cancel)) {
		return abandoned
	}
	conn, err := rt.proxy.pool.get(ctx, c.connectionSpec())
	switch {
	case errors.Is(err, errNoConnectionFree):
		return abandoned
	case c.dialEndedByStall(err, started):
		return abandoned
	case err != nil:
		c.reportSuspect(err)
		return &callFailure{outcome: scheduler.Unreachable, execution: notSent}
	}
	c.conn, c.mustClose = conn, true
	invariant.Assert(conn.server == c.choice.Server.ID, invariant.ConnectionOfServer,
		"a connection to %s was taken for %s", conn.server, c.choice.Server.ID)
	// The server may have left the table while the connection was opened.
	if !rt.setAbortable(conn) || rt.timeLeft() < minTimeLeft ||
		rt.proxy.servers().ByID(c.choice.Server.ID) == nil {
		return abandoned
	}
	return nil
}

// connectionSpec returns what this call needs of its connection.
func (c *call) connectionSpec() connectionSpec {
	req := c.roundTrip.request
	spec := connectionSpec{
		server:        c.choice.Server,
		maxPerServer:  c.roundTrip.proxy.serverConnectionQuota(req.service),
		maxIdle:       maxIdleTime,
		requestNumber: c.roundTrip.requestNumber,
	}
	if !req.route.Idempotent() {
		spec.maxIdle = maxIdleTimeUnsafe
	}
	return spec
}

// dialEndedByStall reports whether the request's time was over before the server had its own, as this process
// did not run.
func (c *call) dialEndedByStall(err error, started time.Time) bool {
	clock := c.roundTrip.proxy.clock
	timedOut := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	return timedOut && clock.StalledSince(started) > 0 && clock.Remaining(started, c.dialTimeout()) > 0
}

// connectContext ends when the connection counts as failed that is not open yet.
func (c *call) connectContext() (context.Context, context.CancelFunc) {
	untilDeadline, cancelDeadline := context.WithDeadline(context.Background(), c.roundTrip.request.deadline)
	ctx, cancel := c.roundTrip.proxy.clock.WithTimeout(untilDeadline, c.dialTimeout())
	return ctx, func() {
		cancel()
		cancelDeadline()
	}
}

// dialTimeout is how long a connection may take to open, in time in which this process runs.
func (c *call) dialTimeout() time.Duration {
	return min(max(c.roundTrip.request.route.LatencyTarget/2, minDialTimeout), maxDialTimeout)
}

// disconnect returns the connection to the pool, or closes it where it must not be used again.
func (c *call) disconnect() {
	if c.conn == nil {
		return
	}
	c.roundTrip.setAbortable(nil)
	c.conn.extender = nil
	pool := c.roundTrip.proxy.pool
	if c.mustClose || c.roundTrip.stopReason() != notStopped {
		pool.discard(c.conn)
	} else {
		pool.put(c.conn, c.keepAliveTime)
	}
	c.conn = nil
}

// canceller is an io.Closer that cancels the opening of a connection.
type canceller context.CancelFunc

func (c canceller) Close() error {
	c()
	return nil
}
