package transport

import (
	"net"
	"time"
)

// Network opens and accepts connections. Addresses have the form IP:port. A Network may be used from any
// goroutine.
type Network interface {
	// Dial connects to an address, or fails once the timeout has passed.
	Dial(address string, timeout time.Duration) (net.Conn, error)
	// Listen returns a listener for connections to an address.
	Listen(address string) (net.Listener, error)
}

// HostNetwork is the network of the host, with TCP over IPv4.
type HostNetwork struct{}

// noKeepAlive disables TCP keep-alive probes: the processes send pings and keep-alives of their own.
const noKeepAlive = -1

// Dial implements Network.
func (HostNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: noKeepAlive}
	return dialer.Dial("tcp4", address)
}

// Listen implements Network.
func (HostNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
