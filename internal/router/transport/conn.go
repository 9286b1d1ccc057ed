package transport

import (
	"bufio"
	"net"
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
)

const (
	queueLength  = 128             // frames that may wait to be sent on a connection
	writeTimeout = 2 * time.Second // of one frame
	bufferSize   = 2048            // bytes, of each direction of a connection
)

// Conn is one connection, open until Close, a failed read or write, or a full queue. Its methods may be
// called by any goroutine, except Peer.
type Conn struct {
	netConn   net.Conn
	traffic   *trafficCounters
	queue     chan peerproto.Frame // to writeLoop
	closed    chan struct{}
	closeOnce sync.Once

	peer string // the id in the caller's Hello; only for the goroutine of readLoop
}

// newConn returns a connection and starts its writeLoop. The caller runs readLoop.
func newConn(netConn net.Conn, traffic *trafficCounters) *Conn {
	setUserTimeout(netConn)
	conn := &Conn{
		netConn: netConn,
		traffic: traffic,
		queue:   make(chan peerproto.Frame, queueLength),
		closed:  make(chan struct{}),
	}
	go conn.writeLoop()
	return conn
}

// Peer returns the id that the caller gave in its Hello, "" before it did. It may be called by the methods of
// a Handler.
func (c *Conn) Peer() string { return c.peer }

// Closed returns a channel that is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Send queues a frame and reports whether it could; it never blocks. A connection whose queue is full is
// closed, because its other side does not read: the peers then start again from their state, and not from a
// backlog.
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

// Answer queues the answer to a call, as Send does.
func (c *Conn) Answer(call peerproto.Frame, kind peerproto.Kind, body []byte) {
	c.Send(peerproto.Frame{Kind: kind, CallID: call.CallID, Body: body})
}

// Close ends the connection and its goroutines.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.netConn.Close()
	})
}

// writeLoop writes the queued frames until the connection is closed or a write fails.
func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.netConn, bufferSize)
	for {
		select {
		case <-c.closed:
			return
		case frame := <-c.queue:
			if frame.CheckLength() != nil {
				c.traffic.tooLong.Add(1) // nothing of it is written: the connection serves other frames
				continue
			}
			c.traffic.sent.count(&frame) // before the write, so that who has the answer finds it counted
			c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := peerproto.WriteFrame(w, frame); err != nil {
				c.Close()
				return
			}
		}
	}
}

// readLoop passes the frames that come to handle until the connection ends, and closes it.
func (c *Conn) readLoop(handle func(peerproto.Frame)) {
	defer c.Close()
	r := bufio.NewReaderSize(c.netConn, bufferSize)
	for {
		frame, err := peerproto.ReadFrame(r)
		if err != nil {
			return
		}
		c.traffic.received.count(&frame)
		handle(frame)
	}
}
