// Package transport carries frames between the processes of the fleet: connections that queue what they send,
// links that connect again by themselves, and calls that are answered or time out.
package transport

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cresshub/internal/router/peerproto"
)

const (
	queueLength  = 128             // frames that wait to be sent on a connection
	writeTimeout = 2 * time.Second // of one frame
	// userTimeout ends a connection whose other machine acknowledges nothing.
	userTimeout = 2 * time.Second
	bufferSize  = 2048
)

// Conn is one connection. Send may be called by any goroutine.
type Conn struct {
	conn      net.Conn
	traffic   *trafficCounters
	queue     chan peerproto.Frame
	closed    chan struct{}
	closeOnce sync.Once

	peer string // id that the caller gave in its Hello; set by the reading goroutine
}

func newConn(c net.Conn, traffic *trafficCounters) *Conn {
	setUserTimeout(c)
	conn := &Conn{conn: c, traffic: traffic, queue: make(chan peerproto.Frame, queueLength),
		closed: make(chan struct{})}
	go conn.writeLoop()
	return conn
}

// Peer returns the id that the caller of this connection gave, "" before it did.
func (c *Conn) Peer() string { return c.peer }

// Closed is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Send queues a frame and tells whether it could. A connection whose queue is full ends, because its other
// side does not read; it starts anew from what it knows.
func (c *Conn) Send(frame peerproto.Frame) bool {
	select {
	case <-c.closed:
		return false
	case c.queue <- frame:
		return true
	default:
		c.Close()
		return false
	}
}

// Answer queues an answer to a call.
func (c *Conn) Answer(call peerproto.Frame, kind peerproto.Kind, body []byte) {
	c.Send(peerproto.Frame{Kind: kind, CallID: call.CallID, Body: body})
}

// Close ends the connection.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.conn.Close()
	})
}

func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.conn, bufferSize)
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.queue:
			count(&c.traffic.sent, &frame)
			c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := peerproto.WriteFrame(w, frame); err != nil {
				c.Close()
				return
			}
		}
	}
}

func (c *Conn) readLoop(handle func(peerproto.Frame)) {
	defer c.Close()
	r := bufio.NewReaderSize(c.conn, bufferSize)
	for {
		frame, err := peerproto.ReadFrame(r)
		if err != nil {
			return
		}
		count(&c.traffic.received, &frame)
		handle(frame)
	}
}

func setUserTimeout(c net.Conn) {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}
