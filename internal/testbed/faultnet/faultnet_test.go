package faultnet

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/proxy"

	"cresshub/internal/cluster/gossip"
)

// patience bounds every wait of a test; no verdict depends on how much of it is used.
const patience = 10 * time.Second

// The members of the tests.
const (
	sender   = "m-0"
	receiver = "m-1"
)

// testNet is a network with a sender and a receiver.
type testNet struct {
	*qt.C
	*Net
	relay   string         // of the sender
	dialer  proxy.Dialer   // dials through that relay
	packets net.PacketConn // of the receiver
	streams net.Listener   // of the receiver, echoes what it gets
}

func newTestNet(t *testing.T) *testNet {
	t.Helper()
	c := qt.New(t)
	n, err := New(1)
	c.Assert(err, qt.IsNil)
	c.Cleanup(n.Close)
	test := &testNet{C: c, Net: n}
	test.relay, err = n.Relay(sender)
	c.Assert(err, qt.IsNil)
	test.dialer, err = proxy.SOCKS5("tcp", test.relay, nil, proxy.Direct)
	c.Assert(err, qt.IsNil)
	test.packets, err = net.ListenPacket("udp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { test.packets.Close() })
	test.streams, err = net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { test.streams.Close() })
	go echo(test.streams)
	c.Assert(n.AddAddress(receiver, test.packets.LocalAddr().String()), qt.IsNil)
	c.Assert(n.AddAddress(receiver, test.streams.Addr().String()), qt.IsNil)
	return test
}

// echo returns to each caller what it sends, until the listener ends.
func echo(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_, _ = io.Copy(conn, conn) // ends with the connection, however it ends
		}()
	}
}

// sendDatagram sends a datagram through the sender's relay.
func (n *testNet) sendDatagram(text string) {
	conn, err := net.Dial("udp4", n.relay)
	n.Assert(err, qt.IsNil)
	defer conn.Close()
	to, err := netip.ParseAddrPort(n.packets.LocalAddr().String())
	n.Assert(err, qt.IsNil)
	_, err = conn.Write(gossip.EncodeRelayDatagram(to, []byte(text)))
	n.Assert(err, qt.IsNil)
}

// receiveDatagram returns the next datagram at the receiver.
func (n *testNet) receiveDatagram() string {
	buffer := make([]byte, 100)
	n.packets.SetReadDeadline(time.Now().Add(patience))
	size, _, err := n.packets.ReadFrom(buffer)
	n.Assert(err, qt.IsNil)
	return string(buffer[:size])
}

// open opens a stream to the receiver through the sender's relay.
func (n *testNet) open() (net.Conn, error) {
	conn, err := n.dialer.Dial("tcp", n.streams.Addr().String())
	if err == nil {
		n.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
	}
	return conn, err
}

// roundTrip sends a text on a stream and reads what comes back.
func (n *testNet) roundTrip(conn net.Conn, text string) string {
	_, err := io.WriteString(conn, text)
	n.Assert(err, qt.IsNil)
	back := make([]byte, len(text))
	_, err = io.ReadFull(conn, back)
	n.Assert(err, qt.IsNil)
	return string(back)
}

// await waits until the link from the sender has counts that hold.
func (n *testNet) await(what string, holds func(Counts) bool) {
	n.Helper()
	for end := time.Now().Add(patience); !holds(n.Counts(sender, receiver)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			n.Fatalf("never: %s; %+v", what, n.Counts(sender, receiver))
		}
	}
}

// Without a fault everything arrives, and each link counts what it carries in its own direction.
func TestNoFault(t *testing.T) {
	n := newTestNet(t)
	n.sendDatagram("hello")
	n.Assert(n.receiveDatagram(), qt.Equals, "hello")
	conn, err := n.open()
	n.Assert(err, qt.IsNil)
	n.Assert(n.roundTrip(conn, "stream"), qt.Equals, "stream")
	n.Assert(n.Counts(sender, receiver), qt.Equals,
		Counts{Datagrams: 1, Bytes: int64(len("hello") + len("stream")), Streams: 1})
	n.Assert(n.Counts(receiver, sender), qt.Equals, Counts{Bytes: int64(len("stream"))})
}

