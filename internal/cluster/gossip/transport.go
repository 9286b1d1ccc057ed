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
	// streamsAtOnce is how many streams may wait to be looked at; one more is closed.
	streamsAtOnce = 64
	// streamHead is how much of a stream is looked at before memberlist gets it.
	streamHead = 128
)

// transport is memberlist's own transport with a gate before it: what comes is held to the label and the
// bounds, what goes is read for suspicions and refutations, both are counted. Where there is a relay (tests
// and the laboratory alone) everything to others goes through it.
type transport struct {
	*memberlist.NetTransport
	f       *Fleet
	timeout time.Duration
	relay   netip.AddrPort
	dialer  proxy.ContextDialer
	packets chan *memberlist.Packet
	streams chan net.Conn
	places  chan struct{}
	stop    chan struct{}
	once    sync.Once
	done    sync.WaitGroup
}

func newTransport(f *Fleet, ip string, port int, timeout time.Duration, lg *log.Logger) (*transport, error) {
	t := &transport{f: f, timeout: timeout, packets: make(chan *memberlist.Packet),
		streams: make(chan net.Conn), places: make(chan struct{}, streamsAtOnce), stop: make(chan struct{})}
	if f.opt.Relay != "" {
		var err error
		if t.relay, err = netip.ParseAddrPort(f.opt.Relay); err != nil {
			return nil, fmt.Errorf("fleet.relay: %w", err)
		}
		d, err := proxy.SOCKS5("tcp", f.opt.Relay, nil, &net.Dialer{Timeout: timeout})
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
	go t.passPackets()
	go t.passStreams()
	return t, nil
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) Shutdown() error {
	var err error
	t.once.Do(func() {
		close(t.stop)
		// It waits for its listeners, and they for somebody to take what they have read.
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

// passPackets hands on what passes the gate.
func (t *transport) passPackets() {
	defer t.done.Done()
	for {
		select {
		case <-t.stop:
			return
		case p := <-t.NetTransport.PacketCh():
			t.f.wire.packetsIn.Add(1)
			t.f.wire.bytesIn.Add(int64(len(p.Buf)))
			b, err := t.unlabel(p.Buf)
			if err == nil {
				err = readPacket(b, nil)
			}
			if err != nil {
				t.refuse("datagram", p.From, err)
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

var errLabel = errors.New("another fleet's label")

func (t *transport) unlabel(b []byte) ([]byte, error) {
	b, label, err := memberlist.RemoveLabelHeaderFromPacket(b)
	if err == nil && label != t.f.opt.Label {
		err = fmt.Errorf("%w %q", errLabel, label)
	}
	return b, err
}

// refuse counts and tells what the gate does not let in.
func (t *transport) refuse(what string, from net.Addr, err error) {
	if errors.Is(err, errLabel) {
		t.f.wire.otherLabel.Add(1)
	} else {
		t.f.wire.refused.Add(1)
	}
	t.f.log.Warn("fleet: a "+what+" was refused", "from", from.String(), "why", err.Error())
}

func (t *transport) passStreams() {
	defer t.done.Done()
	for {
		select {
		case <-t.stop:
			return
		case c := <-t.NetTransport.StreamCh():
			select {
			case t.places <- struct{}{}:
				t.done.Add(1)
				go t.passStream(c)
			default:
				t.refuse("stream", c.RemoteAddr(), errors.New("too many at once"))
				c.Close()
			}
		}
	}
}

// passStream looks at a stream's label and first bytes and hands it on whole, or closes it.
func (t *transport) passStream(c net.Conn) {
	defer t.done.Done()
	defer func() { <-t.places }()
	t.f.wire.streamsIn.Add(1)
	c.SetDeadline(time.Now().Add(t.timeout))
	counted := &countedConn{Conn: c, wire: &t.f.wire}
	plain, label, err := memberlist.RemoveLabelHeaderFromStream(counted)
	if err == nil && label != t.f.opt.Label {
		err = fmt.Errorf("%w %q", errLabel, label)
	}
	limit := 0
	var in *bufio.Reader
	if err == nil {
		in = bufio.NewReaderSize(plain, streamHead)
		limit, err = t.readHead(in)
	}
	if err != nil {
		c.Close()
		t.refuse("stream", c.RemoteAddr(), err)
		return
	}
	c.SetDeadline(time.Time{}) // memberlist sets its own
	select {
	case t.streams <- &gatedConn{Conn: plain, in: io.LimitReader(in, int64(limit))}:
	case <-t.stop:
		c.Close()
	}
}

// readHead waits until the head of a stream is there, however it was cut on its way, and checks it.
func (t *transport) readHead(in *bufio.Reader) (int, error) {
	for n := 1; ; n = in.Buffered() + 1 {
		if _, err := in.Peek(n); err != nil {
			return 0, err
		}
		head, _ := in.Peek(in.Buffered())
		limit, err := checkStream(head, t.f.opt.View.MaxMembers)
		if err == nil || !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) ||
			len(head) >= streamHead {
			return limit, err
		}
	}
}

// gatedConn reads what was looked at first, and no more than its bound.
type gatedConn struct {
	net.Conn
	in io.Reader
}

func (c *gatedConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// countedConn counts a stream's bytes.
type countedConn struct {
	net.Conn
	wire *wire
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wire.bytesIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wire.bytesOut.Add(int64(n))
	return n, err
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	t.f.wire.packetsOut.Add(1)
	t.f.wire.bytesOut.Add(int64(len(b)))
	if plain, err := t.unlabel(b); err == nil {
		readPacket(plain, t.f.sent)
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
	t.f.wire.streamsOut.Add(1)
	var c net.Conn
	var err error
	if t.dialer != nil {
		c, err = dialWithin(t.dialer, addr, timeout)
	} else {
		c, err = t.NetTransport.DialTimeout(addr, timeout)
	}
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, wire: &t.f.wire}, nil
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// wire counts what passes on the gossip port, labels included.
type wire struct {
	packetsIn, packetsOut, bytesIn, bytesOut, streamsIn, streamsOut atomic.Int64
	refused, otherLabel                                             atomic.Int64
}
