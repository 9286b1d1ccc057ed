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

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// openRelay makes a relay with one port for streams and datagrams. The system chooses the stream's port;
// where that port is taken for datagrams another is tried.
func (n *Net) openRelay(name string) (*relay, error) {
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
		r := &relay{net: n, name: name, address: at.String(), streams: l, packets: p, conns: map[net.Conn]bool{}}
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
	for c := range r.conns {
		c.Close()
	}
	r.conns = nil
}

// track notes a connection so that close ends it; false where the relay is closed.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) closeConn(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
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
			r.net.forward(r.name, to, payload)
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
		if r.track(c) {
			r.net.done.Add(1)
			go r.serveStream(c)
		}
	}
}

// serveStream serves one CONNECT.
func (r *relay) serveStream(c net.Conn) {
	defer r.net.done.Done()
	defer r.closeConn(c)
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	in := bufio.NewReader(c)
	to, err := connect(in, c)
	if err != nil {
		return
	}
	c.SetDeadline(time.Time{})
	n := r.net
	n.mu.Lock()
	name := n.memberAt[to]
	out, back := n.link(r.name, name), n.link(name, r.name)
	out.counts.Streams++
	changed, blocked := n.changed, out.fault.Blocked || back.fault.Blocked
	if blocked {
		out.counts.Refused++
	}
	delay := n.delay(out.fault) + n.delay(back.fault)
	n.mu.Unlock()
	if blocked {
		// Opening a connection over a cut link finds nobody: it stands until the caller gives up or the
		// link heals, when the caller's next try gets through.
		select {
		case <-time.After(blockedDialTimeout):
		case <-changed:
		case <-n.closed:
		}
		return
	}
	select {
	case <-time.After(delay):
	case <-n.closed:
		return
	}
	upstream, err := net.DialTimeout("tcp4", to.String(), handshakeTimeout)
	if err != nil {
		c.Write([]byte{5, 5, 0, 1, 0, 0, 0, 0, 0, 0}) // connection refused
		return
	}
	if !r.track(upstream) {
		return
	}
	defer r.closeConn(upstream)
	if _, err := c.Write([]byte{5, 0, 0, 1, 0, 0, 0, 0, 0, 0}); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); n.pipe(in, c, upstream, out) }()
	go func() { defer both.Done(); n.pipe(upstream, upstream, c, back) }()
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

// chunk is a part of a stream under way: due at a time, or the end.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe carries one direction of a stream over a link, with its delays, and closes the other side's writing
// once this side's ends.
func (n *Net) pipe(in io.Reader, from, to net.Conn, l *link) {
	inFlight := make(chan chunk, maxChunks)
	stopped := make(chan struct{})
	go func() {
		defer close(inFlight)
		for {
			b := make([]byte, chunkSize)
			size, err := in.Read(b)
			if size > 0 {
				n.mu.Lock()
				wait := n.delay(l.fault)
				if l.fault.Drop > 0 && n.rng.Float64() < l.fault.Drop {
					wait += retransmitDelay
				}
				l.counts.Bytes += int64(size)
				n.mu.Unlock()
				select {
				case inFlight <- chunk{b[:size], time.Now().Add(wait)}:
				case <-stopped:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(stopped)
	for p := range inFlight {
		if !n.waitOpen(p.due, l) {
			break
		}
		if _, err := to.Write(p.data); err != nil {
			from.Close()
			return
		}
	}
	if c, ok := to.(*net.TCPConn); ok {
		c.CloseWrite()
	}
}

// waitOpen waits until a piece is due and the link is open; false where the network closes first.
func (n *Net) waitOpen(due time.Time, l *link) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-n.closed:
			return false
		}
	}
	for {
		n.mu.Lock()
		blocked, changed := l.fault.Blocked, n.changed
		n.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-n.closed:
			return false
		}
	}
}
