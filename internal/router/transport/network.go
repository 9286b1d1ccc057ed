package transport

import (
	"net"
	"time"
)

// Network opens and accepts the connections of a process. Addresses are IP:port. It may be used by any
// goroutine.
type Network interface {
	// Dial connects to an address; it fails after the timeout at the latest.
	Dial(address string, timeout time.Duration) (net.Conn, error)
	// Listen accepts connections at an address.
	Listen(address string) (net.Listener, error)
}

// HostNetwork is the network of the machine, over TCP and IPv4.
type HostNetwork struct{}

// noKeepAlive turns off the system's keep-alive probes: the processes send pings and keep-alives themselves.
const noKeepAlive = -1

// Dial implements Network.
func (HostNetwork) Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: noKeepAlive}
	return dialer.Dial("tcp4", address)
}

// Listen implements Network.
func (HostNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }
