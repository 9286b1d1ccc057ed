package simnet

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Errors that end a connection.
var (
	errReset    = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	errTimedOut = &net.OpError{Op: "write", Net: "tcp", Err: syscall.ETIMEDOUT}
)

// errWouldBlock says that an operation must wait for a change of its end of the connection, or for a time. It
// doesn't leave the package.
var errWouldBlock = errors.New("simnet: the operation would block")

// chunk is the data of one write, or of what remains of it to read; nil data is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time // when it arrives, unless a fault delays it
}

// conn is one end of a connection: open, closed or failed. Its fields from incoming on are guarded by the
// network's lock.
type conn struct {
	network  *Network
	process  *Process // that holds this end
	peer     *conn    // the other end
	local    *net.TCPAddr
	localIP  string // of this end's host
	remoteIP string // of the other end's host

	incoming      []chunk // in transit, or arrived and not read
	incomingBytes int     // in incoming
	closed        bool
	failure       error         // why the connection ended without Close
	changed       chan struct{} // closed and replaced at each change of the fields
	readDeadline  time.Time     // zero for none
	writeDeadline time.Time     // zero for none
	resetOnClose  bool          // Close resets the connection
	ackTimer      *time.Timer   // ends the connection unless sent data is acknowledged before
}

// wake wakes all goroutines that wait on this end. The lock is held.
func (c *conn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ended reports whether this end is closed or has failed. The lock is held.
func (c *conn) ended() bool { return c.closed || c.failure != nil }

// reaches reports whether what is sent here is acknowledged. The lock is held.
func (c *conn) reaches() bool {
	return c.network.passes(c.localIP, c.remoteIP) && c.network.passes(c.remoteIP, c.localIP)
}

// fail ends this end with an error. The lock is held.
func (c *conn) fail(err error) {
	if c.ended() {
		return
	}
	c.failure = err
	c.release()
}

// abort closes this end with a reset, which may be lost. The lock is held.
func (c *conn) abort() {
	if c.closed {
		return
	}
	c.closed = true
	c.release()
	if c.network.passes(c.localIP, c.remoteIP) {
		c.peer.fail(errReset)
	}
}

// release wakes all goroutines that wait here, and removes the connection once both ends have ended. The lock
// is held.
func (c *conn) release() {
	if c.ackTimer != nil {
		c.ackTimer.Stop()
		c.ackTimer = nil
	}
	c.wake()
	if c.peer.ended() {
		delete(c.network.conns, c)
		delete(c.network.conns, c.peer)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.process.awaitThaw()
	defer c.process.awaitThaw()
	for {
		c.network.mu.Lock()
		count, err := c.receive(p)
		wait, changed := c.untilReadable(), c.changed
		c.network.mu.Unlock()
		if !errors.Is(err, errWouldBlock) {
			return count, err
		}
		waitFor(changed, wait)
	}
}

// receive reads what has arrived, or returns errWouldBlock. The lock is held.
func (c *conn) receive(p []byte) (int, error) {
	now := time.Now()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.failure != nil:
		return 0, c.failure
	case expired(c.readDeadline, now):
		return 0, os.ErrDeadlineExceeded
	case !c.hasIncoming() || c.incoming[0].due.After(now):
		return 0, errWouldBlock
	case c.incoming[0].data == nil:
		return 0, io.EOF
	}
	first := &c.incoming[0]
	count := copy(p, first.data)
	if first.data = first.data[count:]; len(first.data) == 0 {
		c.incoming = c.incoming[1:]
	}
	c.incomingBytes -= count
	c.peer.wake()
	return count, nil
}

// hasIncoming reports whether something has arrived or will without a further change. The lock is held.
func (c *conn) hasIncoming() bool {
	return len(c.incoming) > 0 && c.network.passes(c.remoteIP, c.localIP)
}

// untilReadable returns how long a read that would block waits without a change, 0 without limit. The lock is
// held.
func (c *conn) untilReadable() time.Duration {
	now := time.Now()
	wait := until(c.readDeadline, now)
	if c.hasIncoming() {
		return sooner(wait, c.incoming[0].due.Sub(now))
	}
	return wait
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.process.awaitThaw()
	for {
		c.network.mu.Lock()
		err := c.send(p)
		wait, changed := until(c.writeDeadline, time.Now()), c.changed
		c.network.mu.Unlock()
		switch {
		case err == nil:
			return len(p), nil
		case !errors.Is(err, errWouldBlock):
			return 0, err
		}
		waitFor(changed, wait)
	}
}

// send sends all of p, or returns errWouldBlock where the window has no space for it. The lock is held.
func (c *conn) send(p []byte) error {
	now := time.Now()
	switch {
	case c.closed:
		return net.ErrClosed
	case c.failure != nil:
		return c.failure
	case expired(c.writeDeadline, now):
		return os.ErrDeadlineExceeded
	case c.network.faulty(c.localIP, c.remoteIP, Refuse) || c.network.faulty(c.localIP, c.remoteIP, Reset):
		c.peer.fail(errReset)
		c.fail(errReset)
		return errReset
	case c.peer.ended() && c.reaches():
		c.fail(errReset)
		return errReset
	}
	c.startAckTimer()
	if c.peer.incomingBytes > 0 && c.peer.incomingBytes+len(p) > window {
		return errWouldBlock
	}
	sent := append([]byte{}, p...) // never nil, which would be the end of the stream
	c.peer.arrive(sent, now.Add(c.network.delay(c.localIP, c.remoteIP)))
	return nil
}

// arrive queues data, nil for the end of the stream, behind what was sent before. The lock is held.
func (c *conn) arrive(data []byte, due time.Time) {
	c.incoming = append(c.incoming, chunk{data, due})
	c.incomingBytes += len(data)
	c.wake()
}

// startAckTimer ends the connection after userTimeout unless what it sends is acknowledged by then. The lock
// is held.
func (c *conn) startAckTimer() {
	if c.ackTimer != nil || c.reaches() {
		return
	}
	c.ackTimer = time.AfterFunc(userTimeout, func() {
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		c.ackTimer = nil
		if !c.reaches() {
			c.fail(errTimedOut)
		}
	})
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return nil
	}
	if c.resetOnClose {
		c.dropInTransit()
		c.abort()
		return nil
	}
	if c.failure == nil {
		c.peer.arrive(nil, time.Now().Add(c.network.delay(c.localIP, c.remoteIP)))
	}
	c.closed = true
	c.release()
	return nil
}

