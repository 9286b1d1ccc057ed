package dataplane

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"cresshub/internal/http1"
)

// largeBodyBytes is the size from which a body may not fit into the socket buffers of both sides, so that
// sending it may block until the server reads.
const largeBodyBytes = 32 << 10

// watchEarlyResponse starts a goroutine that limits the time for sending the rest of the request to
// earlyResponseTimeout once bytes of a response have arrived. The returned function ends the goroutine.
func (c *call) watchEarlyResponse() (end func()) {
	conn, done := c.conn, make(chan struct{})
	conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		if conn.awaitReadable() == readable {
			conn.SetWriteDeadline(earlier(c.roundTrip.request.deadline, time.Now().Add(earlyResponseTimeout)))
		}
	}()
	return func() {
		conn.InterruptRead()
		<-done
	}
}

// unackedMargin is how long after its request's deadline a large body may stay unacknowledged. The deadline
// must end the call first, otherwise a server that does not read would be taken for a machine that is down.
const unackedMargin = time.Second

// setUnackedTimeout sets how long sent bytes may stay unacknowledged. A server process that does not read a
// large body delays the acknowledgement just as a dead machine does, so a large body may stay unacknowledged
// until unackedMargin after its request's deadline, and a small one for serverUnackedTimeout.
func (c *connection) setUnackedTimeout(large bool, timeLeft time.Duration) {
	if !large && !c.largeBody.Load() {
		return
	}
	timeout := serverUnackedTimeout
	if large {
		timeout = max(timeLeft+unackedMargin, serverUnackedTimeout)
	}
	_ = setUserTimeout(c.raw, timeout) // an error is ignored as for a new connection
	c.largeBody.Store(large)
}

// bodyLeftUnread reports whether a server may have responded without reading all of a large body. The
// connection can't be reused then: the next request would wait behind the rest of the body.
func (c *call) bodyLeftUnread(head *http1.Response) bool {
	if len(c.roundTrip.request.Body) < largeBodyBytes {
		return false
	}
	return !isSuccess(head.Status) || c.conn.unackedBytes() > 0
}

// Close closes the connection, and resets it if a part of a large body is not acknowledged yet. An orderly
// close would be queued behind that part, and a server that does not read would not notice it.
func (c *connection) Close() error {
	conn, ok := c.NetConn().(*net.TCPConn)
	if ok && c.largeBody.Load() && c.unackedBytes() > 0 {
		_ = conn.SetLinger(0) // fails only if the connection is already closed
	}
	return c.Conn.Close()
}

// unackedBytes returns how many bytes in the send buffer of the socket the other side has not acknowledged.
func (s *socket) unackedBytes() (bytes int) {
	_ = s.raw.Control(func(fd uintptr) {
		bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // 0 if it fails
	})
	return bytes
}
