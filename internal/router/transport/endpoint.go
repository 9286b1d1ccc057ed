package transport

import (
	"net"
	"time"

	"cresshub/internal/acceptloop"
	"cresshub/internal/router/peerproto"
)

// Network opens and accepts the connections of a process.
type Network interface {
	Dial(address string, timeout time.Duration) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// HostNetwork is the network of the machine.
type HostNetwork struct{}

// Dial connects to an address.
func (HostNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.Dial("tcp4", address)
}

// Listen accepts connections at an address.
func (HostNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// Endpoint is one process among those of the fleet: its links, the connections that it accepts, and a count
// of what they carry.
type Endpoint struct {
	// OnAcceptError is told of each connection that could not be accepted; it may be nil.
	OnAcceptError func(error)

	network Network
	traffic trafficCounters
}

// NewEndpoint returns an endpoint without connections.
func NewEndpoint(network Network) *Endpoint { return &Endpoint{network: network} }

// Traffic returns what all connections of the endpoint have carried so far.
func (e *Endpoint) Traffic() Traffic { return e.traffic.snapshot() }

// NewLink starts a link. The functions are called from goroutines of the link, and must not block.
func (e *Endpoint) NewLink(address string, hello func() []byte, unsolicited func(peerproto.Frame),
	onState func(up bool)) *Link {
	l := &Link{Address: address, endpoint: e, hello: hello, unsolicited: unsolicited, onState: onState,
		pending: map[uint64]chan peerproto.Frame{}, stop: make(chan struct{})}
	go l.run()
	return l
}

// Serve accepts connections until the listener closes, and then returns net.ErrClosed.
func (e *Endpoint) Serve(listener net.Listener, handler Handler) error {
	take := func(c net.Conn) { go serveConn(newConn(c, &e.traffic), handler) }
	return acceptloop.Run(listener, e.OnAcceptError, take)
}
