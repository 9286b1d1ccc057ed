package dataplane

import (
	"time"
)

// pollInterval is how often a client is polled for a disconnect if bytes of its next request have arrived
// already: a read would return those bytes before it reports the disconnect.
const pollInterval = 100 * time.Millisecond

// disconnectWatcher detects that a client disconnects while its request is in flight.
type disconnectWatcher struct {
	socket   *socket
	stopping chan struct{} // closed to end the watch
	done     chan struct{} // closed when the watch has ended
}

// watchDisconnect starts a goroutine that calls onDisconnect once when the client half-closes the connection
// or the connection breaks. It consumes no bytes of the connection.
func watchDisconnect(socket *socket, onDisconnect func()) *disconnectWatcher {
	watcher := &disconnectWatcher{socket: socket, stopping: make(chan struct{}), done: make(chan struct{})}
	socket.SetReadDeadline(time.Time{})
	go func() {
		defer close(watcher.done)
		if watcher.awaitDisconnect() {
			onDisconnect()
		}
	}()
	return watcher
}

// awaitDisconnect waits until the client disconnects, and then returns true, or until the watch is stopped,
// and then returns false.
func (w *disconnectWatcher) awaitDisconnect() bool {
	if !w.socket.hasBufferedInput() {
		if state := w.socket.awaitReadable(); state != readable {
			return state == readClosed
		}
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for !w.socket.hungUp() {
		select {
		case <-poll.C:
		case <-w.stopping:
			return false
		}
	}
	return true
}

// stop ends the watch. After it has returned, onDisconnect is not called any more.
func (w *disconnectWatcher) stop() {
	close(w.stopping)
	w.socket.InterruptRead()
	<-w.done
	w.socket.SetReadDeadline(time.Time{})
}
