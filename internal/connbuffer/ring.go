// Package connbuffer holds the fixed buffers of a connection: one ring for each direction, and bufio on top
// of them. A connection's memory is set when it opens and never grows.
package connbuffer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Size is the room of one ring in bytes; it also bounds a header line, which bufio must hold whole.
const Size = 4096

// Buffer is a ring of bytes. The zero value has no room; use New.
type Buffer struct {
	room  []byte
	start int // of the oldest byte
	held  int
}

// New returns an empty Buffer with room for size bytes.
func New(size int) *Buffer { return &Buffer{room: make([]byte, size)} }

// Len is the number of bytes held.
func (b *Buffer) Len() int { return b.held }

// Free is the number of bytes that still fit.
func (b *Buffer) Free() int { return len(b.room) - b.held }

// Put copies in what fits of p and returns how much that was.
func (b *Buffer) Put(p []byte) int {
	n := 0
	for n < len(p) && b.Free() > 0 {
		c := copy(b.gap(), p[n:])
		b.held += c
		n += c
	}
	return n
}

// Take moves out up to len(p) bytes, the oldest first, and returns how many.
func (b *Buffer) Take(p []byte) int {
	n := 0
	for n < len(p) && b.held > 0 {
		c := copy(p[n:], b.run())
		b.drop(c)
		n += c
	}
	return n
}

// Fill reads once from r into the free room.
func (b *Buffer) Fill(r io.Reader) (int, error) {
	n, err := r.Read(b.gap())
	b.held += n
	return n, err
}

