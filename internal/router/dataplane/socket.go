package dataplane

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cresshub/internal/stallclock"
)

const (
	// bufferSize is the size of a read or write buffer, in bytes.
	bufferSize = 4 << 10
	// clientUnackedTimeout is how long a client's machine may leave sent bytes unacknowledged before the kernel
	// closes the connection.
	clientUnackedTimeout = 3 * time.Second
	// serverUnackedTimeout is the same for a server's machine. It is shorter because a machine that is up
	// acknowledges within milliseconds, and each request that waits for a dead one is late.
	serverUnackedTimeout = 800 * time.Millisecond
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// socket is a TCP connection that takes buffers from a pool while it reads or writes, and has none while it
// waits. The goroutine that serves it may access the buffers and the fields. Another goroutine may meanwhile
// wait in awaitReadable, set deadlines and close it. While a client's request is in flight, the field in does
// not change, because the disconnectWatcher reads it. Deadlines count only the time in which this process
// runs.
type socket struct {
	*stallclock.Conn
	raw syscall.RawConn
	in  *bufio.Reader // nil while no buffer is in use
	out *bufio.Writer // nil while no buffer is in use

	bytesSent int64 // bytes of the current message that the kernel has accepted

	extender deadlineExtender // called when the read deadline has passed; may be nil
}

// deadlineExtender decides whether a read continues after its deadline.
type deadlineExtender interface {
	// extendReadDeadline reports whether to continue reading; if so, it has set a later deadline.
	extendReadDeadline() bool
}

// newSocket returns a socket over a TCP connection. A connection without a file descriptor is an error.
func newSocket(conn net.Conn, clock *stallclock.Clock) (*socket, error) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no file descriptor; a TCP connection is required")
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{Conn: clock.Wrap(conn), raw: raw}, nil
}

// Write writes data and counts the bytes that the kernel has accepted.
func (s *socket) Write(data []byte) (int, error) {
	n, err := s.Conn.Write(data)
	s.bytesSent += int64(n)
	return n, err
}

// Read reads, and continues after the read deadline as long as the extender sets a later one.
func (s *socket) Read(data []byte) (int, error) {
	n, err := s.Conn.Read(data)
	for err != nil && s.extender != nil && errors.Is(err, os.ErrDeadlineExceeded) &&
		s.extender.extendReadDeadline() {
		n, err = s.Conn.Read(data)
	}
	return n, err
}

// reader returns the read buffer, which it takes from the pool if the socket has none.
func (s *socket) reader() *bufio.Reader {
	if s.in == nil {
		s.in = readerPool.Get().(*bufio.Reader)
		s.in.Reset(s)
	}
	return s.in
}

// writer returns the write buffer, which it takes from the pool if the socket has none.
func (s *socket) writer() *bufio.Writer {
	if s.out == nil {
		s.out = writerPool.Get().(*bufio.Writer)
		s.out.Reset(s)
	}
	return s.out
}

// returnEmptyBuffers returns the buffers that are empty to their pools. No body may be in transfer through
// them.
func (s *socket) returnEmptyBuffers() {
	if s.in != nil && s.in.Buffered() == 0 {
		s.returnReader()
	}
	if s.out != nil && s.out.Buffered() == 0 {
		s.returnWriter()
	}
}

// returnBuffers returns the buffers of a closed connection to their pools, even if they are not empty.
func (s *socket) returnBuffers() {
	if s.in != nil {
		s.returnReader()
	}
	if s.out != nil {
		s.returnWriter()
	}
}

func (s *socket) returnReader() {
	s.in.Reset(nil)
	readerPool.Put(s.in)
	s.in = nil
}

func (s *socket) returnWriter() {
	s.out.Reset(nil)
	writerPool.Put(s.out)
	s.out = nil
}

// hasBufferedInput reports whether the read buffer holds bytes that have not been consumed yet.
func (s *socket) hasBufferedInput() bool { return s.in != nil && s.in.Buffered() > 0 }

// setServerSocketOptions sets the options of a socket to a server before it connects, as net.Dialer.Control.
func setServerSocketOptions(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, serverUnackedTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return raw.Control(func(fd uintptr) {
		// Errors are ignored: without the option a connection still works, but during a network partition it
		// hangs for minutes.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
