package stallclock

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection whose deadlines count only the time in which this process runs. A read whose
// deadline has passed first takes what the system has of the other side, bytes or an end; and reads and
// writes go on for as long as the process did not run since their deadline began. Wake ends a read at once.
type Conn struct {
	net.Conn
	clock *Clock
	raw   syscall.RawConn // nil where the connection has no descriptor

	mu    sync.Mutex // also held while a deadline of the connection is changed
	read  Deadline
	write Deadline
	woken bool // no read goes on until the next deadline of reads is set
	// writeEnded says that the last one that ended by its deadline was a write.
	writeEnded bool
}

// Deadline is when a read or write ends.
type Deadline struct {
	From  time.Time // since when the other side is waited for
	At    time.Time // when it ends if this process runs all the time; zero for never
	Limit time.Time // when it ends in any case, but for what has come until then; zero for no such limit
}

// Wrap returns a connection over conn, which nobody else sets deadlines of from then on.
func (c *Clock) Wrap(conn net.Conn) *Conn {
	wrapped := &Conn{Conn: conn, clock: c}
	if system, ok := conn.(syscall.Conn); ok {
		wrapped.raw, _ = system.SyscallConn() // nil if the connection is closed
	}
	return wrapped
}

// NetConn returns the connection that was wrapped.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn returns the descriptor of the connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errors.New("the connection has no descriptor")
	}
	return c.raw, nil
}

// SetDeadline sets both deadlines, which begin now.
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
	c.read, c.woken, c.writeEnded = d, false, false
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

// Wake ends the present read, and each further one until a deadline of reads is set, with
// os.ErrDeadlineExceeded.
func (c *Conn) Wake() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	return c.Conn.SetReadDeadline(pastDeadline)
}

// Read reads what has come until the deadline, and goes on after it for as long as the process did not run.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.ExtendRead() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// Write writes, and goes on after the deadline for as long as the process did not run.
func (c *Conn) Write(p []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendWrite() {
			return written, err
		}
	}
}

// ExtendRead reports whether to read again after the deadline of reads has passed: something has come, or
// this process did not run for some of the time. It then has set a later deadline.
func (c *Conn) ExtendRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.woken || c.read.At.IsZero() {
		return false
	}
	left := c.clock.Remaining(c.read.From, c.read.At.Sub(c.read.From))
	// A stall below the threshold is not known: what has come within that time counts, as it may have come
	// before the deadline. More does not, or a slow sender could go on forever.
	if left > -threshold && c.hasArrived() {
		return c.Conn.SetReadDeadline(time.Now().Add(threshold)) == nil
	}
	if left = c.read.bound(left); left <= 0 {
		return false
	}
	return c.Conn.SetReadDeadline(time.Now().Add(left)) == nil
}

// extendWrite is ExtendRead for writes.
func (c *Conn) extendWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.write.bound(c.clock.Remaining(c.write.From, c.write.At.Sub(c.write.From)))
	c.writeEnded = left <= 0
	return left > 0 && c.Conn.SetWriteDeadline(time.Now().Add(left)) == nil
}

// TimedOut reports, after a read or write has ended with os.ErrDeadlineExceeded, whether the other side had
// all of the time until the deadline, with this process running. Else it ended by the limit or by Wake,
// which proves nothing.
func (c *Conn) TimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, woken := c.read, c.woken
	if c.writeEnded {
		d, woken = c.write, false
	}
	return !woken && c.clock.Remaining(d.From, d.At.Sub(d.From)) <= 0
}

// bound bounds the time that is left by the limit.
func (d Deadline) bound(left time.Duration) time.Duration {
	if d.Limit.IsZero() {
		return left
	}
	return min(left, time.Until(d.Limit))
}

// hasArrived reports whether bytes or an end of the other side wait in the system.
func (c *Conn) hasArrived() (arrived bool) {
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
