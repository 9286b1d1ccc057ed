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
	minBackoff = 50 * time.Millisecond
	maxBackoff = 150 * time.Millisecond
	// minDialTimeout is the timeout of the first attempt to connect; it doubles up to maxDialTimeout. The system
	// repeats a lost SYN only after a second, so that a new attempt sooner reaches a machine that has just
	// started.
	minDialTimeout = 175 * time.Millisecond
	maxDialTimeout = 700 * time.Millisecond
)

// Link keeps one connection to an address, and opens it again whenever it ends. It is connecting, connected,
// or stopped, which is final. Its methods may be called by any goroutine.
type Link struct {
	Address string // IP:port

	endpoint    *Endpoint
	hello       func() []byte         // body of the first frame
	unsolicited func(peerproto.Frame) // takes the frames that answer no pending call
	onState     func(connected bool)  // called whenever the connection opens or ends

	mu         sync.Mutex
	conn       *Conn                           // nil while there is none
	pending    map[uint64]chan peerproto.Frame // by call id, where to send the answer
	lastCallID uint64
	stopped    bool
	stop       chan struct{} // closed by Stop
}

// Connected reports whether there is a connection.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}

// Send queues a frame that is not answered, and reports whether it could; it never blocks.
func (l *Link) Send(kind peerproto.Kind, body []byte) bool {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	return conn != nil && conn.Send(peerproto.Frame{Kind: kind, Body: body})
}

// Call sends a frame and waits for the answer. The error is ErrNotConnected where there is no connection or
// it ends first, so that the call may or may not have been taken, and ErrTimeout after the timeout.
func (l *Link) Call(kind peerproto.Kind, body []byte, timeout time.Duration) (peerproto.Frame, error) {
	l.mu.Lock()
	conn := l.conn
	if conn == nil {
		l.mu.Unlock()
		return peerproto.Frame{}, ErrNotConnected
	}
	l.lastCallID++
	id := l.lastCallID
	answer := make(chan peerproto.Frame, 1)
	l.pending[id] = answer
	l.mu.Unlock()
	defer l.forget(id)
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

// forget drops a call that has ended; an answer that comes later is unsolicited.
func (l *Link) forget(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

// run connects again and again until the link is stopped.
func (l *Link) run() {
	backoff, dialTimeout := minBackoff, minDialTimeout
	for {
		c, err := l.endpoint.network.Dial(l.Address, dialTimeout)
		dialTimeout = min(2*dialTimeout, maxDialTimeout)
		if err == nil {
			backoff, dialTimeout = minBackoff, minDialTimeout
			l.runConn(newConn(c, &l.endpoint.traffic))
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
	conn.Send(peerproto.Frame{Kind: peerproto.KindHello, Body: l.hello()})
	l.mu.Lock()
	if l.stopped {
		conn.Close()
	}
	l.conn = conn
	l.mu.Unlock()
	l.onState(true)
	conn.readLoop(l.dispatch)
	l.mu.Lock()
	l.conn = nil
	l.mu.Unlock()
	l.onState(false)
}

// dispatch passes an answer to its pending call, and any other frame to unsolicited. A frame of a feed is
// never an answer.
func (l *Link) dispatch(frame peerproto.Frame) {
	l.mu.Lock()
	answer := l.pending[frame.CallID]
	l.mu.Unlock()
	if frame.CallID == 0 || answer == nil || frame.Kind == peerproto.KindFeed {
		l.unsolicited(frame)
		return
	}
	select {
	case answer <- frame:
	default: // answered already
	}
}
