package faultinject

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"cresshub/internal/router/transport"
)

// Network is the machine's network with the faults of a process. Connections are dialled from the machine's
// own IP, by which the other side's faults recognize it.
type Network struct {
	faults *Faults
	ip     string
	exempt string // address whose connections have no faults: the one for clients
}

var _ transport.Network = (*Network)(nil)

// Network returns the network of a machine. Connections accepted at the exempt address have no faults, but
// accepting them may fail.
func (f *Faults) Network(ip, exempt string) *Network {
	return &Network{faults: f, ip: ip, exempt: exempt}
}

// Dial connects to an address. Through a partition it fails with a time-out after the whole timeout.
func (n *Network) Dial(address string, timeout time.Duration) (net.Conn, error) {
	host, _, _ := net.SplitHostPort(address)
	if n.faults.isPartitioned(host) {
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.ip)}}
	c, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return n.faults.wrap(c.(*net.TCPConn), host), nil
}

// Listen accepts connections at an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, faults: n.faults, exempt: address == n.exempt}, nil
}

// listener accepts connections with the faults of the process.
type listener struct {
	net.Listener
	faults *Faults
	exempt bool // its connections have no faults, though accepting them may fail
}

// Accept accepts a connection, or fails with EMFILE and closes it.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.faults.consumeRefusal() {
		c.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	if l.exempt {
		return c, nil
	}
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return l.faults.wrap(c.(*net.TCPConn), host), nil
}

// conn withholds what it receives while a partition separates it from the other machine.
type conn struct {
	*net.TCPConn
	faults *Faults
	peer   string // IP of the other machine

	readMu      sync.Mutex
	withheld    []byte // received, but not yet returned
	withheldErr error

	mu       sync.Mutex
	deadline time.Time // of reading
	closed   bool
}

// wrap returns a connection with the faults of the process, which heal and Close know.
func (f *Faults) wrap(c *net.TCPConn, peer string) *conn {
	wrapped := &conn{TCPConn: c, faults: f, peer: peer}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[wrapped] = struct{}{}
	return wrapped
}

// Read reads, and withholds what it has received until no partition separates the machines.
func (c *conn) Read(buffer []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for {
		if err := c.awaitHealed(); err != nil {
			return 0, err
		}
		if len(c.withheld) == 0 && c.withheldErr == nil {
			received, err := c.TCPConn.Read(buffer)
			if err != nil && received == 0 && os.IsTimeout(err) {
				return 0, err
			}
			c.withheld, c.withheldErr = append(c.withheld, buffer[:received]...), err
			continue
		}
		returned := copy(buffer, c.withheld)
		c.withheld = c.withheld[returned:]
		if returned > 0 {
			return returned, nil
		}
		return 0, c.withheldErr
	}
}

// awaitHealed returns nil once no partition separates the machines, os.ErrDeadlineExceeded at the read
// deadline, and net.ErrClosed once the connection is closed.
func (c *conn) awaitHealed() error {
	for c.faults.isDeaf(c.peer) {
		c.mu.Lock()
		closed, deadline := c.closed, c.deadline
		c.mu.Unlock()
		switch {
		case closed:
			return net.ErrClosed
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Write passes a numbered point and writes; a partition takes effect on the receiving side.
func (c *conn) Write(data []byte) (int, error) {
	c.faults.passPoint()
	return c.TCPConn.Write(data)
}

// ReadFrom hides the method of the embedded connection, which would not call Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.recordReadDeadline(t)
	return c.TCPConn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reading.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.recordReadDeadline(t)
	return c.TCPConn.SetReadDeadline(t)
}

func (c *conn) recordReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
}

// Close ends the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.faults.mu.Lock()
	delete(c.faults.conns, c)
	c.faults.mu.Unlock()
	return c.TCPConn.Close()
}
