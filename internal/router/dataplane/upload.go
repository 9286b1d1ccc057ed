package dataplane

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"cresshub/internal/http1"
)

// largeBodySize is the size from which a body may not fit into the socket buffers of both sides, so that it
// waits for the server's process to read.
const largeBodySize = 32 << 10

// watchEarlyResponse bounds the time of sending once bytes of a response have arrived. The function that it
// returns ends the watch.
func (c *call) watchEarlyResponse() (end func()) {
	conn, done := c.conn, make(chan struct{})
	conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		if conn.awaitReadable() == readable {
			conn.SetWriteDeadline(earlier(c.roundTrip.request.deadline, time.Now().Add(earlyResponseTime)))
		}
	}()
	return func() {
		conn.InterruptRead()
		<-done
	}
}

// unackedMargin is how much longer than its request's deadline a large body may stay unacknowledged: the
// deadline has to end the call first, or a server that does not read would count as a machine that is down.
const unackedMargin = time.Second

// setUnackedTimeout sets how long sent bytes may stay unacknowledged. A process that does not read them
// keeps them waiting just as a dead machine does; those of a large body get the time of their request.
func (c *connection) setUnackedTimeout(large bool, timeLeft time.Duration) {
	if !large && !c.largeBody.Load() {
		return
	}
	timeout := serverTimeout
	if large {
		timeout = max(timeLeft+unackedMargin, serverTimeout)
	}
	_ = setUserTimeout(c.raw, timeout) // as for a new connection
	c.largeBody.Store(large)
}

// bodyLeftUnread reports whether a server may have answered a large body without reading all of it. The
// connection can't be reused then: the next request would wait behind the rest of the body.
func (c *call) bodyLeftUnread(head *http1.Response) bool {
	if len(c.roundTrip.request.Body) < largeBodySize {
		return false
	}
	return !isSuccess(head.Status) || c.conn.unsentBytes() > 0
}

// Close closes the connection, and resets it if a part of a large body is still unsent. An orderly end would
// be queued after that part, where a server that does not read would not notice it.
func (c *connection) Close() error {
	conn, ok := c.NetConn().(*net.TCPConn)
	if ok && c.largeBody.Load() && c.unsentBytes() > 0 {
		_ = conn.SetLinger(0) // fails only on a connection that is closed already
	}
	return c.Conn.Close()
}

// unsentBytes is how many bytes in the socket buffer the other side has not acknowledged.
func (s *socket) unsentBytes() (bytes int) {
	_ = s.raw.Control(func(fd uintptr) {
		bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // 0 if it fails
	})
	return bytes
}