// SetLinger has Close reset the connection and drop what has not arrived, where seconds is 0.
func (c *conn) SetLinger(seconds int) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.resetOnClose = seconds == 0
	return nil
}

// dropInTransit drops what a fault delays in transit to the other end. The lock is held.
func (c *conn) dropInTransit() {
	if !c.network.passes(c.localIP, c.remoteIP) {
		c.peer.incoming, c.peer.incomingBytes = nil, 0
	}
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.peer.local }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	c.setDeadlines(at, &c.readDeadline, &c.writeDeadline)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.setDeadlines(at, &c.readDeadline)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.setDeadlines(at, &c.writeDeadline)
	return nil
}

// setDeadlines sets deadlines of this end.
func (c *conn) setDeadlines(at time.Time, deadlines ...*time.Time) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for _, deadline := range deadlines {
		*deadline = at
	}
	c.wake()
}

// expired reports whether there is a deadline and it has passed.
func expired(deadline, now time.Time) bool { return !deadline.IsZero() && !deadline.After(now) }

// until returns the time to a deadline, 0 without one.
func until(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return deadline.Sub(now)
}

// sooner returns the shorter of two waits, where 0 is without limit.
func sooner(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// waitFor waits for a change, for at most a limit unless that is 0.
func waitFor(changed <-chan struct{}, limit time.Duration) {
	if limit == 0 {
		<-changed
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}
