package dataplane

import (
	"errors"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasNoPendingInput reports whether there is nothing to read, neither bytes nor the end of the stream, in the
// buffer or in the kernel.
func (s *socket) hasNoPendingInput() bool {
	return !s.hasBufferedInput() && s.readState() == notReadable
}

// readState is what a read from the kernel would find on a connection.
type readState int

const (
	notReadable readState = iota // neither bytes nor the end of the stream: a read would block
	readable                     // bytes are available
	readClosed                   // the other side has closed its sending direction, or the connection is broken
)

// readState returns what a read from the kernel would find, without consuming it.
func (s *socket) readState() readState {
	state := readClosed
	err := s.raw.Control(func(fd uintptr) { state = peek(fd) })
	if err != nil {
		return readClosed
	}
	return state
}

// peek returns what a read from a file descriptor would find, without blocking and without consuming it.
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

// awaitReadable waits until bytes or the end of the stream can be read, without consuming them. It returns
// notReadable if the read deadline passed first.
func (s *socket) awaitReadable() readState {
	for {
		state := notReadable
		err := s.raw.Read(func(fd uintptr) bool {
			state = peek(fd)
			return state != notReadable
		})
		switch {
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return readClosed
		case state != notReadable || !s.ExtendReadDeadline():
			return state
		}
	}
}

// hungUp reports whether the other side has closed its sending direction or the connection is broken, even if
// bytes that have not been read yet precede the end.
func (s *socket) hungUp() bool {
	closed := true
	err := s.raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(polled, 0)
		closed = err == nil && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || closed
}
