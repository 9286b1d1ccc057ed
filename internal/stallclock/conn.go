package stallclock

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection whose deadlines count only the time in which this process runs. Reads and writes
// continue after their deadline for as long as the process did not run since the deadline began. A read whose
// deadline has passed still returns input that the kernel has already received: bytes or the end of the
// connection. InterruptRead ends a read at once.
type Conn struct {
	net.Conn
	clock *Clock
	raw   syscall.RawConn // nil if the connection has no file descriptor

	mu          sync.Mutex // also held while a deadline of the wrapped connection is changed
	read        Deadline
	write       Deadline
	interrupted bool // InterruptRead was called; no read continues until the next read deadline is set
	// writeExpired says that a write was the last operation that its deadline ended.
	writeExpired bool
}

// Deadline says when a read or write ends.
type Deadline struct {
	From  time.Time // when waiting for the peer began
	At    time.Time // when the operation ends if this process runs all the time; zero for never
	Limit time.Time // when it ends even after a stall, except to read input that has arrived; zero for no limit
}

// Wrap returns a Conn over conn. From then on, no other code may set deadlines of conn.
func (c *Clock) Wrap(conn net.Conn) *Conn {
	wrapped := &Conn{Conn: conn, clock: c}
	if system, ok := conn.(syscall.Conn); ok {
		wrapped.raw, _ = system.SyscallConn() // nil if the connection is closed
	}
	return wrapped
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn returns the file descriptor of the connection, and an error if it has none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errors.New("the connection has no file descriptor")
	}
	return c.raw, nil
}

// SetDeadline sets the deadlines of reads and writes; both begin now.
func (c *Conn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// SetReadDeadline sets the deadline of reads, which begins now.
func (c *Conn) SetReadDeadline(at time.Time) error {
	return c.SetRead(Deadline{From: time.Now(), At: at})
}

// SetWriteDeadline sets the deadline of writes, which begins now.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	return c.SetWrite(Deadline{From: time.Now(), At: at})
}

// SetRead sets the deadline of reads.
func (c *Conn) SetRead(d Deadline) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read, c.interrupted, c.writeExpired = d, false, false
	return c.Conn.SetReadDeadline(d.At)
}

// SetWrite sets the deadline of writes.
func (c *Conn) SetWrite(d Deadline) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write = d
	return c.Conn.SetWriteDeadline(d.At)
}

// pastDeadline ends a read at once.
var pastDeadline = time.Unix(1, 0)

// InterruptRead ends the current read, and each further one until the next read deadline is set, with
// os.ErrDeadlineExceeded.
func (c *Conn) InterruptRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	return c.Conn.SetReadDeadline(pastDeadline)
}

// Read reads until the deadline, and continues after it for as long as the process did not run.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.ExtendReadDeadline() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// Write writes until the deadline, and continues after it for as long as the process did not run.
func (c *Conn) Write(p []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendWriteDeadline() {
			return written, err
		}
	}
}

// ExtendReadDeadline reports whether to read again after the read deadline has passed, because input has
// arrived or because this process did not run for part of the time. In that case it has set a later deadline.
func (c *Conn) ExtendReadDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted || c.read.At.IsZero() {
		return false
	}
	left := c.clock.Remaining(c.read.From, c.read.At.Sub(c.read.From))
	// Stalls up to stallThreshold are not detected. Input that is pending within that time after the deadline is
	// therefore accepted, because it may have arrived before the deadline. Later input is not, because otherwise
	// a slow sender could keep the read going forever.
	if left > -stallThreshold && c.hasPendingInput() {
		return c.Conn.SetReadDeadline(time.Now().Add(stallThreshold)) == nil
	}
	if left = c.read.bound(left); left <= 0 {
		return false
	}
	return c.Conn.SetReadDeadline(time.Now().Add(left)) == nil
}

// extendWriteDeadline is ExtendReadDeadline for writes.
func (c *Conn) extendWriteDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.write.bound(c.clock.Remaining(c.write.From, c.write.At.Sub(c.write.From)))
	c.writeExpired = left <= 0
	return left > 0 && c.Conn.SetWriteDeadline(time.Now().Add(left)) == nil
}

// TimedOut reports, after a read or write has ended with os.ErrDeadlineExceeded, whether the peer had all of
// the time until the deadline while this process was running. Otherwise the operation was ended by the limit
// or by InterruptRead, which proves nothing about the peer.
func (c *Conn) TimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, interrupted := c.read, c.interrupted
	if c.writeExpired {
		d, interrupted = c.write, false
	}
	return !interrupted && c.clock.Remaining(d.From, d.At.Sub(d.From)) <= 0
}

// bound reduces the remaining time to that until the limit, if there is one.
func (d Deadline) bound(left time.Duration) time.Duration {
	if d.Limit.IsZero() {
		return left
	}
	return min(left, time.Until(d.Limit))
}

// hasPendingInput reports whether the kernel has received bytes, or the end of the connection, that were not
// read yet.
func (c *Conn) hasPendingInput() (arrived bool) {
	if c.raw == nil {
		return false
	}
	var one [1]byte
	err := c.raw.Control(func(fd uintptr) {
		for {
			_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			arrived = !errors.Is(err, syscall.EAGAIN)
			return
		}
	})
	return err == nil && arrived
}
