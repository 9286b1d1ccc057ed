package dataplane

import (
	"context"
	"errors"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/router/scheduler"
)

// The bounds of the time that a connection may take to come about.
const (
	leastDial = 300 * time.Millisecond
	mostDial  = time.Second
)

// disconnect gives the connection back, or closes it where it must not be used again.
func (c *call) disconnect() {
	if c.conn == nil {
		return
	}
	c.delivery.attach(nil)
	c.conn.waiter = nil
	pool := c.delivery.front.pool
	if c.tainted || c.delivery.reason() != goingOn {
		pool.drop(c.conn)
	} else {
		pool.keep(c.conn, c.alive)
	}
	c.conn = nil
}

// connect gets a connection to the server.
func (c *call) connect() *failure {
	d := c.delivery
	abandoned := &failure{outcome: scheduler.Abandoned, fate: notSent}
	dial, cancel := context.WithDeadline(context.Background(), c.connectUntil())
	defer cancel()
	if !d.attach(canceller(cancel)) {
		return abandoned
	}
	conn, err := d.front.pool.take(dial, c.want())
	switch {
	case errors.Is(err, errNoPlace):
		return abandoned
	case err != nil:
		c.suspect(err)
		return &failure{outcome: scheduler.Unreachable, fate: notSent}
	}
	c.conn, c.tainted = conn, true
	invariant.Assert(conn.server == c.choice.Server.ID, invariant.ConnectionOfServer,
		"a connection to %s was taken for %s", conn.server, c.choice.Server.ID)
	// The server may have left while the connection came about.
	if !d.attach(conn) || d.left() < leastLeft || d.front.servers().ByID(c.choice.Server.ID) == nil {
		return abandoned
	}
	return nil
}

func (c *call) want() want {
	q := c.delivery.request
	w := want{server: c.choice.Server, idle: idleMost, most: c.delivery.front.connectionShare(q.service),
		request: c.delivery.number}
	if !q.route.Idempotent() {
		w.idle = idleUnsafe
	}
	return w
}

func (c *call) connectUntil() time.Time {
	q := c.delivery.request
	return earlier(q.end, time.Now().Add(min(max(q.route.LatencyTarget/2, leastDial), mostDial)))
}

// canceller ends the opening of a connection.
type canceller context.CancelFunc

func (c canceller) Close() error {
	c()
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// idleTime is how long a connection may stay idle after such an answer, 0 where it ends.
func idleTime(head *http1.Response) time.Duration {
	if head.Close {
		return 0
	}
	for part := range strings.SplitSeq(head.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		told := time.Duration(wholeNumber(value)) * time.Second
		return min(told-min(idleMargin, told/2), idleMost)
	}
	return idleUntold
}
