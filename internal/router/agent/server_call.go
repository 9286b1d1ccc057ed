package agent

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/transport"
)

// errNotConnected is the error for a call of which nothing was sent, because the connection to its server
// could not be established.
var errNotConnected = errors.New("not connected")

// callServer makes one call to a server on a connection of its own. After a failed call it resets the
// connection, so that the kernel does not deliver unsent bytes when a partition heals: an order that was
// abandoned must not arrive later.
func callServer(network transport.Network, address string, request *http1.Request,
	timeout time.Duration) (*http1.Response, error) {
	deadline := time.Now().Add(timeout)
	conn, err := network.Dial(address, timeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotConnected, err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	response, err := roundTrip(conn, address, request)
	if err != nil {
		resetOnClose(conn)
	}
	return response, err
}

// roundTrip sends a request and reads the response.
func roundTrip(conn net.Conn, address string, request *http1.Request) (*http1.Response, error) {
	request.Close = true
	request.Header = append(http1.Header{{Name: "Host", Value: address}}, request.Header...)
	out := bufio.NewWriter(conn)
	if err := request.Write(out); err != nil {
		return nil, err
	}
	if err := out.Flush(); err != nil {
		return nil, err
	}
	return http1.ReadResponse(bufio.NewReader(conn))
}

// lingerSetter is a connection, such as *net.TCPConn, for which the handling of unsent bytes on close can be
// set.
type lingerSetter interface{ SetLinger(seconds int) error }

// resetOnClose has a connection discard its unsent bytes when it is closed.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(lingerSetter); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended already
	}
}
