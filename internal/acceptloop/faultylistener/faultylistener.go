// Package faultylistener provides a listener that fails to accept connections, for tests.
package faultylistener

import (
	"net"
	"sync/atomic"
	"syscall"
)

// Listener is a listener whose first calls of Accept fail as they do when the process is out of descriptors.
type Listener struct {
	net.Listener
	failuresLeft atomic.Int32
}

// New returns a listener whose first calls of Accept fail, as many as failures says. Later calls go to l.
func New(l net.Listener, failures int) *Listener {
	faulty := &Listener{Listener: l}
	faulty.failuresLeft.Store(int32(failures))
	return faulty
}

// Accept returns EMFILE while failures are left, and then accepts a connection.
func (l *Listener) Accept() (net.Conn, error) {
	if l.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}
