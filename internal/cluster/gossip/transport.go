package gossip

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/net/proxy"
)

const (
	// maxPendingStreams is how many inbound streams are checked at once; further ones are closed.
	maxPendingStreams = 64
	// maxStreamHeadBytes is how many bytes of a stream are checked, at most, before memberlist gets it.
	maxStreamHeadBytes = 128
)

// transport is memberlist's own transport behind a filter: inbound traffic is checked for its label and
// against the bounds, outbound datagrams are read for suspicions and refutations, and both are counted.
// With a relay (only in tests and cresshub-lab), all outbound traffic goes through it.
//
// memberlist calls its methods from goroutines of its own, and Shutdown last.
type transport struct {
	*memberlist.NetTransport
	fleet       *Fleet
	timeout     time.Duration           // of the check of an inbound stream
	relay       netip.AddrPort          // the zero AddrPort for none
	dialer      proxy.ContextDialer     // through the relay; nil for none
	packets     chan *memberlist.Packet // that passed the checks
	streams     chan net.Conn           // that passed the checks
	streamSlots chan struct{}           // holds a value for each stream that is being checked
	stop        chan struct{}           // closed by Shutdown
	once        sync.Once               // of Shutdown
	goroutines  sync.WaitGroup
}

// newTransport listens at an address for datagrams and streams, and starts the filters. timeout bounds the
// check of an inbound stream.
func newTransport(f *Fleet, ip string, port int, timeout time.Duration, logger *log.Logger) (*transport,
	error) {
	t := &transport{
		fleet:       f,
		timeout:     timeout,
		packets:     make(chan *memberlist.Packet),
		streams:     make(chan net.Conn),
		streamSlots: make(chan struct{}, maxPendingStreams),
		stop:        make(chan struct{}),
	}
	if f.opts.Relay != "" {
		if err := t.useRelay(f.opts.Relay); err != nil {
			return nil, fmt.Errorf("fleet.relay: %w", err)
		}
	}
	var err error
	t.NetTransport, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{ip}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, err
	}
	t.goroutines.Go(t.filterPackets)
	t.goroutines.Go(t.filterStreams)
	return t, nil
}

// useRelay directs all outbound traffic through a relay at an address.
func (t *transport) useRelay(address string) error {
	var err error
	if t.relay, err = netip.ParseAddrPort(address); err != nil {
		return err
	}
	dialer, err := proxy.SOCKS5("tcp", address, nil, &net.Dialer{Timeout: t.timeout})
	if err != nil {
		return err
	}
	t.dialer = dialer.(proxy.ContextDialer)
	return nil
}

// PacketCh is part of memberlist.Transport: the datagrams that passed the checks.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh is part of memberlist.Transport: the streams that passed the checks.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown is part of memberlist.Transport. It stops the listeners and all goroutines; further calls do
// nothing.
func (t *transport) Shutdown() error {
	var err error
	t.once.Do(func() {
		close(t.stop)
		err = t.shutdownListeners()
		t.goroutines.Wait()
	})
	return err
}

// shutdownListeners shuts down memberlist's transport, whose Shutdown waits for its listeners. These may be
// blocked until the datagrams and streams that they have read are received, so they are received and
// discarded here.
func (t *transport) shutdownListeners() error {
	ended := make(chan error, 1)
	go func() { ended <- t.NetTransport.Shutdown() }()
	for {
		select {
		case <-t.NetTransport.PacketCh():
		case conn := <-t.NetTransport.StreamCh():
			conn.Close()
		case err := <-ended:
			return err
		}
	}
}

// filterPackets forwards the datagrams that pass the checks to memberlist, until Shutdown.
func (t *transport) filterPackets() {
	for {
		select {
		case <-t.stop:
			return
		case packet := <-t.NetTransport.PacketCh():
			t.filterPacket(packet)
		}
	}
}

// filterPacket forwards a datagram without its label to memberlist, or rejects it.
func (t *transport) filterPacket(packet *memberlist.Packet) {
	t.fleet.traffic.packetsIn.Add(1)
	t.fleet.traffic.bytesIn.Add(int64(len(packet.Buf)))
	unlabeled, err := t.removeLabel(packet.Buf)
	if err == nil {
		err = readPacket(unlabeled, nil)
	}
	if err != nil {
		t.reject("datagram", packet.From, err)
		return
	}
	packet.Buf = unlabeled
	select {
	case t.packets <- packet:
	case <-t.stop:
	}
}

// errOtherLabel means that a datagram or stream carries another fleet's label.
var errOtherLabel = errors.New("another fleet's label")

// removeLabel returns a datagram without its label, and an error if the label is not this fleet's.
func (t *transport) removeLabel(packet []byte) ([]byte, error) {
	unlabeled, label, err := memberlist.RemoveLabelHeaderFromPacket(packet)
	if err == nil {
		err = t.checkLabel(label)
	}
	return unlabeled, err
}

// checkLabel returns errOtherLabel if a label is not this fleet's.
func (t *transport) checkLabel(label string) error {
	if label != t.fleet.opts.Label {
		return fmt.Errorf("%w %q", errOtherLabel, label)
	}
	return nil
}

