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
	listener net.Listener
	serve    func(*connbuffer.Conn)
	maxConns int

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	all    sync.WaitGroup
}

// Listen accepts connections at an address, port 0 for one that the system chooses, and runs serve for
// each. Beyond most connections, 0 for any number, new ones are closed at once.
func Listen(address string, maxConns int, serve func(*connbuffer.Conn)) (*Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{listener: tcp, serve: serve, maxConns: maxConns, conns: map[net.Conn]struct{}{}}
	l.all.Add(1)
	go l.accept()
	return l, nil
}

// Address is where it listens.
func (l *Listener) Address() string { return l.listener.Addr().String() }

func (l *Listener) accept() {
	defer l.all.Done()
	_ = acceptloop.Run(l.listener, nil, l.start) // it ends with the listener
}

func (l *Listener) start(c net.Conn) {
	if !l.add(c) {
		c.Close()
		return
	}
	go func() {
		defer l.all.Done()
		defer l.remove(c)
		l.serve(connbuffer.NewConn(c))
	}()
}

func (l *Listener) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.maxConns > 0 && len(l.conns) >= l.maxConns {
		return false
	}
	l.conns[c] = struct{}{}
	l.all.Add(1)
	return true
}

func (l *Listener) remove(c net.Conn) {
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
	l.listener.Close()
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
