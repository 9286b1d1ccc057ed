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
)

const (
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
	// pastDeadline is a read deadline that wakes a waiting reader.
	pastDeadline = time.Unix(1, 0)
)

// socket is a TCP connection that borrows buffers while it reads or writes; one that waits has none.
type socket struct {
	net.Conn
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

func newSocket(conn net.Conn) (*socket, error) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor; give a TCP connection")
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{Conn: conn, raw: raw}, nil
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

// quiet reports whether nothing waits to be read, neither here nor in the system: no byte and no end.
func (s *socket) quiet() bool { return !s.hasBufferedInput() && s.readState() == notReadable }

// readState is what the system's side of a connection has for a reader.
type readState int

const (
	notReadable readState = iota // neither bytes nor an end
	readable
	readClosed // the other side has ended its sending, or the connection is broken
)

// readState returns what waits in the system, and leaves it there.
func (s *socket) readState() readState {
	state := readClosed
	err := s.raw.Control(func(fd uintptr) { state = peek(fd) })
	if err != nil {
		return readClosed
	}
	return state
}

func peek(fd uintptr) readState {
	var one [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return notReadable
		case err != nil || n == 0:
			return readClosed
		default:
			return readable
		}
	}
}

// awaitReadable waits until bytes or an end can be read, and leaves them in the system. It returns
// notReadable where the read deadline passed.
func (s *socket) awaitReadable() readState {
	state := notReadable
	err := s.raw.Read(func(fd uintptr) bool {
		state = peek(fd)
		return state != notReadable
	})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return readClosed
	}
	return state
}

// controlServer sets the options of a socket to a server before it connects.
func controlServer(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, serverTimeout) }

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return raw.Control(func(fd uintptr) {
		// Without the option a connection across a partition hangs for minutes, but it works: errors are ignored.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}
