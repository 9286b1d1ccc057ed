package transport

import (
	"net"

	"cresshub/internal/acceptloop"
)

// Endpoint is a process's side of its connections to others, and counts what they carry. Its methods may be
// called by any goroutine.
type Endpoint struct {
	// OnAcceptError is called for each connection that could not be accepted; it may be nil.
	OnAcceptError func(error)

	network Network
	traffic trafficCounters
}

// NewEndpoint returns an endpoint without connections.
func NewEndpoint(network Network) *Endpoint { return &Endpoint{network: network} }

// Traffic returns what all connections of the endpoint have carried since it was made.
func (e *Endpoint) Traffic() Traffic { return e.traffic.snapshot() }

// NewLink starts a link to an address.
func (e *Endpoint) NewLink(address string, callbacks LinkCallbacks) *Link {
	l := &Link{Address: address, endpoint: e, callbacks: callbacks, stop: make(chan struct{})}
	go l.run()
	return l
}

// Serve accepts connections until the listener closes, and then returns net.ErrClosed. It goes on after other
// errors of the listener.
func (e *Endpoint) Serve(listener net.Listener, handler Handler) error {
	serve := func(c net.Conn) { go serveConn(newConn(c, &e.traffic), handler) }
	return acceptloop.Run(listener, e.OnAcceptError, serve)
}
