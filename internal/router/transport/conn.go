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
	writeTimeout = 2 * time.Second // for writing one frame
	bufferSize   = 2048            // bytes, for each direction of a connection
)

// Conn is a connection that stays open until Close is called, a read or write fails, or its queue is full.
// Its methods may be called from any goroutine, except Peer.
type Conn struct {
	netConn   net.Conn
	traffic   *trafficCounters
	queue     chan peerproto.Frame // read by writeLoop
	closed    chan struct{}
	closeOnce sync.Once

	peer string // the id in the caller's Hello; used only by the goroutine of readLoop
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

// Peer returns the id that the caller gave in its Hello, "" before the Hello. Only the methods of a Handler
// may call it.
func (c *Conn) Peer() string { return c.peer }

// Closed returns a channel that is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Send queues a frame and reports whether it was queued; it never blocks. If the queue is full, the
// connection is closed, because the peer does not read: on a new connection, both sides start from their
// current state instead of a backlog.
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

// Answer queues the answer to a call; like Send, it never blocks.
func (c *Conn) Answer(call peerproto.Frame, kind peerproto.Kind, body []byte) {
	c.Send(peerproto.Frame{Kind: kind, CallID: call.CallID, Body: body})
}

// Close closes the connection and stops its goroutines.
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
				c.traffic.tooLong.Add(1) // nothing is written, so that the connection stays usable
				continue
			}
			c.traffic.sent.count(&frame) // before the write, so that it is counted once the answer is there
			c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := peerproto.WriteFrame(w, frame); err != nil {
				c.Close()
				return
			}
		}
	}
}

// readLoop passes each received frame to handle until the connection ends, and then closes it.
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
