package raftgroup

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/net/proxy"
)

const (
	sendQueueSize         = 1024 // Raft messages queued for one replica
	maxInboundConns       = 256  // connections of other members at once
	maxIdleConnsPerMember = 4    // connections kept for later requests to one member
	dialTimeout           = time.Second
	writeTimeout          = 3 * time.Second
	helloTimeout          = dialTimeout + writeTimeout
	idleTimeout           = time.Minute // an inbound connection without a frame for so long is closed
	maxCallTimeout        = time.Minute
	// idleCheckTimeout bounds the read that finds out whether an idle connection was closed by the other side.
	idleCheckTimeout = 100 * time.Microsecond
)

// errNotSent is a request that was certainly not received.
var errNotSent = errors.New("the member was not reached")

// network is the connections to and from other members: one a replica for Raft messages (sender), a small
// pool a member for requests, and the inbound ones. Its methods may be called from any goroutine.
type network struct {
	host     *Host
	listener net.Listener
	dialer   proxy.ContextDialer

	mu        sync.Mutex
	addresses map[uint64]string // by replica ID
	senders   map[uint64]*sender
	idleConns map[string][]net.Conn // by address
	conns     map[net.Conn]bool     // all open connections, for close
	closed    bool
	stop      chan struct{}
	done      sync.WaitGroup // goroutines, all started while not closed
}

// newNetwork listens at the address of the options; accept must follow.
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

// setAddresses takes over where the members of the view listen. Addresses of replicas that left the view are
// kept until they outnumber it, for messages still to be sent to them.
func (n *network) setAddresses(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range peers {
		if p.ReplicaID != 0 && p.Address != "" {
			n.addresses[p.ReplicaID] = p.Address
		}
	}
	for id := range n.addresses {
		if len(n.addresses) > 2*len(peers)+64 && n.senders[id] == nil {
			delete(n.addresses, id)
		}
	}
}

// close stops listening, closes all connections and waits for the network's goroutines.
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

// track has close end a connection; false if the network is closed, and the connection with it.
func (n *network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.trackLocked(c)
}

func (n *network) trackLocked(c net.Conn) bool {
	if n.closed {
		c.Close()
		return false
	}
	n.conns[c] = true
	return true
}

// closeConn closes a tracked connection.
func (n *network) closeConn(c net.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// dial opens a tracked connection to a member and sends the hello.
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
	b, err := json.Marshal(hello{protocolVersion, n.host.opts.Label, n.host.opts.Name, n.host.store.id})
	if err == nil {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		err = writeFrame(c, frameHello, b)
	}
	if err != nil {
		n.closeConn(c)
		return nil, err
	}
	return c, nil
}

// call sends a request to a member and reads the response into resp, until ctx ends or for a minute at most.
// The error is errNotSent if the member certainly did not receive it.
func (n *network) call(ctx context.Context, address string, req request, resp *response) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxCallTimeout)
	}
	req.TimeoutMS = time.Until(deadline).Milliseconds()
	raw, err := json.Marshal(req)
	if err != nil {
		return err
	}
	c := n.takeIdle(address)
	if c == nil {
		if c, err = n.dial(ctx, address); err != nil {
			return fmt.Errorf("%w: %w", errNotSent, err)
		}
	}
	c.SetDeadline(deadline)
	stopWatching := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })
	defer stopWatching()
	if err := roundTrip(c, raw, resp); err != nil {
		n.closeConn(c)
		return err
	}
	n.putIdle(address, c)
	return nil
}

// roundTrip writes an encoded request and reads the response.
func roundTrip(c net.Conn, raw []byte, resp *response) error {
	if err := writeFrame(c, frameRequest, raw); err != nil {
		return err
	}
	kind, body, err := readFrame(bufio.NewReader(c), maxFrameSize)
	if err != nil {
		return err
	}
	if kind != frameResponse || json.Unmarshal(body, resp) != nil {
		return errors.New("a response that does not decode")
	}
	return nil
}

// takeIdle takes an idle connection to a member out of the pool, nil if there is none that is still open.
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
		// Nothing was asked, so that anything but a timeout means that the other side closed it.
		c.SetReadDeadline(time.Now().Add(idleCheckTimeout))
		var b [1]byte
		if _, err := c.Read(b[:]); isTimeout(err) {
			return c
		}
		n.closeConn(c)
	}
}

// putIdle puts a connection into the pool, or closes it where that is full.
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

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