// Drain writes all that is held to w. What w did not take stays.
func (b *Buffer) Drain(w io.Writer) error {
	for b.held > 0 {
		n, err := w.Write(b.run())
		b.drop(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// run is the oldest bytes as far as they lie in one piece, gap the free room likewise.
func (b *Buffer) run() []byte { return b.room[b.start:min(b.start+b.held, len(b.room))] }

func (b *Buffer) gap() []byte {
	end := b.start + b.held
	if end >= len(b.room) {
		end -= len(b.room)
		return b.room[end:b.start]
	}
	return b.room[end:]
}

func (b *Buffer) drop(n int) {
	b.held -= n
	b.start = (b.start + n) % len(b.room)
	if b.held == 0 {
		b.start = 0 // whole again: the next Fill gets all the room in one piece
	}
}

// source is what is read of a connection. The system tells of a reset once, and from then on of an end, so
// what broke the connection is kept.
type source struct {
	ring  *Buffer
	conn  net.Conn
	heard atomic.Int64          // when bytes last came, as Unix time in nanoseconds
	broke atomic.Pointer[error] // set by whoever meets it: Read, or a look at the system
}

func (s *source) Read(p []byte) (int, error) {
	if s.ring.Len() > 0 {
		return s.ring.Take(p), nil
	}
	if len(p) > len(s.ring.room) { // a large piece of a body needs no ring between
		return s.hear(s.conn.Read(p))
	}
	n, err := s.hear(s.ring.Fill(s.conn))
	if n == 0 {
		return 0, err
	}
	return s.ring.Take(p), nil
}

func (s *source) hear(n int, err error) (int, error) {
	if n > 0 {
		s.heard.Store(time.Now().UnixNano())
		return n, err
	}
	if broke := s.broke.Load(); broke != nil {
		return 0, *broke
	}
	if err != nil && err != io.EOF && !errors.Is(err, os.ErrDeadlineExceeded) {
		broke := err // a variable of its own costs an allocation here alone
		s.broke.Store(&broke)
	}
	return 0, err
}

// looked notes what a look at the system met.
func (s *source) looked(err error) {
	if err != nil && err != syscall.EAGAIN && err != syscall.EINTR {
		broke := err
		s.broke.CompareAndSwap(nil, &broke)
	}
}

type sink struct {
	ring *Buffer
	conn net.Conn
}

func (s sink) Write(p []byte) (int, error) {
	if len(p) > len(s.ring.room) {
		if err := s.ring.Drain(s.conn); err != nil {
			return 0, err
		}
		return s.conn.Write(p)
	}
	n := s.ring.Put(p)
	for n < len(p) {
		if err := s.ring.Drain(s.conn); err != nil {
			return n, err
		}
		n += s.ring.Put(p[n:])
	}
	return n, nil
}

// Conn is a network connection that is read and written through its two rings.
type Conn struct {
	net.Conn
	In  *bufio.Reader
	Out *bufio.Writer
	in  *source
	out *Buffer

	look *look // nil until somebody asks
}

// NewConn lays rings and bufio around c.
func NewConn(c net.Conn) *Conn {
	in, out := &source{ring: New(Size), conn: c}, New(Size)
	return &Conn{
		Conn: c, in: in, out: out,
		In:  bufio.NewReaderSize(in, Size),
		Out: bufio.NewWriterSize(sink{out, c}, Size/4),
	}
}

// Heard is when bytes last came; the zero time where none did. Any goroutine may ask.
func (c *Conn) Heard() time.Time {
	if n := c.in.heard.Load(); n > 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// Waits tells whether bytes were read that nobody has taken yet.
func (c *Conn) Waits() bool { return c.In.Buffered() > 0 || c.in.ring.Len() > 0 }

// Quiet tells whether nothing waits to be read, neither here nor in the system: no byte and no end.
func (c *Conn) Quiet() bool { return !c.Waits() && c.Still() }

// Await returns once there is something to read, be it an end, and takes nothing of it out of the system:
// until Read is called Still sees it. It heeds the read deadline, but what is there when that is over counts:
// this goroutine may have its turn later than both.
func (c *Conn) Await() error {
	if c.Waits() {
		return nil
	}
	l, err := c.looks()
	if l == nil {
		return err // of a connection that has no descriptor Read itself has to wait
	}
	if err = l.raw.Read(l.ready); errors.Is(err, os.ErrDeadlineExceeded) && !c.Still() {
		return nil
	}
	return err
}

// Still tells whether nothing waits in the system. It does not touch what was read, so another goroutine may
// sit in Read.
func (c *Conn) Still() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Control and not Read, which looks at the deadline first and then not at the bytes.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		c.in.looked(err)
	})
	return err == nil && quiet
}

// Left tells whether the other side has ended its sending or broken off, also where what it sent before still
// waits to be read. Like Still it leaves that where it is. One goroutine may ask, the one that reads.
func (c *Conn) Left() bool {
	l, err := c.looks()
	if l == nil {
		return err != nil
	}
	err = l.raw.Control(l.at)
	return err != nil || l.left
}

// looks returns what Left and Await need; nil where the connection has no descriptor.
func (c *Conn) looks() (*look, error) {
	if c.look == nil {
		s, ok := c.Conn.(syscall.Conn)
		if !ok {
			return nil, nil
		}
		raw, err := s.SyscallConn()
		if err != nil {
			return nil, err
		}
		c.look = &look{raw: raw, in: c.in}
		c.look.at, c.look.ready = c.look.find, c.look.there // once, for each costs an allocation
	}
	return c.look, nil
}

// look is kept so that a look costs no allocation.
type look struct {
	raw   syscall.RawConn
	in    *source
	at    func(fd uintptr)
	ready func(fd uintptr) bool
	room  [1]byte
	ends  [1]unix.PollFd
	left  bool
}

func (l *look) find(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), l.room[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	l.in.looked(err)
	l.left = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	if n > 0 { // the end may stand behind what waits
		l.ends[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
		n, err := unix.Poll(l.ends[:], 0)
		l.left = err == nil && n > 0 && l.ends[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}

func (l *look) there(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), l.room[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	for err == syscall.EINTR {
		_, _, err = syscall.Recvfrom(int(fd), l.room[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	l.in.looked(err)
	return err != syscall.EAGAIN
}

// Flush hands everything written so far to the system. After an error the last byte of what was
// written since the previous Flush has not left this process.
func (c *Conn) Flush() error {
	if err := c.Out.Flush(); err != nil {
		return err
	}
	return c.out.Drain(c.Conn)
}