// reject counts and logs a datagram or stream that does not pass the checks.
func (t *transport) reject(what string, from net.Addr, err error) {
	if errors.Is(err, errOtherLabel) {
		t.fleet.traffic.otherLabel.Add(1)
	} else {
		t.fleet.traffic.rejected.Add(1)
	}
	t.fleet.log.Warn("fleet: "+what+" rejected", "from", from.String(), "why", err.Error())
}

// filterStreams checks each inbound stream in a goroutine of its own, until Shutdown.
func (t *transport) filterStreams() {
	for {
		select {
		case <-t.stop:
			return
		case conn := <-t.NetTransport.StreamCh():
			select {
			case t.streamSlots <- struct{}{}:
				t.goroutines.Go(func() { t.filterStream(conn) })
			default:
				t.reject("stream", conn.RemoteAddr(), errors.New("too many streams are being checked"))
				conn.Close()
			}
		}
	}
}

// filterStream checks a stream's label and first bytes, and forwards the stream to memberlist or closes it.
func (t *transport) filterStream(conn net.Conn) {
	defer func() { <-t.streamSlots }()
	t.fleet.traffic.streamsIn.Add(1)
	conn.SetDeadline(time.Now().Add(t.timeout))
	checked, err := t.checkInbound(conn)
	if err != nil {
		conn.Close()
		t.reject("stream", conn.RemoteAddr(), err)
		return
	}
	conn.SetDeadline(time.Time{}) // memberlist sets its own
	select {
	case t.streams <- checked:
	case <-t.stop:
		conn.Close()
	}
}

// checkInbound checks the label and the first bytes of a stream. It returns the stream without its label,
// bounded and with its bytes counted.
func (t *transport) checkInbound(conn net.Conn) (*limitedConn, error) {
	counted := &countedConn{Conn: conn, traffic: &t.fleet.traffic}
	unlabeled, label, err := memberlist.RemoveLabelHeaderFromStream(counted)
	if err == nil {
		err = t.checkLabel(label)
	}
	if err != nil {
		return nil, err
	}
	in := bufio.NewReaderSize(unlabeled, maxStreamHeadBytes)
	limit, err := t.checkHead(in)
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: unlabeled, reader: io.LimitReader(in, int64(limit))}, nil
}

// checkHead reads as much of a stream as the check of its first bytes needs, in however many segments they
// arrive, and returns how many bytes the stream may have. It leaves all bytes in the reader.
func (t *transport) checkHead(in *bufio.Reader) (int, error) {
	for size := 1; ; size = in.Buffered() + 1 {
		if _, err := in.Peek(size); err != nil {
			return 0, err
		}
		head, _ := in.Peek(in.Buffered())
		limit, err := checkStreamHead(head, t.fleet.opts.Membership.MaxMembers)
		isTruncated := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if !isTruncated || len(head) >= maxStreamHeadBytes {
			return limit, err
		}
	}
}

// limitedConn is a stream that passed the check. Its reader begins with the checked bytes and ends at the
// stream's bound.
type limitedConn struct {
	net.Conn
	reader io.Reader
}

func (c *limitedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// countedConn counts the bytes of a stream in both directions.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytesIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytesOut.Add(int64(n))
	return n, err
}

// WriteTo is part of memberlist.Transport: it counts a datagram, observes its messages and sends it.
func (t *transport) WriteTo(packet []byte, addr string) (time.Time, error) {
	t.fleet.traffic.packetsOut.Add(1)
	t.fleet.traffic.bytesOut.Add(int64(len(packet)))
	if unlabeled, err := t.removeLabel(packet); err == nil {
		_ = readPacket(unlabeled, t.fleet.observeOutbound) // all that memberlist sends is well-formed
	}
	if !t.relay.IsValid() {
		return t.NetTransport.WriteTo(packet, addr)
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	return t.NetTransport.WriteTo(EncodeRelayDatagram(to, packet), t.relay.String())
}

// WriteToAddress is part of memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(packet []byte, to memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, to.Addr)
}

// DialTimeout is part of memberlist.Transport: it opens a stream, whose bytes are counted.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	t.fleet.traffic.streamsOut.Add(1)
	dial := t.NetTransport.DialTimeout
	if t.dialer != nil {
		dial = t.dialThroughRelay
	}
	conn, err := dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: &t.fleet.traffic}, nil
}

// DialAddressTimeout is part of memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(to.Addr, timeout)
}

// traffic counts the traffic on the gossip port, labels included. Its methods may be called from any
// goroutine.
type traffic struct {
	packetsIn, packetsOut, bytesIn, bytesOut, streamsIn, streamsOut atomic.Int64
	rejected, otherLabel                                            atomic.Int64
}

// copyTo sets the traffic fields of counters.
func (t *traffic) copyTo(counters *Counters) {
	counters.PacketsIn, counters.PacketsOut = t.packetsIn.Load(), t.packetsOut.Load()
	counters.StreamsIn, counters.StreamsOut = t.streamsIn.Load(), t.streamsOut.Load()
	counters.BytesIn, counters.BytesOut = t.bytesIn.Load(), t.bytesOut.Load()
	counters.WireRefused, counters.OtherLabel = t.rejected.Load(), t.otherLabel.Load()
}
