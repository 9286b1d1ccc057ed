package transport

import (
	"errors"
	"sync"
	"time"

	"cresshub/internal/router/peerproto"
)

// Errors of a call.
var (
	ErrNotConnected = errors.New("no connection to the process; it is tried again by itself")
	ErrTimeout      = errors.New("no answer in time; ask another process")
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 150 * time.Millisecond
	// minDialTimeout and maxDialTimeout bound the first and the later tries to connect. The opening packet
	// to a machine without power is lost, and the system sends it again only after a second: a new try reaches
	// a machine that has just started sooner.
	minDialTimeout = 175 * time.Millisecond
	maxDialTimeout = 700 * time.Millisecond
)

// Link keeps one connection to an address, and opens it anew whenever it ends.
type Link struct {
	Address string

	endpoint    *Endpoint
	hello       func() []byte         // body of the first frame
	unsolicited func(peerproto.Frame) // takes frames that answer no call waited for
	onState     func(up bool)         // told whenever the connection opens or ends

	mu         sync.Mutex
	conn       *Conn // nil while there is none
	pending    map[uint64]chan peerproto.Frame
	lastCallID uint64 // number of the last call
	stopped    bool
	stop       chan struct{}
}

// Connected tells whether there is a connection.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil
}

// Stop ends the link.
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

// Reset ends the present connection, so that a new one is opened.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}

// Send queues a frame that is not answered, and tells whether it could.
func (l *Link) Send(kind peerproto.Kind, body []byte) bool {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	return conn != nil && conn.Send(peerproto.Frame{Kind: kind, Body: body})
}

// Call sends a frame and returns the answer's.
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

func (l *Link) forget(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

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

// runConn keeps a connection until it ends.
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
