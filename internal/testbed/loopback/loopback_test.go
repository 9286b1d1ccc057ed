package loopback

import (
	"net"
	"testing"
)

// Listeners at the addresses of the package are reached, and 127.0.0.1 at the same port is not theirs.
func TestAddressesAreLoopback(t *testing.T) {
	drawn := map[string]bool{}
	for range 100 {
		drawn[DrawIP()] = true
	}
	if len(drawn) < 99 || drawn[OwnIP()] {
		t.Errorf("%d of 100 addresses differ", len(drawn))
	}
	for _, address := range []string{OwnIP(), DrawIP(), ip(firstOwnIP, 0), ip(firstDrawnIP, 1<<bits-2)} {
		if !net.ParseIP(address).IsLoopback() {
			t.Errorf("%s is not loopback", address)
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(address, "0"))
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		listener.Close()
	}
}
