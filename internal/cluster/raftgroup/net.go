package raftgroup

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/net/proxy"
	"google.golang.org/protobuf/proto"
)

// Streams between members carry frames: 4 bytes of length, a byte for the kind, the rest. A caller first says
// hello; what is of another fleet is closed with a plain line in the log.
const (
	frameHello    = 'h' // hello, JSON
	frameRaft     = 'r' // a byte of length, the group's name, a raftpb.Message
	frameRequest  = 'c' // call, JSON
	frameResponse = 'a' // answer, JSON
)

const (
	maxFrameSize          = 64 << 20
	sendQueueSize         = 1024 // frames that wait for one member
	maxInboundConns       = 256  // connections of other members at once
	maxIdleConnsPerMember = 4    // idle connections kept for calls to one member
	dialTimeout           = time.Second
	writeTimeout          = 3 * time.Second
	idleTimeout           = time.Minute // a connection without a frame for so long is closed
	protocolVersion       = 1
)

type hello struct {
	Protocol int    `json:"protocol"`
	Label    string `json:"label"`
	Name     string `json:"name"`
	ID       uint64 `json:"id"`
}

type request struct {
	Kind  string `json:"kind"`
	Group string `json:"group"`
	From  string `json:"from"`
	ID    uint64 `json:"id,omitempty"`
	Data  []byte `json:"data,omitempty"`
	// TimeoutMS is how long the caller waits, in ms: what is not done by then is not worth doing.
	TimeoutMS int64 `json:"within"`
}

type response struct {
	Err    string          `json:"err,omitempty"`
	Leader string          `json:"leader,omitempty"`
	Result json.RawMessage `json:"result,omitempty"`
}

// err is the answer's error as this package's own, where it is one.
func (a *response) err() error {
	if a.Err == "" {
		return nil
	}
	for _, e := range []error{ErrNotLeader, ErrForming, ErrUnknown, ErrBusy, ErrStopped} {
		if a.Err == e.Error() {
			return e
		}
	}
	if len(a.Err) > len(ErrDisk.Error()) && a.Err[:len(ErrDisk.Error())] == ErrDisk.Error() {
		return fmt.Errorf("%w%s", ErrDisk, a.Err[len(ErrDisk.Error()):])
	}
	return errors.New(a.Err)
}

// errNotSent is a call that certainly did not arrive.
var errNotSent = errors.New("the member was not reached")

// network is the streams to and from other members.
type network struct {
	host     *Host
	listener net.Listener
	dialer   proxy.ContextDialer

	mu        sync.Mutex
	addresses map[uint64]string // by the identity of the member's disk
	senders   map[uint64]*sender
	idleConns map[string][]net.Conn
	conns     map[net.Conn]bool
	closed    bool
	stop      chan struct{}
	done      sync.WaitGroup // of goroutines begun while not closed
}

func newNetwork(h *Host) (*network, error) {
	n := &network{host: h, addresses: map[uint64]string{}, senders: map[uint64]*sender{},
		idleConns: map[string][]net.Conn{}, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	direct := &net.Dialer{Timeout: dialTimeout}
	n.dialer = direct
	if h.opts.Relay != "" {
		d, err := proxy.SOCKS5("tcp", h.opts.Relay, nil, direct)
		if err != nil {
			return nil, err
		}
		n.dialer = d.(proxy.ContextDialer)
	}
	var err error
	n.listener, err = net.Listen("tcp", h.opts.Bind)
	return n, err
}

// setAddresses takes where members are reached.
func (n *network) setAddresses(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range peers {
		if p.ReplicaID != 0 && p.Address != "" {
			n.addresses[p.ReplicaID] = p.Address
		}
	}
	for id := range n.addresses { // bounded as the view is, which forgets
		if len(n.addresses) > 2*len(peers)+64 && n.senders[id] == nil {
			delete(n.addresses, id)
		}
	}
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	close(n.stop)
	n.listener.Close()
	for c := range n.conns {
		c.Close()
	}
	n.mu.Unlock()
	n.done.Wait()
}

// track notes a connection so that close ends it; false where the network is closed.
func (n *network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.conns[c] = true
	return true
}

func (n *network) closeConn(c net.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func writeFrame(c net.Conn, kind byte, parts ...[]byte) error {
	size := 1
	for _, p := range parts {
		size += len(p)
	}
	b := make([]byte, 0, 4+size)
	b = append(binary.BigEndian.AppendUint32(b, uint32(size)), kind)
	for _, p := range parts {
		b = append(b, p...)
	}
	_, err := c.Write(b)
	return err
}

func readFrame(r *bufio.Reader, maxSize int) (byte, []byte, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size < 1 || size > maxSize {
		return 0, nil, fmt.Errorf("a frame of %d bytes, %d at most", size, maxSize)
	}
	// Grown as it comes, so that a length alone takes no memory.
	b := make([]byte, 0, min(size-1, 64<<10))
	for len(b) < size-1 {
		offset := len(b)
		b = append(b, make([]byte, min(size-1-offset, 1<<20))...)
		if _, err := io.ReadFull(r, b[offset:]); err != nil {
			return 0, nil, err
		}
	}
	return head[4], b, nil
}

// dial opens a connection to a member and says hello.
func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := n.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if !n.track(c) {
		return nil, net.ErrClosed
	}
	b, _ := json.Marshal(hello{protocolVersion, n.host.opts.Label, n.host.opts.Name, n.host.store.id})
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(c, frameHello, b); err != nil {
		n.closeConn(c)
		return nil, err
	}
	return c, nil
}

// accept takes other members' connections until the network closes.
func (n *network) accept() {
	slots := make(chan struct{}, maxInboundConns)
	for {
		c, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close()
			continue
		}
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			c.Close()
			return
		}
		n.conns[c] = true
		n.done.Add(1)
		n.mu.Unlock()
		go func() {
			defer n.done.Done()
			defer func() { <-slots }()
			defer n.closeConn(c)
			if err := n.serveConn(c); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				n.host.log.Warn("ledger: a member's connection was closed", "from", c.RemoteAddr().String(),
					"why", err.Error())
			}
		}()
	}
}

