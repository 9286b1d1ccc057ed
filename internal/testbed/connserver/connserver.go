// Package connserver is the accept loop of the stand-ins (packages proxystandin and routerstandin) and of
// servers that tests script: it gives each connection a goroutine, bounds their number, and can close all of
// them at once, with a reset where a crash is simulated. It judges nothing.
package connserver

import (
	"net"
	"sync"

	"cresshub/internal/acceptloop"
	"cresshub/internal/connbuffer"
)

// Listener accepts connections and runs a goroutine for each. Its methods are safe for concurrent use.
type Listener struct {
	listener net.Listener
	serve    func(*connbuffer.Conn)
	maxConns int

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	all    sync.WaitGroup // the accept loop and the goroutines of connections
}

// Listen accepts connections at an address, port 0 for one that the system chooses, and runs serve for
// each in a goroutine; the connection is closed when serve returns. Beyond maxConns connections, 0 for any
// number, new ones are closed at once.
func Listen(address string, maxConns int, serve func(*connbuffer.Conn)) (*Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Serve(tcp, maxConns, serve), nil
}

// Serve is Listen for a listener that the caller opened, such as one with socket options. Close closes it.
func Serve(listener net.Listener, maxConns int, serve func(*connbuffer.Conn)) *Listener {
	l := &Listener{listener: listener, serve: serve, maxConns: maxConns, conns: map[net.Conn]struct{}{}}
	l.all.Add(1)
	go l.accept()
	return l
}

// Address returns the address with the port on which it listens.
func (l *Listener) Address() string { return l.listener.Addr().String() }

func (l *Listener) accept() {
	defer l.all.Done()
	_ = acceptloop.Run(l.listener, nil, l.start) // it ends with the listener
}

// start serves a connection, or closes it where there are too many.
func (l *Listener) start(conn net.Conn) {
	if !l.add(conn) {
		conn.Close()
		return
	}
	go func() {
		defer l.all.Done()
		defer l.remove(conn)
		l.serve(connbuffer.NewConn(conn))
	}()
}

// add registers a connection, unless the listener is closed or has as many as it may.
func (l *Listener) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.maxConns > 0 && len(l.conns) >= l.maxConns {
		return false
	}
	l.conns[conn] = struct{}{}
	l.all.Add(1)
	return true
}

func (l *Listener) remove(conn net.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	conn.Close()
}

// Close closes the listener and all connections, and waits for their goroutines. With reset the other sides
// see a reset, as when a process dies, otherwise the end of the stream.
func (l *Listener) Close(reset bool) {
	l.end(reset)
	l.all.Wait()
}

// End closes the listener and all connections without waiting for goroutines, which may be blocked elsewhere.
func (l *Listener) End() { l.end(false) }

func (l *Listener) end(reset bool) {
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		conn.Close()
	}
	l.mu.Unlock()
}
