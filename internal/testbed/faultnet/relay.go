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

// relay is the SOCKS5 server that one member sends through.
type relay struct {
	net     *Net
	name    string
	address string
	streams net.Listener
	packets *net.UDPConn

	mu    sync.Mutex
	conns map[net.Conn]bool
}

const (
	// relayPortAttempts bounds the search for a port that is free for streams and datagrams.
	relayPortAttempts = 20
	// readBuffer is the size of a datagram socket's buffer, in bytes.
	readBuffer = 1 << 20
)

// openRelay opens a relay with one port for streams and datagrams: the system chooses the port for streams;
// if it is taken for datagrams, another is chosen.
func (n *Net) openRelay(name string) (*relay, error) {
	var last error
	for range relayPortAttempts {
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
		_ = p.SetReadBuffer(readBuffer) // with the default buffer more datagrams get lost in a burst
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
	_ = r.packets.Close() // closed once: nothing to report
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
	r.conns = nil
}

// track registers a connection so that close ends it. If the relay is closed, it closes the connection and
// returns false.
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

// closeConn closes a connection that track registered.
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

// serveStream serves one CONNECT: it dials the receiver and pipes both directions.
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
	out, back, ok := r.net.crossToDial(r.name, to)
	if !ok {
		return
	}
	upstream, err := net.DialTimeout("tcp4", to.String(), handshakeTimeout)
	if err != nil {
		_, _ = c.Write(replyRefused) // the stream ends in any case
		return
	}
	if !r.track(upstream) {
		return
	}
	defer r.closeConn(upstream)
	if _, err := c.Write(replySucceeded); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.net.pipe(in, c, upstream, out) })
	both.Go(func() { r.net.pipe(upstream, upstream, c, back) })
	both.Wait()
}

// Replies to CONNECT (RFC 1928, section 6).
var (
	replySucceeded = []byte{5, 0, 0, 1, 0, 0, 0, 0, 0, 0}
	replyRefused   = []byte{5, 5, 0, 1, 0, 0, 0, 0, 0, 0}
)

// crossToDial counts a new stream from a member to an address and waits as long as its handshake takes over
// the links out and back, which it returns. It returns false if a link is blocked or the network closes.
func (n *Net) crossToDial(from string, address netip.AddrPort) (out, back *link, ok bool) {
	n.mu.Lock()
	to := n.memberAt[address]
	out, back = n.link(from, to), n.link(to, from)
	out.counts.Streams++
	changed, blocked := n.changed, out.fault.Blocked || back.fault.Blocked
	if blocked {
		out.counts.Refused++
	}
	delay := n.delay(out.fault) + n.delay(back.fault)
	n.mu.Unlock()
	if blocked {
		// A dial over a blocked link gets no answer: it waits until the caller gives up or a fault changes; the
		// caller's retry then gets through.
		select {
		case <-time.After(blockedDialTimeout):
		case <-changed:
		case <-n.closed:
		}
		return nil, nil, false
	}
	select {
	case <-time.After(delay):
		return out, back, true
	case <-n.closed:
		return nil, nil, false
	}
}

// connect reads the greeting and the request of RFC 1928, answers the greeting and returns the address asked
// for.
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

// chunk is a part of a stream in transit.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe forwards one direction of a stream over a link, with its delays, and closes the write side of to once
// in ends. from is the connection that in reads; it is closed if to fails.
func (n *Net) pipe(in io.Reader, from, to net.Conn, l *link) {
	inFlight := make(chan chunk, maxChunks)
	stopped := make(chan struct{})
	go func() {
		defer close(inFlight)
		n.readChunks(in, l, inFlight, stopped)
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
		_ = c.CloseWrite() // fails only if the stream is broken already
	}
}

// readChunks reads a stream's chunks and sends them to inFlight, each due after its delay over the link,
// until the stream ends or stopped closes.
func (n *Net) readChunks(in io.Reader, l *link, inFlight chan<- chunk, stopped <-chan struct{}) {
	for {
		b := make([]byte, chunkSize)
		size, err := in.Read(b)
		if size > 0 {
			delay := n.chunkDelay(l, size)
			select {
			case inFlight <- chunk{b[:size], time.Now().Add(delay)}:
			case <-stopped:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// chunkDelay counts a chunk and draws its delay over a link.
func (n *Net) chunkDelay(l *link, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := n.delay(l.fault)
	if l.fault.Drop > 0 && n.rng.Float64() < l.fault.Drop {
		delay += retransmitDelay
	}
	l.counts.Bytes += int64(size)
	return delay
}

// waitOpen waits until a chunk is due and the link is open. It returns false if the network closes first.
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
