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
	// bufferSize is the size of a buffer to read or write through, in bytes.
	bufferSize = 4 << 10
	// clientTimeout is how long sent bytes may stay unacknowledged by a client's machine before the system
	// ends the connection.
	clientTimeout = 3 * time.Second
	// serverTimeout is the same for a server's: a machine that is up acknowledges within milliseconds, and
	// each request that waits for a dead one is late.
	serverTimeout = 800 * time.Millisecond
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// socket is a TCP connection that borrows buffers while it reads or writes; one that waits has none. The
// goroutine that serves it may touch the buffers and the fields. Another one may meanwhile wait in
// awaitReadable, set deadlines and close it. While a client's request is in flight, in does not change, and
// the disconnectWatcher reads it. Its deadlines count only the time in which this process runs.
type socket struct {
	*stallclock.Conn
	raw syscall.RawConn
	in  *bufio.Reader // nil while none is borrowed
	out *bufio.Writer // likewise

	bytesSent int64 // bytes of the present message that the system has taken

	extender deadlineExtender // is asked when the read deadline has passed; may be nil
}

// deadlineExtender decides whether a read goes on after its deadline.
type deadlineExtender interface {
	// extendReadDeadline reports whether to read on; then it has set a later deadline.
	extendReadDeadline() bool
}

// newSocket returns a socket over a TCP connection; others have no descriptor and are an error.
func newSocket(conn net.Conn, clock *stallclock.Clock) (*socket, error) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor; give a TCP connection")
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{Conn: clock.Wrap(conn), raw: raw}, nil
}

// Write counts what the system takes.
func (s *socket) Write(data []byte) (int, error) {
	n, err := s.Conn.Write(data)
	s.bytesSent += int64(n)
	return n, err
}

// Read reads, and goes on after its deadline as long as its extender sets a later one.
func (s *socket) Read(data []byte) (int, error) {
	n, err := s.Conn.Read(data)
	for err != nil && s.extender != nil && errors.Is(err, os.ErrDeadlineExceeded) &&
		s.extender.extendReadDeadline() {
		n, err = s.Conn.Read(data)
	}
	return n, err
}

// reader borrows a buffer to read through.
func (s *socket) reader() *bufio.Reader {
	if s.in == nil {
		s.in = readerPool.Get().(*bufio.Reader)
		s.in.Reset(s)
	}
	return s.in
}

// writer borrows a buffer to write through.
func (s *socket) writer() *bufio.Writer {
	if s.out == nil {
		s.out = writerPool.Get().(*bufio.Writer)
		s.out.Reset(s)
	}
	return s.out
}

// returnEmptyBuffers returns the buffers that are empty. No body may be in transfer through them.
func (s *socket) returnEmptyBuffers() {
	if s.in != nil && s.in.Buffered() == 0 {
		s.returnReader()
	}
	if s.out != nil && s.out.Buffered() == 0 {
		s.returnWriter()
	}
}

// returnBuffers returns the buffers, whatever they contain, of a connection that is over.
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

// hasBufferedInput reports whether bytes were read that nobody has taken yet.
func (s *socket) hasBufferedInput() bool { return s.in != nil && s.in.Buffered() > 0 }

// controlServer sets the options of a socket to a server before it connects.
func controlServer(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, serverTimeout) }

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return raw.Control(func(fd uintptr) {
		// Without the option a connection across a partition hangs for minutes, but it works: errors are ignored.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