// serveConn reads one connection's frames.
func (n *network) serveConn(c net.Conn) error {
	c.SetReadDeadline(time.Now().Add(dialTimeout + writeTimeout))
	in := bufio.NewReader(c)
	kind, b, err := readFrame(in, 4096)
	if err != nil {
		return err
	}
	var h hello
	if kind != frameHello || json.Unmarshal(b, &h) != nil {
		return errors.New("it does not say hello")
	}
	if h.Label != n.host.opts.Label || h.Protocol != protocolVersion {
		return fmt.Errorf("it is of the fleet %q with protocol %d; this is %q with %d", h.Label, h.Protocol,
			n.host.opts.Label, protocolVersion)
	}
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		kind, b, err := readFrame(in, maxFrameSize)
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			return nil
		}
		if err != nil {
			return err
		}
		switch kind {
		case frameRaft:
			if len(b) < 1 || len(b) < 1+int(b[0]) {
				return errors.New("a message cut off in its group's name")
			}
			m := &raftpb.Message{}
			if err := proto.Unmarshal(b[1+int(b[0]):], m); err != nil {
				return fmt.Errorf("a message that does not decode: %w", err)
			}
			n.host.deliver(string(b[1:1+int(b[0])]), m)
		case frameRequest:
			var q request
			if err := json.Unmarshal(b, &q); err != nil {
				return fmt.Errorf("a call that does not decode: %w", err)
			}
			within := min(max(time.Duration(q.TimeoutMS)*time.Millisecond, time.Millisecond), time.Minute)
			ctx, cancel := context.WithTimeout(context.Background(), within)
			a := n.host.handleRequest(ctx, q)
			cancel()
			raw, _ := json.Marshal(a)
			c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := writeFrame(c, frameResponse, raw); err != nil {
				return err
			}
		default:
			return fmt.Errorf("kind %d is no frame", kind)
		}
	}
}

// call asks a member and waits for its answer. errNotSent says that it certainly did not hear of it.
func (n *network) call(ctx context.Context, address string, req request, resp *response) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Minute)
	}
	req.TimeoutMS = time.Until(deadline).Milliseconds()
	raw, err := json.Marshal(req)
	if err != nil {
		return err
	}
	c := n.takeIdle(address)
	reused := c != nil
	if !reused {
		if c, err = n.dial(ctx, address); err != nil {
			return fmt.Errorf("%w: %w", errNotSent, err)
		}
	}
	c.SetDeadline(deadline)
	cancelDeadline := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })
	defer cancelDeadline()
	err = writeFrame(c, frameRequest, raw)
	var kind byte
	var body []byte
	if err == nil {
		kind, body, err = readFrame(bufio.NewReader(c), maxFrameSize)
	}
	if err == nil && (kind != frameResponse || json.Unmarshal(body, resp) != nil) {
		err = errors.New("an answer that does not decode")
	}
	if err != nil {
		n.closeConn(c)
		return err
	}
	n.putIdle(address, c)
	return nil
}

// takeIdle takes an idle connection to a member that is still open, nil where there is none.
func (n *network) takeIdle(address string) net.Conn {
	for {
		n.mu.Lock()
		idle := n.idleConns[address]
		if len(idle) == 0 {
			n.mu.Unlock()
			return nil
		}
		c := idle[len(idle)-1]
		n.idleConns[address] = idle[:len(idle)-1]
		n.mu.Unlock()
		// A look whether the other side closed it meanwhile: nothing can be there to read.
		c.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
		var one [1]byte
		_, err := c.Read(one[:])
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			return c
		}
		n.closeConn(c)
	}
}

func (n *network) putIdle(address string, c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.idleConns[address]) >= maxIdleConnsPerMember {
		c.Close()
		delete(n.conns, c)
		return
	}
	n.idleConns[address] = append(n.idleConns[address], c)
}
