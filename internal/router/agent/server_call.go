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

// errNotConnected says that nothing of a call was sent, as its server could not be connected to.
var errNotConnected = errors.New("not connected")

// callServer makes one call to a server on a connection of its own. A failed call resets the connection, so
// that the kernel does not deliver unsent bytes when a partition heals: an order that was given up must not
// arrive later.
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
	answer, err := exchange(conn, address, request)
	if err != nil {
		resetOnClose(conn)
	}
	return answer, err
}

// exchange sends a request and reads the response.
func exchange(conn net.Conn, address string, request *http1.Request) (*http1.Response, error) {
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

// lingerer is a connection whose handling of unsent bytes at its close can be set, as that of TCP can.
type lingerer interface{ SetLinger(seconds int) error }

// resetOnClose has a connection drop its unsent bytes when it closes.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(lingerer); ok {
		_ = tcp.SetLinger(0) // it fails only where the connection has ended already
	}
}
