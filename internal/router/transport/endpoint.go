package transport

import (
	"net"

	"cresshub/internal/acceptloop"
)

// Endpoint represents a process on its connections to other processes and counts their traffic. Its methods
// may be called from any goroutine.
type Endpoint struct {
	// OnAcceptError is called for each connection that could not be accepted; it may be nil.
	OnAcceptError func(error)

	network Network
	traffic trafficCounters
}

// NewEndpoint returns an endpoint without connections.
func NewEndpoint(network Network) *Endpoint { return &Endpoint{network: network} }

// Traffic returns the total traffic of all connections of the endpoint since it was created.
func (e *Endpoint) Traffic() Traffic { return e.traffic.snapshot() }

// NewLink starts a link to an address.
func (e *Endpoint) NewLink(address string, callbacks LinkCallbacks) *Link {
	l := &Link{Address: address, endpoint: e, callbacks: callbacks, stop: make(chan struct{})}
	go l.run()
	return l
}

// Serve accepts connections until the listener is closed, and then returns net.ErrClosed. It continues after
// any other error of the listener.
func (e *Endpoint) Serve(listener net.Listener, handler Handler) error {
	serve := func(c net.Conn) { go serveConn(newConn(c, &e.traffic), handler) }
	return acceptloop.Run(listener, e.OnAcceptError, serve)
}
