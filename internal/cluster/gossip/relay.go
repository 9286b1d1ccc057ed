package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/proxy"
)

// The relay, for tests and the laboratory: with Options.Relay set, streams to other members are opened
// through a SOCKS5 server at that address (RFC 1928, CONNECT without authentication) and datagrams go to
// the same address in that RFC's UDP form (section 7), so that a fault injector stands between every
// ordered pair of members. Inbound traffic is as without one.

// relayHeaderSize is that of RSV, FRAG, ATYP 1 (IPv4), the address and the port.
const relayHeaderSize = 10

// RelayDatagram returns a datagram to an IPv4 address as a relay reads it.
func RelayDatagram(to netip.AddrPort, b []byte) []byte {
	out := make([]byte, 0, relayHeaderSize+len(b))
	out = append(out, 0, 0, 0, 1)
	ip := to.Addr().Unmap().As4()
	out = append(out, ip[:]...)
	return append(append(out, byte(to.Port()>>8), byte(to.Port())), b...)
}

// ParseRelayDatagram reads what RelayDatagram wrote. The payload aliases b.
func ParseRelayDatagram(b []byte) (netip.AddrPort, []byte, error) {
	if len(b) < relayHeaderSize || b[0] != 0 || b[1] != 0 || b[2] != 0 || b[3] != 1 {
		return netip.AddrPort{}, nil, errors.New("no datagram to an IPv4 address by RFC 1928")
	}
	to := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), uint16(b[8])<<8|uint16(b[9]))
	return to, b[relayHeaderSize:], nil
}

func dialContext(d proxy.ContextDialer, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return d.DialContext(ctx, "tcp", addr)
}
