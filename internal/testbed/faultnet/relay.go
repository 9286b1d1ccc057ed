package faultnet

import (
	"bufio"
	"context"
	"encoding/binary"
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
	// maxDatagram is the size of the largest datagram, in bytes.
	maxDatagram = 65536
	// acceptRetryInterval is how long a relay waits after it failed to accept a stream.
	acceptRetryInterval = 5 * time.Millisecond
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
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := r.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if to, payload, err := gossip.ParseRelayDatagram(buffer[:size]); err == nil {
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
			time.Sleep(acceptRetryInterval)
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
	handshake := r.net.stalls.Wrap(c)
	handshake.SetDeadline(time.Now().Add(handshakeTimeout))
	in := bufio.NewReader(handshake)
	to, err := readConnect(in, handshake)
	if err != nil {
		return
	}
	handshake.SetDeadline(time.Time{})
	path := r.net.awaitHandshake(r.name, to)
	if path == nil {
		return
	}
	upstream, err := r.net.dial(to)
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
	both.Go(func() { r.net.pipe(in, c, upstream, path.out) })
	both.Go(func() { r.net.pipe(upstream, upstream, c, path.back) })
	both.Wait()
}

// dial connects to a member, within handshakeTimeout.
func (n *Net) dial(to netip.AddrPort) (net.Conn, error) {
	ctx, cancel := n.stalls.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", to.String())
}

// The numbers of SOCKS5 (RFC 1928, sections 3 to 6).
const (
	socksVersion       = 5
	noAuthentication   = 0
	commandConnect     = 1
	addressIPv4        = 1
	statusSucceeded    = 0
	statusRefused      = 5
	greetingHeadSize   = 2  // version, number of methods
	connectRequestSize = 10 // version, command, reserved, address type, IPv4 address, port
	offsetAddressType  = 3
	offsetAddress      = 4
	offsetPort         = 8
)

// Replies to CONNECT. The address in them, which callers don't use, is 0.0.0.0:0.
var (
	replySucceeded = []byte{socksVersion, statusSucceeded, 0, addressIPv4, 0, 0, 0, 0, 0, 0}
	replyRefused   = []byte{socksVersion, statusRefused, 0, addressIPv4, 0, 0, 0, 0, 0, 0}
)

// streamPath is the links that a stream crosses.
type streamPath struct {
	out  *link // from the member that opened it
	back *link
}

// awaitHandshake counts a new stream from a member to an address and waits as long as its handshake takes
// over the links out and back, which it returns. It returns nil if a link is blocked or the network closes.
func (n *Net) awaitHandshake(from string, address netip.AddrPort) *streamPath {
	n.mu.Lock()
	to := n.memberAt[address]
	path := &streamPath{out: n.link(from, to), back: n.link(to, from)}
	path.out.counts.Streams++
	changed, blocked := n.changed, path.out.fault.Blocked || path.back.fault.Blocked
	if blocked {
		path.out.counts.Refused++
	}
	delay := n.delay(path.out.fault) + n.delay(path.back.fault)
	n.mu.Unlock()
	if blocked {
		// A dial over a blocked link gets no answer: it waits until the caller gives up or a fault changes; the
		// caller's retry then gets through.
		select {
		case <-time.After(blockedDialTimeout):
		case <-changed:
		case <-n.closed:
		}
		return nil
	}
	select {
	case <-time.After(delay):
		return path
	case <-n.closed:
		return nil
	}
}

// readConnect reads the greeting and the request of a caller, answers the greeting and returns the address
// that the caller wants to connect to.
func readConnect(in *bufio.Reader, out io.Writer) (netip.AddrPort, error) {
	if err := readGreeting(in); err != nil {
		return netip.AddrPort{}, err
	}
	if _, err := out.Write([]byte{socksVersion, noAuthentication}); err != nil {
		return netip.AddrPort{}, err
	}
	request := make([]byte, connectRequestSize)
	if _, err := io.ReadFull(in, request); err != nil {
		return netip.AddrPort{}, err
	}
	if request[0] != socksVersion || request[1] != commandConnect || request[offsetAddressType] != addressIPv4 {
		return netip.AddrPort{}, errors.New("no CONNECT to an IPv4 address")
	}
	ip := netip.AddrFrom4([4]byte(request[offsetAddress:offsetPort]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(request[offsetPort:])), nil
}

// readGreeting reads a caller's greeting, whatever methods of authentication it offers.
func readGreeting(in *bufio.Reader) error {
	head := make([]byte, greetingHeadSize)
	if _, err := io.ReadFull(in, head); err != nil {
		return err
	}
	methods := int(head[1])
	if _, err := in.Discard(methods); err != nil || head[0] != socksVersion {
		return errors.New("no SOCKS5")
	}
	return nil
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
	for part := range inFlight {
		if !n.waitOpen(part.due, l) {
			break
		}
		if _, err := to.Write(part.data); err != nil {
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
		data := make([]byte, chunkSize)
		size, err := in.Read(data)
		if size > 0 {
			delay := n.chunkDelay(l, size)
			select {
			case inFlight <- chunk{data[:size], time.Now().Add(delay)}:
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
	if n.drawLoss(l.fault) {
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