// Datagrams over a blocked link and beyond the fraction that passes are lost, and later ones pass.
func TestLostDatagrams(t *testing.T) {
	for name, fault := range map[string]Fault{"blocked": {Blocked: true}, "dropped": {Drop: 1}} {
		t.Run(name, func(t *testing.T) {
			n := newTestNet(t)
			n.Set(sender, receiver, fault)
			n.sendDatagram("lost")
			n.await("the datagram is lost", func(c Counts) bool { return c.Lost == 1 })
			n.Heal()
			n.sendDatagram("arrives")
			n.Assert(n.receiveDatagram(), qt.Equals, "arrives")
		})
	}
}

// A fault delays datagrams and streams by at least its delay.
func TestDelay(t *testing.T) {
	const delay = 50 * time.Millisecond
	n := newTestNet(t)
	n.Set(sender, receiver, Fault{Delay: delay, Jitter: delay})
	began := time.Now()
	n.sendDatagram("late")
	n.Assert(n.receiveDatagram(), qt.Equals, "late")
	n.Assert(time.Since(began) >= delay, qt.IsTrue)
	conn, err := n.open()
	n.Assert(err, qt.IsNil)
	began = time.Now()
	n.Assert(n.roundTrip(conn, "late"), qt.Equals, "late")
	n.Assert(time.Since(began) >= delay, qt.IsTrue)
}

// A stream stalls while a partition lasts, and continues without loss once the partition heals.
func TestStreamOutlivesAPartition(t *testing.T) {
	n := newTestNet(t)
	conn, err := n.open()
	n.Assert(err, qt.IsNil)
	n.Assert(n.roundTrip(conn, "before"), qt.Equals, "before")
	n.Partition([]string{sender}, []string{receiver})
	_, err = io.WriteString(conn, "during")
	n.Assert(err, qt.IsNil)
	conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err = conn.Read(make([]byte, 1))
	n.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	n.Heal()
	conn.SetReadDeadline(time.Now().Add(patience))
	back := make([]byte, len("during"))
	_, err = io.ReadFull(conn, back)
	n.Assert(err, qt.IsNil)
	n.Assert(string(back), qt.Equals, "during")
}

// A stream is not opened while either direction is blocked, and the wait for it ends with the fault.
func TestNoStreamOverABlockedLink(t *testing.T) {
	for name, ends := range map[string][2]string{"out": {sender, receiver}, "back": {receiver, sender}} {
		t.Run(name, func(t *testing.T) {
			n := newTestNet(t)
			n.Set(ends[0], ends[1], Fault{Blocked: true})
			opened := make(chan error, 1)
			go func() {
				_, err := n.open()
				opened <- err
			}()
			n.await("the stream is refused", func(c Counts) bool { return c.Refused == 1 })
			n.Heal()
			n.Assert(<-opened, qt.Not(qt.IsNil))
			_, err := n.open()
			n.Assert(err, qt.IsNil)
		})
	}
}

// Close ends the streams, and may be called twice.
func TestCloseEndsStreams(t *testing.T) {
	n := newTestNet(t)
	conn, err := n.open()
	n.Assert(err, qt.IsNil)
	n.Close()
	n.Close()
	_, err = conn.Read(make([]byte, 1))
	n.Assert(err, qt.Not(qt.IsNil))
	n.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
}

// A relay turns away what is no SOCKS5, and addresses that are none.
func TestMalformedCalls(t *testing.T) {
	n := newTestNet(t)
	n.Assert(n.AddAddress(receiver, "nowhere"), qt.ErrorMatches, "address of m-1: .*")
	for name, text := range map[string]string{
		"another version":      "\x04\x01\x00",
		"another command":      "\x05\x01\x00\x05\x02\x00\x01\x7f\x00\x00\x01\x00\x01",
		"another address type": "\x05\x01\x00\x05\x01\x00\x03\x7f\x00\x00\x01\x00\x01",
	} {
		conn, err := net.Dial("tcp4", n.relay)
		n.Assert(err, qt.IsNil)
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(patience))
		_, err = io.WriteString(conn, text)
		n.Assert(err, qt.IsNil)
		_, err = io.ReadAll(conn)
		n.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf(name))
	}
}
