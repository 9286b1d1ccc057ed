package dataplane

import (
	"errors"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

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

// peek returns what waits at a descriptor, without blocking.
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

// hungUp reports whether the other side has ended its sending or the connection is broken, also where bytes
// wait before the end.
func (s *socket) hungUp() bool {
	closed := true
	err := s.raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(polled, 0)
		closed = err == nil && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || closed
}
