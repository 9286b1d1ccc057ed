// Package proxystandin holds stand-ins, on loopback, for the parties around a client proxy in a real
// deployment: zone servers with cores, a bounded queue and a slow start (Zone, Fleet), the discovery service
// (Discovery), the billing sink (Sink) and the application's open-loop load (Load, Tally). `cresshub try`,
// `cresshub standin`, the laboratory's rigs and tests use them.
//
// The stand-ins judge the proxy, so they share none of its code beyond HTTP/1.1 framing and fencing tokens:
// what is decoded or checked here is written a second time on purpose.
//
// All exported methods may be called from any goroutine, except where they say otherwise. Each connection has
// a goroutine of its own; Close of a Zone, Fleet or Discovery returns once these have ended.
package proxystandin

import (
	"cresshub/internal/connbuffer"
	"cresshub/internal/testbed/connserver"
)

// Listener accepts connections, serves each on its own goroutine, and can close all of them at once.
type Listener = connserver.Listener

// Listen accepts connections at address and runs serve for each; port 0 lets the system choose one. Beyond
// maxConns open connections, 0 for no limit, new ones are closed at once.
func Listen(address string, maxConns int, serve func(*connbuffer.Conn)) (*Listener, error) {
	return connserver.Listen(address, maxConns, serve)
}
