// Package connbuffer gives a network connection fixed buffers: one ring buffer for each direction, and bufio
// on top of them. The memory of a connection is allocated when it opens and never grows.
//
// At most one goroutine reads a Conn, and at most one writes it. LastReceived and SocketQuiet may be called
// by any goroutine.
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

// Size is the capacity of one ring buffer in bytes.
const Size = 4096

// Buffer is a ring buffer. The zero value has no capacity; use New.
type Buffer struct {
	storage []byte
	start   int // index of the oldest byte in storage
	length  int // number of buffered bytes
}

// New returns an empty Buffer with a capacity of size bytes.
func New(size int) *Buffer { return &Buffer{storage: make([]byte, size)} }

// Len returns the number of buffered bytes.
func (b *Buffer) Len() int { return b.length }

// Free returns the number of bytes that still fit.
func (b *Buffer) Free() int { return len(b.storage) - b.length }

// Append copies as much of p as fits and returns the number of bytes copied.
func (b *Buffer) Append(p []byte) int {
	n := 0
	for n < len(p) && b.Free() > 0 {
		c := copy(b.freeSpace(), p[n:])
		b.length += c
		n += c
	}
	return n
}

// Consume moves up to len(p) of the oldest bytes into p and returns their number.
func (b *Buffer) Consume(p []byte) int {
	n := 0
	for n < len(p) && b.length > 0 {
		c := copy(p[n:], b.contiguous())
		b.discard(c)
		n += c
	}
	return n
}

// Fill calls r.Read once, with the free space up to the end of the storage or the oldest byte.
func (b *Buffer) Fill(r io.Reader) (int, error) {
	n, err := r.Read(b.freeSpace())
	b.length += n
	return n, err
}

// Drain writes the buffered bytes to w. Bytes that w did not accept stay buffered.
func (b *Buffer) Drain(w io.Writer) error {
	for b.length > 0 {
		n, err := w.Write(b.contiguous())
		b.discard(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// contiguous returns the oldest buffered bytes, up to the end of the storage.
func (b *Buffer) contiguous() []byte { return b.storage[b.start:min(b.start+b.length, len(b.storage))] }

// freeSpace returns the free space after the newest byte, up to the end of the storage or the oldest byte.
func (b *Buffer) freeSpace() []byte {
	end := b.start + b.length
	if end >= len(b.storage) {
		end -= len(b.storage)
		return b.storage[end:b.start]
	}
	return b.storage[end:]
}

func (b *Buffer) discard(n int) {
	b.length -= n
	b.start = (b.start + n) % len(b.storage)
	if b.length == 0 {
		b.start = 0 // the next Fill gets the full capacity at once
	}
}

// source is the read side of a connection. It retains the first error, because the kernel reports a reset
// only once and an end of file from then on.
type source struct {
	ring         *Buffer
	conn         net.Conn
	lastReceived atomic.Int64          // when bytes were last received, Unix time in ns
	failure      atomic.Pointer[error] // first error of a Read or of a peek at the socket
}

func (s *source) Read(p []byte) (int, error) {
	if s.ring.Len() > 0 {
		return s.ring.Consume(p), nil
	}
	if len(p) > len(s.ring.storage) { // a read of more than the ring's capacity bypasses it
		return s.recordRead(s.conn.Read(p))
	}
	n, err := s.recordRead(s.ring.Fill(s.conn))
	if n == 0 {
		return 0, err
	}
	return s.ring.Consume(p), nil
}

// recordRead records when bytes were received. If there are none, it returns the retained error or, without
// one, retains err unless it is an end of file or an expired deadline.
func (s *source) recordRead(n int, err error) (int, error) {
	if n > 0 {
		s.lastReceived.Store(time.Now().UnixNano())
		return n, err
	}
	if failure := s.failure.Load(); failure != nil {
		return 0, *failure
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		failure := err // a copy, so that only this path allocates
		s.failure.Store(&failure)
	}
	return 0, err
}

// recordPeek retains the error of a peek at the socket.
func (s *source) recordPeek(err error) {
	if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		failure := err
		s.failure.CompareAndSwap(nil, &failure)
	}
}

// sink is the write side of a connection. A write of more than the ring's capacity drains the ring and then
// bypasses it.
type sink struct {
	ring *Buffer
	conn net.Conn
}

func (s sink) Write(p []byte) (int, error) {
	if len(p) > len(s.ring.storage) {
		if err := s.ring.Drain(s.conn); err != nil {
			return 0, err
		}
		return s.conn.Write(p)
	}
	n := s.ring.Append(p)
	for n < len(p) {
		if err := s.ring.Drain(s.conn); err != nil {
			return n, err
		}
		n += s.ring.Append(p[n:])
	}
	return n, nil
}

// Conn is a network connection that is read and written through its two ring buffers.
type Conn struct {
	net.Conn
	In  *bufio.Reader // reads through the ring buffer of received bytes
	Out *bufio.Writer // writes to the ring buffer of bytes to send; see Flush
	in  *source
	out *Buffer

	peeker *peeker // created on first use
}

// NewConn returns a Conn with empty buffers around c.
func NewConn(c net.Conn) *Conn {
	in, out := &source{ring: New(Size), conn: c}, New(Size)
	return &Conn{
		Conn: c, in: in, out: out,
		In:  bufio.NewReaderSize(in, Size),
		Out: bufio.NewWriterSize(sink{out, c}, Size/4),
	}
}

// LastReceived returns when bytes were last received, or the zero time if none were. Any goroutine may call
// it.
func (c *Conn) LastReceived() time.Time {
	if n := c.in.lastReceived.Load(); n > 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// TCP returns the underlying TCP connection, also where a wrapper with a NetConn method holds it. It returns
// false if the connection is not TCP.
func (c *Conn) TCP() (*net.TCPConn, bool) {
	inner := c.Conn
	if wrapped, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = wrapped.NetConn()
	}
	tcp, ok := inner.(*net.TCPConn)
	return tcp, ok
}

// HasBuffered reports whether bytes were read from the socket and not yet consumed.
func (c *Conn) HasBuffered() bool { return c.In.Buffered() > 0 || c.in.ring.Len() > 0 }

// Quiet reports whether a read would wait: neither the buffers nor the socket have bytes, and the socket
// reports neither an end of file nor an error.
func (c *Conn) Quiet() bool { return !c.HasBuffered() && c.SocketQuiet() }

// AwaitReadable waits until bytes, an end of file or an error can be read, and consumes nothing: SocketQuiet
// returns false until Read is called. It observes the read deadline, but returns nil if the socket is
// readable when the deadline has passed, because data may have arrived in time and this goroutine have been
// scheduled only after the deadline.
func (c *Conn) AwaitReadable() error {
	if c.HasBuffered() {
		return nil
	}
	p, err := c.socketPeeker()
	if p == nil {
		return err // a connection without a descriptor can be waited for only by Read
	}
	if err = p.raw.Read(p.isReadable); errors.Is(err, os.ErrDeadlineExceeded) && !c.SocketQuiet() {
		return nil
	}
	return err
}

// SocketQuiet reports whether a read of the socket would wait: the socket has no bytes and reports neither an
// end of file nor an error. It ignores the buffers, and returns true for a connection without a descriptor.
// It consumes nothing, so another goroutine may be in Read.
func (c *Conn) SocketQuiet() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	// raw.Read would return on an expired deadline without checking the socket; raw.Control does not.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, syscall.EAGAIN)
		c.in.recordPeek(err)
	})
	return err == nil && wouldBlock
}

