package faultnet

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"cresshub/internal/cluster/gossip"
)

// relay is what one member sends through.
type relay struct {
	net     *Net
	name    string
	address string
	streams net.Listener
	packets *net.UDPConn

	mu   sync.Mutex
	open map[net.Conn]bool
}

// open makes a relay with one port for streams and datagrams. The system chooses the stream's port; where
// that port is taken for datagrams another is tried.
func (n *Net) open(name string) (*relay, error) {
	var last error
	for range 20 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		at := l.Addr().(*net.TCPAddr)
		p, err := net.ListenUDP("udp4", &net.UDPAddr{IP: at.IP, Port: at.Port})
		if err != nil {
			last = err
			l.Close()
			continue
		}
		p.SetReadBuffer(1 << 20)
		r := &relay{net: n, name: name, address: at.String(), streams: l, packets: p, open: map[net.Conn]bool{}}
		n.done.Add(2)
		go r.servePackets()
		go r.serveStreams()
		return r, nil
	}
	return nil, last
}

func (r *relay) close() {
	r.streams.Close()
	r.packets.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
	r.open = nil
}

// keep notes a connection so that close ends it; false where the relay is closed.
func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		c.Close()
		return false
	}
	r.open[c] = true
	return true
}

func (r *relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

func (r *relay) servePackets() {
	defer r.net.done.Done()
	b := make([]byte, 65536)
	for {
		size, _, err := r.packets.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if to, payload, err := gossip.ParseRelayDatagram(b[:size]); err == nil {
			r.net.send(r.name, to, payload)
		}
	}
}

func (r *relay) serveStreams() {
	defer r.net.done.Done()
	for {
		c, err := r.streams.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if r.keep(c) {
			r.net.done.Add(1)
			go r.stream(c)
		}
	}
}

// stream serves one CONNECT.
func (r *relay) stream(c net.Conn) {
	defer r.net.done.Done()
	defer r.drop(c)
	c.SetDeadline(time.Now().Add(handshake))
	in := bufio.NewReader(c)
	to, err := connect(in, c)
	if err != nil {
		return
	}
	c.SetDeadline(time.Time{})
	n := r.net
	n.mu.Lock()
	name := n.names[to]
	there, back := n.link(r.name, name), n.link(name, r.name)
	there.counts.Streams++
	changed, cut := n.changed, there.fault.Cut || back.fault.Cut
	if cut {
		there.counts.Refused++
	}
	wait := n.delay(there.fault) + n.delay(back.fault)
	n.mu.Unlock()
	if cut {
		// Opening a connection over a cut link finds nobody: it stands until the caller gives up or the
		// link heals, when the caller's next try gets through.
		select {
		case <-time.After(heldFor):
		case <-changed:
		case <-n.closed:
		}
		return
	}
	select {
	case <-time.After(wait):
	case <-n.closed:
		return
	}
	o, err := net.DialTimeout("tcp4", to.String(), handshake)
	if err != nil {
		c.Write([]byte{5, 5, 0, 1, 0, 0, 0, 0, 0, 0}) // connection refused
		return
	}
	if !r.keep(o) {
		return
	}
	defer r.drop(o)
	if _, err := c.Write([]byte{5, 0, 0, 1, 0, 0, 0, 0, 0, 0}); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); n.pipe(in, c, o, there) }()
	go func() { defer both.Done(); n.pipe(o, o, c, back) }()
	both.Wait()
}

// connect reads the greeting and the request of RFC 1928 and answers the greeting.
func connect(in *bufio.Reader, out io.Writer) (netip.AddrPort, error) {
	var to netip.AddrPort
	head := make([]byte, 2)
	if _, err := io.ReadFull(in, head); err != nil {
		return to, err
	}
	if _, err := in.Discard(int(head[1])); err != nil || head[0] != 5 {
		return to, errors.New("no SOCKS5")
	}
	if _, err := out.Write([]byte{5, 0}); err != nil {
		return to, err
	}
	q := make([]byte, 10)
	if _, err := io.ReadFull(in, q); err != nil {
		return to, err
	}
	if q[0] != 5 || q[1] != 1 || q[3] != 1 {
		return to, errors.New("no CONNECT to an IPv4 address")
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(q[4:8])), uint16(q[8])<<8|uint16(q[9])), nil
}

// piece is a part of a stream under way: due at a time, or the end.
type piece struct {
	b   []byte
	due time.Time
}

// pipe carries one direction of a stream over a link, with its delays, and closes the other side's writing
// once this side's ends.
func (n *Net) pipe(in io.Reader, from, to net.Conn, l *link) {
	way := make(chan piece, chunksMost)
	gone := make(chan struct{})
	go func() {
		defer close(way)
		for {
			b := make([]byte, chunk)
			size, err := in.Read(b)
			if size > 0 {
				n.mu.Lock()
				wait := n.delay(l.fault)
				if l.fault.Drop > 0 && n.rnd.Float64() < l.fault.Drop {
					wait += resendAfter
				}
				l.counts.Bytes += int64(size)
				n.mu.Unlock()
				select {
				case way <- piece{b[:size], time.Now().Add(wait)}:
				case <-gone:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(gone)
	for p := range way {
		if !n.passes(p.due, l) {
			break
		}
		if _, err := to.Write(p.b); err != nil {
			from.Close()
			return
		}
	}
	if c, ok := to.(*net.TCPConn); ok {
		c.CloseWrite()
	}
}

// passes waits until a piece is due and the link is open; false where the network closes first.
func (n *Net) passes(due time.Time, l *link) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-n.closed:
			return false
		}
	}
	for {
		n.mu.Lock()
		cut, changed := l.fault.Cut, n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-n.closed:
			return false
		}
	}
}
