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
	// The bounds of the timeout for opening a connection.
	minDialTimeout = 300 * time.Millisecond
	maxDialTimeout = time.Second
)

// connect gets a connection to the server, from the pool or by dialling. From then until disconnect,
// roundTrip.stop closes the connection, or cancels the dial.
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
	case errors.Is(err, errConnectionLimit):
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
	// The server may have been removed from the table while the connection was being opened.
	if !rt.setAbortable(conn) || rt.timeLeft() < minTimeLeft ||
		rt.proxy.servers().ByID(c.choice.Server.ID) == nil {
		return abandoned
	}
	return nil
}

// connectionSpec returns the requirements of this call for its connection.
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

// dialEndedByStall reports whether dialling timed out because this process had stalled: the request's
// deadline passed before this process had run for the full dial timeout.
func (c *call) dialEndedByStall(err error, started time.Time) bool {
	clock := c.roundTrip.proxy.clock
	timedOut := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	return timedOut && clock.StalledSince(started) > 0 && clock.Remaining(started, c.dialTimeout()) > 0
}

// connectContext returns a context that ends at the request's deadline or after the dial timeout, whichever
// is earlier.
func (c *call) connectContext() (context.Context, context.CancelFunc) {
	untilDeadline, cancelDeadline := context.WithDeadline(context.Background(), c.roundTrip.request.deadline)
	ctx, cancel := c.roundTrip.proxy.clock.WithTimeout(untilDeadline, c.dialTimeout())
	return ctx, func() {
		cancel()
		cancelDeadline()
	}
}

// dialTimeout returns how long a connection may take to open, not counting time in which this process is
// stalled.
func (c *call) dialTimeout() time.Duration {
	return min(max(c.roundTrip.request.route.LatencyTarget/2, minDialTimeout), maxDialTimeout)
}

// disconnect returns the connection to the pool, or closes it if it must not be reused.
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

// canceller is an io.Closer that cancels the dial of a connection.
type canceller context.CancelFunc

func (c canceller) Close() error {
	c()
	return nil
}
