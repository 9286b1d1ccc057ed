package routerstandin

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/stallclock"
)

const (
	// dialTimeout is how long a client waits for a new connection.
	dialTimeout = time.Second
	// keepAliveMargin is subtracted from the timeout that a proxy gives in Keep-Alive.
	keepAliveMargin = 500 * time.Millisecond
)

// clientConn is a client's connection to a proxy.
type clientConn struct {
	*connbuffer.Conn
	machine string    // IP of the proxy
	used    bool      // it has carried a request before
	expires time.Time // when an idle one must not be reused, zero for never
}

// dialProxy connects to a proxy. The timeouts of the connection and its opening count the time in which this
// process runs.
func dialProxy(ctx context.Context, clock *stallclock.Clock, proxy Proxy) (*clientConn, error) {
	bounded, cancel := clock.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(bounded, "tcp4", proxy.Front)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: connbuffer.NewConn(clock.Wrap(conn)), machine: hostOf(proxy.Front)}, nil
}

// tcp returns the connection of the system, nil if it is none of TCP.
func (c *clientConn) tcp() *net.TCPConn {
	wrapped, ok := c.Conn.Conn.(interface{ NetConn() net.Conn })
	if !ok {
		return nil
	}
	tcp, _ := wrapped.NetConn().(*net.TCPConn)
	return tcp
}

// takeIdle returns an idle connection that is still usable, nil where there is none.
func (c *Client) takeIdle() *clientConn {
	for {
		conn := c.popIdle()
		if conn == nil {
			return nil
		}
		if conn.Quiet() && (conn.expires.IsZero() || time.Now().Before(conn.expires)) {
			return conn
		}
		c.checkUnsolicited(conn)
		conn.Close()
	}
}

func (c *Client) popIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := len(c.idle) - 1
	conn := c.idle[last]
	c.idle = slices.Delete(c.idle, last, last+1)
	return conn
}

// checkUnsolicited records a success that came while no request was pending.
func (c *Client) checkUnsolicited(conn *clientConn) {
	conn.SetReadDeadline(time.Now().Add(dialTimeout))
	if conn.Quiet() {
		return
	}
	head, _, err := http1.ReadResponseHead(conn.In, "GET")
	if err == nil && head.Status/100 == 2 {
		c.observations.RecordViolation(RuleMixed, "%s answered %d on a connection where no request was waiting",
			conn.machine, head.Status)
	}
}

// putIdle keeps a connection for the client's next request, where its last answer allows that.
func (c *Client) putIdle(conn *clientConn, head *http1.Response) {
	if !c.KeepsConns || head.Close {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	conn.used = true
	conn.expires = time.Time{}
	if keepAlive := keepAliveOf(head); keepAlive > 0 {
		conn.expires = time.Now().Add(keepAlive - keepAliveMargin)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// keepAliveOf returns the timeout that Keep-Alive gives, 0 for none.
func keepAliveOf(head *http1.Response) time.Duration {
	for part := range strings.SplitSeq(head.Header.Get(keepAliveHeader), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Close closes the idle connections.
func (c *Client) Close() {
	for conn := c.popIdle(); conn != nil; conn = c.popIdle() {
		c.checkUnsolicited(conn)
		conn.Close()
	}
}
