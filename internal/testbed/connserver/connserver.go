// Package connserver accepts connections, gives each a goroutine, and can end all of them at once.
package connserver

import (
	"net"
	"sync"

	"cresshub/internal/acceptloop"
	"cresshub/internal/connbuffer"
)

// Listener accepts connections, gives each a goroutine, and can end all of them at once.
type Listener struct {
	l     net.Listener
	serve func(*connbuffer.Conn)
	most  int

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	all    sync.WaitGroup
}

// Listen accepts connections at an address, port 0 for one that the system chooses, and runs serve for
// each. Beyond most connections, 0 for any number, new ones are closed at once.
func Listen(address string, most int, serve func(*connbuffer.Conn)) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ls := &Listener{l: l, serve: serve, most: most, conns: map[net.Conn]struct{}{}}
	ls.all.Add(1)
	go ls.accept()
	return ls, nil
}

// Address is where it listens.
func (l *Listener) Address() string { return l.l.Addr().String() }

func (l *Listener) accept() {
	defer l.all.Done()
	_ = acceptloop.Run(l.l, nil, l.take) // it ends with the listener
}

func (l *Listener) take(c net.Conn) {
	if !l.hold(c) {
		c.Close()
		return
	}
	go func() {
		defer l.all.Done()
		defer l.drop(c)
		l.serve(connbuffer.NewConn(c))
	}()
}

func (l *Listener) hold(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.most > 0 && len(l.conns) >= l.most {
		return false
	}
	l.conns[c] = struct{}{}
	l.all.Add(1)
	return true
}

func (l *Listener) drop(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

// Close ends all connections at once and waits for their goroutines. With reset the other sides see a
// reset, as when a process dies, otherwise the end of the stream.
func (l *Listener) Close(reset bool) {
	l.end(reset)
	l.all.Wait()
}

// End ends all connections without waiting for goroutines that may be held up elsewhere.
func (l *Listener) End() { l.end(false) }

func (l *Listener) end(reset bool) {
	l.l.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok && reset {
			t.SetLinger(0)
		}
		c.Close()
	}
	l.mu.Unlock()
}
