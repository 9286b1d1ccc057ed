// Package faultylistener is a listener that fails to accept, for tests.
package faultylistener

import (
	"net"
	"sync/atomic"
	"syscall"
)

// Listener is a listener whose first attempts to accept fail as they do without descriptors.
type Listener struct {
	net.Listener
	failuresLeft atomic.Int32
}

// New returns a listener that fails so often before it accepts.
func New(l net.Listener, failures int) *Listener {
	short := &Listener{Listener: l}
	short.failuresLeft.Store(int32(failures))
	return short
}

// Accept fails, or accepts a connection.
func (l *Listener) Accept() (net.Conn, error) {
	if l.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}
