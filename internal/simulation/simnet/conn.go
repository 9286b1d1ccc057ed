package simnet

import (
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

// chunk is the data of one write; without bytes it is the end of the stream.
type chunk struct {
	bytes []byte
	due   time.Time // when it arrives, unless a fault delays it
}

// conn is one end of a connection. Its fields from incoming on are guarded by the network's lock.
type conn struct {
	network  *Network
	process  *Process
	peer     *conn
	local    *net.TCPAddr
	from, to string // IPs of this end's host and the other's

	incoming      []chunk
	incomingBytes int
	closed        bool
	failure       error         // why the connection ended without Close
	changed       chan struct{} // closed and replaced at each change of the fields
	readDeadline  time.Time
	writeDeadline time.Time
	resetOnClose  bool        // Close resets the connection
	ackTimer      *time.Timer // ends the connection unless sent data is acknowledged before
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
	return c.network.passes(c.from, c.to) && c.network.passes(c.to, c.from)
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
	if c.network.passes(c.from, c.to) {
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
	for {
		c.network.mu.Lock()
		count, wait, done, err := c.receive(p)
		changed := c.changed
		c.network.mu.Unlock()
		if done {
			return count, err
		}
		waitFor(changed, wait)
	}
}

// receive reads what has arrived, or returns how long to wait for more, 0 without limit. The lock is held.
func (c *conn) receive(p []byte) (count int, wait time.Duration, done bool, err error) {
	now := time.Now()
	switch {
	case c.closed:
		return 0, 0, true, net.ErrClosed
	case c.failure != nil:
		return 0, 0, true, c.failure
	case expired(c.readDeadline, now):
		return 0, 0, true, os.ErrDeadlineExceeded
	}
	wait = until(c.readDeadline, now)
	if len(c.incoming) == 0 || !c.network.passes(c.to, c.from) {
		return 0, wait, false, nil
	}
	first := &c.incoming[0]
	if first.due.After(now) {
		return 0, sooner(wait, first.due.Sub(now)), false, nil
	}
	if first.bytes == nil {
		return 0, 0, true, io.EOF
	}
	count = copy(p, first.bytes)
	if first.bytes = first.bytes[count:]; len(first.bytes) == 0 {
		c.incoming = c.incoming[1:]
	}
	c.incomingBytes -= count
	c.peer.wake()
	return count, 0, true, nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	for {
		c.network.mu.Lock()
		wait, done, err := c.send(p)
		changed := c.changed
		c.network.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if done {
			return len(p), nil
		}
		waitFor(changed, wait)
	}
}

// send sends all of p, or returns how long to wait for space in the window, 0 without limit. The lock is
// held.
func (c *conn) send(p []byte) (wait time.Duration, done bool, err error) {
	now := time.Now()
	switch {
	case c.closed:
		return 0, false, net.ErrClosed
	case c.failure != nil:
		return 0, false, c.failure
	case expired(c.writeDeadline, now):
		return 0, false, os.ErrDeadlineExceeded
	case c.network.faulty(c.from, c.to, Refuse) || c.network.faulty(c.from, c.to, Reset):
		c.peer.fail(errReset)
		c.fail(errReset)
		return 0, false, errReset
	case c.peer.ended() && c.reaches():
		c.fail(errReset)
		return 0, false, errReset
	}
	c.startAckTimer()
	if c.peer.incomingBytes > 0 && c.peer.incomingBytes+len(p) > window {
		return until(c.writeDeadline, now), false, nil
	}
	c.peer.arrive(append([]byte{}, p...), now.Add(c.network.delay(c.from, c.to)))
	return 0, true, nil
}

// arrive queues bytes, nil for the end of the stream, behind those that were sent before. The lock is held.
func (c *conn) arrive(bytes []byte, due time.Time) {
	c.incoming = append(c.incoming, chunk{bytes, due})
	c.incomingBytes += len(bytes)
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
		c.peer.arrive(nil, time.Now().Add(c.network.delay(c.from, c.to)))
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
	if !c.network.passes(c.from, c.to) {
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
