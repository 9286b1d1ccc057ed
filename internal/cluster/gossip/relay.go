package gossip

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"time"
)

// The relay, for tests and cresshub-lab: with Options.Relay set, streams to other members are opened through
// a SOCKS5 server at that address (RFC 1928, CONNECT without authentication) and datagrams go to the same
// address in that RFC's UDP form (section 7), so that a fault injector can act on the traffic of every
// ordered pair of members. Inbound traffic is received as without a relay.

// relayHeaderSize is the size in bytes of RSV, FRAG, ATYP, the IPv4 address and the port.
const relayHeaderSize = 10

// relayPrefix is RSV, FRAG (no fragment) and ATYP (IPv4).
var relayPrefix = []byte{0, 0, 0, 1}

// EncodeRelayDatagram returns the datagram that has a relay send payload to an IPv4 address.
func EncodeRelayDatagram(to netip.AddrPort, payload []byte) []byte {
	datagram := make([]byte, 0, relayHeaderSize+len(payload))
	datagram = append(datagram, relayPrefix...)
	ip := to.Addr().Unmap().As4()
	datagram = append(datagram, ip[:]...)
	datagram = binary.BigEndian.AppendUint16(datagram, to.Port())
	return append(datagram, payload...)
}

// ParseRelayDatagram decodes a datagram that EncodeRelayDatagram returned. The payload aliases datagram.
func ParseRelayDatagram(datagram []byte) (to netip.AddrPort, payload []byte, err error) {
	if len(datagram) < relayHeaderSize || !bytes.HasPrefix(datagram, relayPrefix) {
		return netip.AddrPort{}, nil, errors.New("not an RFC 1928 datagram to an IPv4 address")
	}
	ip := netip.AddrFrom4([4]byte(datagram[4:8]))
	port := binary.BigEndian.Uint16(datagram[8:relayHeaderSize])
	return netip.AddrPortFrom(ip, port), datagram[relayHeaderSize:], nil
}

// dialThroughRelay opens a stream to a member through the relay.
func (t *transport) dialThroughRelay(addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return t.dialer.DialContext(ctx, "tcp", addr)
}
