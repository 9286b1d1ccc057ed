package transport

import (
	"errors"
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
)

// Errors of Link.Call.
var (
	ErrNotConnected = errors.New("not connected to the peer; the link reconnects automatically")
	ErrTimeout      = errors.New("timed out waiting for the peer's answer; ask another process")
)

const (
	// The backoff between attempts to connect doubles within these bounds; a successful attempt resets it.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 150 * time.Millisecond
	// minDialTimeout is the timeout of the first attempt to connect; it doubles up to maxDialTimeout. The kernel
	// retransmits a lost SYN only after a second, so a new attempt before then shortens the time to reach a
	// machine that has just started.
	minDialTimeout = 175 * time.Millisecond
	maxDialTimeout = 700 * time.Millisecond
)

// LinkCallbacks holds the functions that a Link calls. They run on the goroutine of the link, one at a time,
// and must not block.
type LinkCallbacks struct {
	// Hello returns the body of the Hello that is the first frame of each connection. It is required.
	Hello func() []byte
	// OnUnsolicitedFrame is called for each frame that answers no pending call; if nil, such frames are ignored.
	OnUnsolicitedFrame func(peerproto.Frame)
	// OnStateChange is called whenever the connection has been opened or has ended; it may be nil.
	OnStateChange func(connected bool)
}

// Link maintains one connection to an address and reopens it whenever it ends. A link is connecting,
// connected, or stopped, which is final. Use Endpoint.NewLink to create one. Its methods may be called from
// any goroutine.
type Link struct {
	Address string // IP:port

	endpoint  *Endpoint
	callbacks LinkCallbacks
	pending   pendingCalls
	stop      chan struct{} // closed by Stop

	mu      sync.Mutex
	conn    *Conn // nil while not connected
	stopped bool
}

// Connected reports whether the link has an open connection.
func (l *Link) Connected() bool { return l.currentConn() != nil }

// currentConn returns the current connection, or nil while there is none.
func (l *Link) currentConn() *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// Stop stops the link and closes its connection.
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

// Reset closes the current connection, if any, so that the link opens a new one.
func (l *Link) Reset() {
	if conn := l.currentConn(); conn != nil {
		conn.Close()
	}
}

// Send queues a frame that expects no answer, and reports whether it was queued; it never blocks.
func (l *Link) Send(kind peerproto.Kind, body []byte) bool {
	conn := l.currentConn()
	return conn != nil && conn.Send(peerproto.Frame{Kind: kind, Body: body})
}

// Call sends a frame and waits for the answer. The error is ErrNotConnected if there is no connection or it
// ends before the answer, so that the call may or may not have been handled, and ErrTimeout after the
// timeout.
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

// run connects repeatedly until the link is stopped. A successful attempt resets the backoff and the dial
// timeout.
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

// runConn sends the Hello on a new connection and dispatches its frames until it ends.
func (l *Link) runConn(conn *Conn) {
	conn.Send(peerproto.Frame{Kind: peerproto.KindHello, Body: l.callbacks.Hello()})
	l.setConn(conn)
	l.reportState(true)
	conn.readLoop(l.dispatch)
	l.setConn(nil)
	l.reportState(false)
}

// reportState calls OnStateChange, if it is set.
func (l *Link) reportState(connected bool) {
	if l.callbacks.OnStateChange != nil {
		l.callbacks.OnStateChange(connected)
	}
}

// setConn sets the current connection, nil once it has ended. If the link was stopped in the meantime, a new
// connection is closed at once.
func (l *Link) setConn(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped && conn != nil {
		conn.Close()
	}
	l.conn = conn
}

// dispatch passes an answer to its pending call, and any other frame to OnUnsolicitedFrame, including an
// answer that arrives after its call has ended. A feed frame is never treated as an answer.
func (l *Link) dispatch(frame peerproto.Frame) {
	if frame.Kind != peerproto.KindFeed && l.pending.complete(frame) {
		return
	}
	if l.callbacks.OnUnsolicitedFrame != nil {
		l.callbacks.OnUnsolicitedFrame(frame)
	}
}
