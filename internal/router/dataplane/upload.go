package dataplane

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"cresshub/internal/http1"
)

// largeBody is the size from which a body may not fit into what the systems on both sides hold of it, so that
// it waits for the server's process to read.
const largeBody = 32 << 10

// write sends a message. While a large one waits for its server to read on, an answer may come before: then
// what is still to be sent has little time left, and the connection ends with the answer.
func (c *call) write(message *http1.Request) error {
	large := len(message.Body) >= largeBody
	c.conn.allowUnread(large, c.delivery.left())
	if large {
		defer c.awaitEarlyAnswer()()
	}
	out := c.conn.writer()
	if err := message.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// awaitEarlyAnswer bounds the time of sending once bytes of an answer are there. The function that it returns
// ends the wait.
func (c *call) awaitEarlyAnswer() (end func()) {
	conn, done := c.conn, make(chan struct{})
	conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		if conn.await() == bytesThere {
			conn.SetWriteDeadline(earlier(c.delivery.request.end, time.Now().Add(earlyAnswer)))
		}
	}()
	return func() {
		conn.SetReadDeadline(longAgo)
		<-done
	}
}

// allowUnread sets how long sent bytes may wait in the system. A process that does not read them makes them
// wait just as a dead machine does; those of a large body are given the time of their request.
func (c *connection) allowUnread(large bool, left time.Duration) {
	if !large && !c.large.Load() {
		return
	}
	timeout := serverTimeout
	if large {
		timeout = max(left, serverTimeout)
	}
	_ = setUserTimeout(c.raw, timeout) // as for a new connection
	c.large.Store(large)
}

// restUnread tells whether the server's process has, or may have, not read all of a large body that it has
// answered. Its connection is no good for another request, which would have to wait behind the rest.
func (c *call) restUnread(head *http1.Response) bool {
	if len(c.delivery.request.Body) < largeBody {
		return false
	}
	return head.Status/100 != 2 || c.conn.unsent() > 0
}

// Close closes the connection, and resets it where a part of a large body is still to be sent. Else its end
// would stand behind that part, and a server that does not read would not see it.
func (c *connection) Close() error {
	conn, ok := c.Conn.(*net.TCPConn)
	if ok && c.large.Load() && c.unsent() > 0 {
		_ = conn.SetLinger(0) // only a connection that is closed already refuses
	}
	return c.Conn.Close()
}

// unsent is how many bytes wait in the system for the other side to take them.
func (s *socket) unsent() (bytes int) {
	_ = s.raw.Control(func(fd uintptr) {
		bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) // where it can't be told nothing is known to wait
	})
	return bytes
}