// PeerClosed reports whether the peer has closed its sending side or reset the connection, even while earlier
// bytes are still unread. It consumes nothing. Only the goroutine that reads may call it.
func (c *Conn) PeerClosed() bool {
	p, err := c.socketPeeker()
	if p == nil {
		return err != nil
	}
	err = p.raw.Control(p.checkClosed)
	return err != nil || p.peerClosed
}

// socketPeeker returns the peeker of the connection, or nil if the connection has no descriptor.
func (c *Conn) socketPeeker() (*peeker, error) {
	if c.peeker == nil {
		s, ok := c.Conn.(syscall.Conn)
		if !ok {
			return nil, nil
		}
		raw, err := s.SyscallConn()
		if err != nil {
			return nil, err
		}
		c.peeker = &peeker{raw: raw, in: c.in}
		// stored once, since each evaluation of a method value allocates
		c.peeker.checkClosed, c.peeker.isReadable = c.peeker.detectClosed, c.peeker.detectReadable
	}
	return c.peeker, nil
}

// peeker checks a socket without consuming data. A Conn retains its peeker, so that a peek allocates nothing.
type peeker struct {
	raw         syscall.RawConn
	in          *source
	checkClosed func(fd uintptr)      // detectClosed
	isReadable  func(fd uintptr) bool // detectReadable
	buffer      [1]byte
	pollFDs     [1]unix.PollFd
	peerClosed  bool // result of the last checkClosed
}

// detectClosed sets peerClosed.
func (p *peeker) detectClosed(fd uintptr) {
	n, _, err := syscall.Recvfrom(int(fd), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	p.in.recordPeek(err)
	p.peerClosed = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN) &&
		!errors.Is(err, syscall.EINTR)
	if n > 0 { // the peer may have closed after unread bytes
		p.pollFDs[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
		n, err := unix.Poll(p.pollFDs[:], 0)
		p.peerClosed = err == nil && n > 0 && p.pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}

// detectReadable reports whether a read would return at once, with bytes, an end of file or an error.
func (p *peeker) detectReadable(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	for errors.Is(err, syscall.EINTR) {
		_, _, err = syscall.Recvfrom(int(fd), p.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	p.in.recordPeek(err)
	return !errors.Is(err, syscall.EAGAIN)
}

// Flush writes all buffered bytes to the socket. If it returns an error, the last byte written to Out since
// the previous Flush has not left this process.
func (c *Conn) Flush() error {
	if err := c.Out.Flush(); err != nil {
		return err
	}
	return c.out.Drain(c.Conn)
}
