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
	// maxPendingStreams is how many streams are checked at once; beyond, they are closed.
	maxPendingStreams = 64
	// maxStreamHead is how many bytes of a stream are checked before memberlist gets it.
	maxStreamHead = 128
)

// transport is memberlist's own transport behind a filter: inbound traffic is checked for its label and
// against the bounds, outbound datagrams are read for suspicions and refutations, and both are counted.
// With a relay (tests and the laboratory alone), all outbound traffic goes through it.
type transport struct {
	*memberlist.NetTransport
	fleet       *Fleet
	timeout     time.Duration
	relay       netip.AddrPort
	dialer      proxy.ContextDialer
	packets     chan *memberlist.Packet
	streams     chan net.Conn
	streamSlots chan struct{}
	stop        chan struct{}
	once        sync.Once
	done        sync.WaitGroup
}

func newTransport(f *Fleet, ip string, port int, timeout time.Duration, lg *log.Logger) (*transport, error) {
	t := &transport{fleet: f, timeout: timeout, packets: make(chan *memberlist.Packet),
		streams: make(chan net.Conn), streamSlots: make(chan struct{}, maxPendingStreams),
		stop: make(chan struct{})}
	if f.opts.Relay != "" {
		var err error
		if t.relay, err = netip.ParseAddrPort(f.opts.Relay); err != nil {
			return nil, fmt.Errorf("fleet.relay: %w", err)
		}
		d, err := proxy.SOCKS5("tcp", f.opts.Relay, nil, &net.Dialer{Timeout: timeout})
		if err != nil {
			return nil, fmt.Errorf("fleet.relay: %w", err)
		}
		t.dialer = d.(proxy.ContextDialer)
	}
	var err error
	t.NetTransport, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{ip}, BindPort: port, Logger: lg})
	if err != nil {
		return nil, err
	}
	t.done.Add(2)
	go t.filterPackets()
	go t.filterStreams()
	return t, nil
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) Shutdown() error {
	var err error
	t.once.Do(func() {
		close(t.stop)
		// It waits for its listeners, and they wait until what they have read is taken.
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			err = t.NetTransport.Shutdown()
		}()
		for over := false; !over; {
			select {
			case <-t.NetTransport.PacketCh():
			case c := <-t.NetTransport.StreamCh():
				c.Close()
			case <-ended:
				over = true
			}
		}
		t.done.Wait()
	})
	return err
}

// filterPackets hands on the datagrams that pass the checks.
func (t *transport) filterPackets() {
	defer t.done.Done()
	for {
		select {
		case <-t.stop:
			return
		case p := <-t.NetTransport.PacketCh():
			t.fleet.traffic.packetsIn.Add(1)
			t.fleet.traffic.bytesIn.Add(int64(len(p.Buf)))
			b, err := t.removeLabel(p.Buf)
			if err == nil {
				err = readPacket(b, nil)
			}
			if err != nil {
				t.reject("datagram", p.From, err)
				continue
			}
			p.Buf = b
			select {
			case t.packets <- p:
			case <-t.stop:
				return
			}
		}
	}
}

// errOtherLabel is a datagram or stream of another fleet.
var errOtherLabel = errors.New("another fleet's label")

func (t *transport) removeLabel(b []byte) ([]byte, error) {
	b, label, err := memberlist.RemoveLabelHeaderFromPacket(b)
	if err == nil && label != t.fleet.opts.Label {
		err = fmt.Errorf("%w %q", errOtherLabel, label)
	}
	return b, err
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

// filterStreams has each stream checked in a goroutine of its own.
func (t *transport) filterStreams() {
	defer t.done.Done()
	for {
		select {
		case <-t.stop:
			return
		case c := <-t.NetTransport.StreamCh():
			select {
			case t.streamSlots <- struct{}{}:
				t.done.Add(1)
				go t.filterStream(c)
			default:
				t.reject("stream", c.RemoteAddr(), errors.New("too many at once"))
				c.Close()
			}
		}
	}
}

// filterStream checks a stream's label and first bytes and hands on all of it, or closes it.
func (t *transport) filterStream(c net.Conn) {
	defer t.done.Done()
	defer func() { <-t.streamSlots }()
	t.fleet.traffic.streamsIn.Add(1)
	c.SetDeadline(time.Now().Add(t.timeout))
	counted := &countedConn{Conn: c, traffic: &t.fleet.traffic}
	plain, label, err := memberlist.RemoveLabelHeaderFromStream(counted)
	if err == nil && label != t.fleet.opts.Label {
		err = fmt.Errorf("%w %q", errOtherLabel, label)
	}
	limit := 0
	var in *bufio.Reader
	if err == nil {
		in = bufio.NewReaderSize(plain, maxStreamHead)
		limit, err = t.checkHead(in)
	}
	if err != nil {
		c.Close()
		t.reject("stream", c.RemoteAddr(), err)
		return
	}
	c.SetDeadline(time.Time{}) // memberlist sets its own
	select {
	case t.streams <- &limitedConn{Conn: plain, in: io.LimitReader(in, int64(limit))}:
	case <-t.stop:
		c.Close()
	}
}

// checkHead reads as much of a stream as it takes to check its head, in however many segments that arrives,
// and returns how many bytes the stream may have. It consumes nothing.
func (t *transport) checkHead(in *bufio.Reader) (int, error) {
	for n := 1; ; n = in.Buffered() + 1 {
		if _, err := in.Peek(n); err != nil {
			return 0, err
		}
		head, _ := in.Peek(in.Buffered())
		limit, err := checkStream(head, t.fleet.opts.Membership.MaxMembers)
		if err == nil || !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) ||
			len(head) >= maxStreamHead {
			return limit, err
		}
	}
}

// limitedConn is a stream that was checked, with the bytes that were, up to its bound.
type limitedConn struct {
	net.Conn
	in io.Reader
}

func (c *limitedConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// countedConn counts a stream's bytes, both ways.
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

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	t.fleet.traffic.packetsOut.Add(1)
	t.fleet.traffic.bytesOut.Add(int64(len(b)))
	if plain, err := t.removeLabel(b); err == nil {
		_ = readPacket(plain, t.fleet.observeOutbound) // all that memberlist sends is well-formed
	}
	if !t.relay.IsValid() {
		return t.NetTransport.WriteTo(b, addr)
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	return t.NetTransport.WriteTo(RelayDatagram(to, b), t.relay.String())
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	t.fleet.traffic.streamsOut.Add(1)
	var c net.Conn
	var err error
	if t.dialer != nil {
		c, err = dialContext(t.dialer, addr, timeout)
	} else {
		c, err = t.NetTransport.DialTimeout(addr, timeout)
	}
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: &t.fleet.traffic}, nil
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// traffic counts what passes the gossip port, labels included.
type traffic struct {
	packetsIn, packetsOut, bytesIn, bytesOut, streamsIn, streamsOut atomic.Int64
	rejected, otherLabel                                            atomic.Int64
}

func (t *traffic) addTo(c *Counters) {
	c.PacketsIn, c.PacketsOut = t.packetsIn.Load(), t.packetsOut.Load()
	c.StreamsIn, c.StreamsOut = t.streamsIn.Load(), t.streamsOut.Load()
	c.BytesIn, c.BytesOut = t.bytesIn.Load(), t.bytesOut.Load()
	c.WireRefused, c.OtherLabel = t.rejected.Load(), t.otherLabel.Load()
}
