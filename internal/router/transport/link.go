package transport

import (
	"errors"
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
)

// Errors of Link.Call.
var (
	ErrNotConnected = errors.New("no connection to the process; it is tried again by itself")
	ErrTimeout      = errors.New("no answer in time; ask another process")
)

const (
	// The backoff before the next attempt to connect doubles within these bounds; a connection resets it.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 150 * time.Millisecond
	// minDialTimeout is the timeout of the first attempt to connect; it doubles up to maxDialTimeout. The system
	// repeats a lost SYN only after a second, so that a new attempt sooner reaches a machine that has just
	// started.
	minDialTimeout = 175 * time.Millisecond
	maxDialTimeout = 700 * time.Millisecond
)

// LinkCallbacks are the functions that a Link calls. They run on the goroutine of the link, one at a time,
// and must not block.
type LinkCallbacks struct {
	// Hello returns the body of the Hello that is the first frame of each connection. It is required.
	Hello func() []byte
	// OnUnsolicitedFrame is called for each frame that answers no pending call; if it is nil, these are ignored.
	OnUnsolicitedFrame func(peerproto.Frame)
	// OnStateChange is called whenever the connection has opened or ended; it may be nil.
	OnStateChange func(connected bool)
}

// Link keeps one connection to an address, and opens it again whenever it ends. It is connecting, connected,
// or stopped, which is final. Endpoint.NewLink makes one. Its methods may be called by any goroutine.
type Link struct {
	Address string // IP:port

	endpoint  *Endpoint
	callbacks LinkCallbacks
	pending   pendingCalls
	stop      chan struct{} // closed by Stop

	mu      sync.Mutex
	conn    *Conn // nil while there is none
	stopped bool
}

// Connected reports whether there is a connection.
func (l *Link) Connected() bool { return l.currentConn() != nil }

// currentConn returns the connection, nil while there is none.
func (l *Link) currentConn() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Stop ends the link and its connection.
func (l *Link) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.stopped = true
	close(l.stop)
	if l.conn != nil {
		l.conn.Close()
	}
}

// Reset closes the present connection, if any, so that the link opens a new one.
func (l *Link) Reset() {
	if conn := l.currentConn(); conn != nil {
		conn.Close()
	}
}

// Send queues a frame that is not answered, and reports whether it could; it never blocks.
func (l *Link) Send(kind peerproto.Kind, body []byte) bool {
	conn := l.currentConn()
	return conn != nil && conn.Send(peerproto.Frame{Kind: kind, Body: body})
}

// Call sends a frame and waits for the answer. The error is ErrNotConnected where there is no connection or
// it ends first, so that the call may or may not have been taken, and ErrTimeout after the timeout.
func (l *Link) Call(kind peerproto.Kind, body []byte, timeout time.Duration) (peerproto.Frame, error) {
	conn := l.currentConn()
	if conn == nil {
		return peerproto.Frame{}, ErrNotConnected
	}
	id, answer := l.pending.add()
	defer l.pending.remove(id)
	if !conn.Send(peerproto.Frame{Kind: kind, CallID: id, Body: body}) {
		return peerproto.Frame{}, ErrNotConnected
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case frame := <-answer:
		return frame, nil
	case <-conn.Closed():
		return peerproto.Frame{}, ErrNotConnected
	case <-timer.C:
		return peerproto.Frame{}, ErrTimeout
	}
}

// run connects again and again until the link is stopped. A connection that was opened resets the backoff and
// the timeout of attempts to connect.
func (l *Link) run() {
	backoff, dialTimeout := minBackoff, minDialTimeout
	for {
		netConn, err := l.endpoint.network.Dial(l.Address, dialTimeout)
		if err != nil {
			dialTimeout = min(2*dialTimeout, maxDialTimeout)
		} else {
			backoff, dialTimeout = minBackoff, minDialTimeout
			l.runConn(newConn(netConn, &l.endpoint.traffic))
		}
		select {
		case <-l.stop:
			return
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// runConn uses a connection until it ends.
func (l *Link) runConn(conn *Conn) {
	conn.Send(peerproto.Frame{Kind: peerproto.KindHello, Body: l.callbacks.Hello()})
	l.setConn(conn)
	l.reportState(true)
	conn.readLoop(l.dispatch)
	l.setConn(nil)
	l.reportState(false)
}

// reportState reports that the connection has opened or ended.
func (l *Link) reportState(connected bool) {
	if l.callbacks.OnStateChange != nil {
		l.callbacks.OnStateChange(connected)
	}
}

// setConn replaces the connection, by nil where it has ended. One that was opened while the link was stopped
// is closed at once.
func (l *Link) setConn(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped && conn != nil {
		conn.Close()
	}
	l.conn = conn
}

// dispatch passes an answer to its pending call, and any other frame to OnUnsolicitedFrame: also an answer
// that comes after its call has ended. A frame of a feed is never an answer.
func (l *Link) dispatch(frame peerproto.Frame) {
	if frame.Kind != peerproto.KindFeed && l.pending.complete(frame) {
		return
	}
	if l.callbacks.OnUnsolicitedFrame != nil {
		l.callbacks.OnUnsolicitedFrame(frame)
	}
}
