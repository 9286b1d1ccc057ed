// Package proxystandin holds parties that stand in for those of a real deployment, on loopback: zone servers
// with cores, a queue and a cold start, a discovery service, and the application's open-loop load. They
// serve the tool that tries the proxy, experiments and tests alike, and know nothing of the proxy.
package proxystandin

import (
	"cresshub/internal/connbuffer"
	"cresshub/internal/testbed/connserver"
)

// Listener accepts connections, gives each a goroutine, and can end all of them at once.
type Listener = connserver.Listener

// Listen accepts connections at an address, port 0 for one that the system chooses, and runs serve for
// each. Beyond most connections, 0 for any number, new ones are closed at once.
func Listen(address string, maxConns int, serve func(*connbuffer.Conn)) (*Listener, error) {
	return connserver.Listen(address, maxConns, serve)
}
