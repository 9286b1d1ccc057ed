package dataplane

import (
	"time"

	"golang.org/x/sys/unix"
)

// lookSpan is how often a client is looked at whose next bytes are there already: no read tells of its end.
const lookSpan = 100 * time.Millisecond

// watcher notices that a client leaves while its request is under way.
type watcher struct {
	socket *socket
	ending chan struct{} // closed when the watch is to end
	done   chan struct{} // closed when it has ended
}

// watch calls left once when the client ends its sending or the connection breaks. It takes nothing out of
// the connection.
func watch(s *socket, left func()) *watcher {
	w := &watcher{socket: s, ending: make(chan struct{}), done: make(chan struct{})}
	s.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.done)
		if w.leaves() {
			left()
		}
	}()
	return w
}

// leaves waits until the client leaves, or until the watch ends, and tells which.
func (w *watcher) leaves() bool {
	if !w.socket.holdsInput() {
		if seen := w.socket.await(); seen != bytesThere {
			return seen == ended
		}
	}
	look := time.NewTicker(lookSpan)
	defer look.Stop()
	for !w.socket.hungUp() {
		select {
		case <-look.C:
		case <-w.ending:
			return false
		}
	}
	return true
}

// stop ends the watch. When it returns left is not called any more.
func (w *watcher) stop() {
	close(w.ending)
	w.socket.SetReadDeadline(longAgo)
	<-w.done
	w.socket.SetReadDeadline(time.Time{})
}

// hungUp tells whether the other side has ended its sending, or the connection is broken, also where bytes
// wait before the end.
func (s *socket) hungUp() bool {
	over := true
	err := s.raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(polled, 0)
		over = err == nil && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || over
}
