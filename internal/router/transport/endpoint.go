package transport

import (
	"net"

	"cresshub/internal/acceptloop"
	"cresshub/internal/router/peerproto"
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

// NewLink starts a link to an address. hello returns the body of the first frame of each connection,
// unsolicited takes the frames that answer no call, and onState is called whenever the connection opens or
// ends. They are called by the link's goroutine, one at a time, and must not block.
func (e *Endpoint) NewLink(address string, hello func() []byte, unsolicited func(peerproto.Frame),
	onState func(connected bool)) *Link {
	l := &Link{
		Address:     address,
		endpoint:    e,
		hello:       hello,
		unsolicited: unsolicited,
		onState:     onState,
		stop:        make(chan struct{}),
	}
	go l.run()
	return l
}

// Serve accepts connections until the listener closes, and then returns net.ErrClosed. It goes on after other
// errors of the listener.
func (e *Endpoint) Serve(listener net.Listener, handler Handler) error {
	serve := func(c net.Conn) { go serveConn(newConn(c, &e.traffic), handler) }
	return acceptloop.Run(listener, e.OnAcceptError, serve)
}
