package raftgroup

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"golang.org/x/net/proxy"
)

const (
	dialTimeout  = time.Second
	writeTimeout = 3 * time.Second
	// helloTimeout bounds the wait for the hello on an inbound connection.
	helloTimeout = dialTimeout + writeTimeout
	// idleTimeout is how long an inbound connection stays open without receiving a frame.
	idleTimeout = time.Minute
	// maxStaleAddresses is how many addresses of replicas outside the view are kept, in addition to one for
	// each member of the view.
	maxStaleAddresses = 64
)

// network manages the connections between this member and the others. There are three kinds:
//
//   - one to each replica that Raft messages are sent to, each with a goroutine of its own (sender.go);
//   - a small pool of connections to each member that requests are sent to (rpc.go);
//   - inbound ones, each with a goroutine of its own (inbound.go).
//
// Every open connection is in conns, so that close can close it. A network is first open, then closed:
// newNetwork listens, accept serves inbound connections, and close ends both permanently. Methods may be
// called from any goroutine, and none of them calls a Host or a group while it holds mu.
type network struct {
	host     *Host
	listener net.Listener
	dialer   proxy.ContextDialer

	mu        sync.Mutex
	addresses map[uint64]string     // host:port of the replicas, by replica ID
	senders   map[uint64]*sender    // running senders, by replica ID
	idleConns map[string][]net.Conn // the pools, by address; the most recently used one is last
	conns     map[net.Conn]bool     // the set of all open connections
	closed    bool

	stop       chan struct{}  // closed by close
	goroutines sync.WaitGroup // Add is called with mu held and only while the network is not closed
}

// newNetwork listens at the address in the options. Connections are not accepted until accept runs.
func newNetwork(h *Host) (*network, error) {
	n := &network{host: h, addresses: map[uint64]string{}, senders: map[uint64]*sender{},
		idleConns: map[string][]net.Conn{}, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	direct := &net.Dialer{Timeout: dialTimeout}
	n.dialer = direct
	if h.opts.Relay != "" {
		relay, err := proxy.SOCKS5("tcp", h.opts.Relay, nil, direct)
		if err != nil {
			return nil, err
		}
		n.dialer = relay.(proxy.ContextDialer)
	}
	var err error
	n.listener, err = net.Listen("tcp", h.opts.Bind)
	return n, err
}

// setAddresses updates the replicas' addresses from the view. Addresses of replicas that left the view are
// kept, for messages still to be sent to them, until there are too many.
func (n *network) setAddresses(peers []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, peer := range peers {
		if peer.ReplicaID != 0 && peer.Address != "" {
			n.addresses[peer.ReplicaID] = peer.Address
		}
	}
	limit := 2*len(peers) + maxStaleAddresses
	for id := range n.addresses {
		if len(n.addresses) > limit && n.senders[id] == nil {
			delete(n.addresses, id)
		}
	}
}

// address returns the host:port at which a replica is reached, or "" if that is unknown.
func (n *network) address(replicaID uint64) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses[replicaID]
}

// close stops listening, closes all connections and waits for the network's goroutines. It is called once.
func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	close(n.stop)
	n.listener.Close()
	for conn := range n.conns {
		conn.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// track registers a connection, so that close closes it. If the network is already closed, it closes the
// connection and returns false.
func (n *network) track(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.trackLocked(conn)
}

func (n *network) trackLocked(conn net.Conn) bool {
	if n.closed {
		conn.Close()
		return false
	}
	n.conns[conn] = true
	return true
}

// closeConn closes a tracked connection and stops tracking it.
func (n *network) closeConn(conn net.Conn) {
	conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

// dial opens a tracked connection to a member and sends the hello, which is not answered. The caller closes
// the connection with closeConn.
func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if !n.track(conn) {
		return nil, net.ErrClosed
	}
	if err := n.sendHello(conn); err != nil {
		n.closeConn(conn)
		return nil, err
	}
	return conn, nil
}

func (n *network) sendHello(conn net.Conn) error {
	raw, err := json.Marshal(hello{protocolVersion, n.host.opts.Label, n.host.opts.Name, n.host.store.id})
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeFrame(conn, frameHello, raw)
}
