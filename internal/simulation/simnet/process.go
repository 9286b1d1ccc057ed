package simnet

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// Process opens and accepts connections on a host, as the network of an agent (agent.WithNetwork).
type Process struct {
	host *Host

	// The network's lock guards these.
	dead   bool
	frozen chan struct{} // closed at the thaw; nil while the process runs
}

// NewProcess starts a process on a host.
func (h *Host) NewProcess() *Process { return &Process{host: h} }

// Kill ends a process at once: its connections are reset, as far as the resets arrive, and whatever its
// goroutines still do over the network fails.
func (p *Process) Kill() {
	n := p.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	p.dead = true
	for _, l := range p.host.listeners {
		if l.process == p {
			l.stop()
		}
	}
	for c := range n.conns {
		if c.process == p {
			c.abort()
		}
	}
}

// Freeze keeps all operations of the process from returning until thaw is called. What others send arrives
// meanwhile and waits, as the system goes on without the process.
func (p *Process) Freeze() (thaw func()) {
	n := p.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	frozen := make(chan struct{})
	p.frozen = frozen
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		close(frozen)
		if p.frozen == frozen {
			p.frozen = nil
		}
	}
}

// awaitThaw waits while the process is frozen.
func (p *Process) awaitThaw() {
	n := p.host.network
	for {
		n.mu.Lock()
		frozen := p.frozen
		n.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

// Dial opens a connection to an address, within a timeout.
func (p *Process) Dial(target string, timeout time.Duration) (net.Conn, error) {
	p.awaitThaw()
	defer p.awaitThaw()
	return p.dial(target, timeout)
}

func (p *Process) dial(target string, timeout time.Duration) (net.Conn, error) {
	ip, port, err := splitAddress(target)
	if err != nil {
		return nil, err
	}
	for left := timeout; left > 0; left -= retransmitInterval {
		c, answered, err := p.connect(ip, port)
		if answered {
			time.Sleep(p.host.network.roundTrip(p.host.ip, ip))
			return c, err
		}
		time.Sleep(min(left, retransmitInterval))
	}
	return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: address(ip, port), Err: os.ErrDeadlineExceeded}
}

// splitAddress returns the IP and the port of an address.
func splitAddress(target string) (ip string, port int, err error) {
	ip, portText, err := net.SplitHostPort(target)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(portText)
	return ip, port, err
}

// roundTrip returns the sum of the delays of both directions between two hosts.
func (n *Network) roundTrip(a, b string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay(a, b) + n.delay(b, a)
}

// connect makes one attempt to open a connection and reports whether it is answered.
func (p *Process) connect(ip string, port int) (c net.Conn, answered bool, err error) {
	n := p.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: address(ip, port), Err: syscall.ECONNREFUSED}
	switch {
	case p.dead:
		return nil, true, net.ErrClosed
	case n.faulty(p.host.ip, ip, Refuse):
		return nil, true, refused
	case !n.passes(p.host.ip, ip) || !n.passes(ip, p.host.ip):
		return nil, false, nil
	}
	l := n.hosts[ip].listeners[port]
	if l == nil || len(l.backlog) == maxBacklog {
		return nil, true, refused
	}
	n.lastPort++
	client := n.addConn(p, address(p.host.ip, n.lastPort), ip)
	accepted := n.addConn(l.process, address(ip, port), p.host.ip)
	client.peer, accepted.peer = accepted, client
	l.backlog <- accepted
	return client, true, nil
}

// addConn adds an end of a connection, without its peer. The lock is held.
func (n *Network) addConn(process *Process, local *net.TCPAddr, remoteIP string) *conn {
	c := &conn{
		network: n, process: process, local: local, localIP: process.host.ip, remoteIP: remoteIP,
		changed: make(chan struct{}),
	}
	n.conns[c] = struct{}{}
	return c
}

// Listen accepts connections at the port of an address, on the process's host.
func (p *Process) Listen(at string) (net.Listener, error) {
	_, port, err := splitAddress(at)
	if err != nil {
		return nil, err
	}
	n := p.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.dead {
		return nil, net.ErrClosed
	}
	if p.host.listeners[port] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: address(p.host.ip, port), Err: syscall.EADDRINUSE}
	}
	l := &listener{process: p, port: port, backlog: make(chan *conn, maxBacklog), closed: make(chan struct{})}
	p.host.listeners[port] = l
	return l, nil
}

// listener accepts the connections to one port.
type listener struct {
	process *Process
	port    int
	backlog chan *conn    // connections that are not accepted yet
	closed  chan struct{} // closed once the listener has stopped
	stopped bool          // guarded by the network's lock
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.process.awaitThaw()
	defer l.process.awaitThaw()
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	n := l.process.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l.stop()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.process.host.ip, l.port) }

// stop ends the listener and resets the connections that are not accepted yet. The lock is held.
func (l *listener) stop() {
	if l.stopped {
		return
	}
	l.stopped = true
	close(l.closed)
	delete(l.process.host.listeners, l.port)
	for {
		select {
		case c := <-l.backlog:
			c.abort()
		default:
			return
		}
	}
}
