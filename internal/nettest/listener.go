package nettest

import (
	"net"
	"sync/atomic"
	"syscall"
)

// ShortOfDescriptors is a listener whose first tries to accept fail as they do without descriptors.
type ShortOfDescriptors struct {
	net.Listener
	left atomic.Int32
}

// NewShortOfDescriptors returns a listener that fails so often before it accepts.
func NewShortOfDescriptors(l net.Listener, failures int) *ShortOfDescriptors {
	short := &ShortOfDescriptors{Listener: l}
	short.left.Store(int32(failures))
	return short
}

// Accept fails, or accepts a connection.
func (l *ShortOfDescriptors) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}
