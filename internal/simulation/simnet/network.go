// Package simnet is a network in memory for processes that run in a bubble of testing/synctest: its delays,
// deadlines and timeouts use the bubble's clock. Hosts have addresses, processes run on hosts, and each
// direction between two hosts can have a fault. It is a helper for tests, which agentsim builds on.
//
// It models TCP as far as processes notice it: connections are opened by retransmitted attempts, bytes arrive
// in order after a delay, lost bytes arrive late or time out, and an end that no longer exists answers with a
// reset. A host is up or down, a process alive or killed, an end of a connection open, closed or failed. It
// leaves out bandwidth, segments, congestion and half-closed connections: a write arrives as a whole.
//
// The clock is that of the bubble, by package time; a network has no goroutines but the timers of its
// connections. One lock guards its state; all methods are safe for concurrent use.
//
// Sources: TCP (RFC 9293), and its user timeout (RFC 5482), which ends connections here as it does in package
// transport.
package simnet

import (
	"net"
	"sync"
	"time"
)

// Fault is the fault of a direction from one host to another.
type Fault int

// The faults of a direction.
const (
	None      Fault = iota
	Blackhole       // what is sent is lost; TCP retransmits it, so that it arrives if the fault ends in time
	Refuse          // new connections are refused, and existing ones end with a reset when they are used
	Reset           // connections open, and end with a reset when they are used
)

const (
	// defaultDelay is the one-way delay between two hosts.
	defaultDelay = 400 * time.Microsecond
	// retransmitInterval is the time between two attempts to open a connection.
	retransmitInterval = time.Second
	// userTimeout ends a connection whose other host acknowledges nothing.
	userTimeout = 2 * time.Second
	// window bounds the bytes in transit in one direction of a connection.
	window = 256 << 10
	// maxBacklog bounds the connections of a listener that are not accepted yet.
	maxBacklog = 128
	// firstFreePort is the port before those that connections get at their own end.
	firstFreePort = 32768
)

// direction is from one host to another, by their IPs.
type direction struct{ from, to string }

// Network connects hosts. New creates one; its zero value isn't usable.
type Network struct {
	mu       sync.Mutex
	hosts    map[string]*Host
	faults   map[direction]Fault
	delays   map[direction]time.Duration
	conns    map[*conn]struct{} // ends of connections of which at least one end is open
	lastPort int                // the newest local port of a connection
}

// New returns a network without hosts.
func New() *Network {
	return &Network{hosts: map[string]*Host{}, faults: map[direction]Fault{},
		delays: map[direction]time.Duration{}, conns: map[*conn]struct{}{}, lastPort: firstFreePort}
}

// Host is a machine of the network.
type Host struct {
	network   *Network
	ip        string
	down      bool              // without power
	listeners map[int]*listener // by port
}

// Host returns the host with an IP, and adds it where there is none.
func (n *Network) Host(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[ip]
	if h == nil {
		h = &Host{network: n, ip: ip, listeners: map[int]*listener{}}
		n.hosts[ip] = h
	}
	return h
}

// SetDown takes the power of a host away or returns it. What is sent to a host without power is lost.
func (h *Host) SetDown(down bool) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.down = down
	h.network.faultsChanged()
}

// SetFault sets the fault of all directions from some hosts to others, by their IPs.
func (n *Network) SetFault(from, to []string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, source := range from {
		for _, target := range to {
			if source != target {
				n.faults[direction{source, target}] = fault
			}
		}
	}
	n.faultsChanged()
}

// SetDelay sets the one-way delay of all directions from some hosts to others, by their IPs.
func (n *Network) SetDelay(from, to []string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, source := range from {
		for _, target := range to {
			n.delays[direction{source, target}] = delay
		}
	}
}

// Heal ends all faults of directions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.faultsChanged()
}

// passes reports whether what is sent in a direction arrives. The lock is held.
func (n *Network) passes(from, to string) bool {
	source, target := n.hosts[from], n.hosts[to]
	return source != nil && target != nil && !source.down && !target.down &&
		n.faults[direction{from, to}] != Blackhole
}

// faulty reports whether either direction between two hosts has a fault. The lock is held.
func (n *Network) faulty(a, b string, fault Fault) bool {
	return n.faults[direction{a, b}] == fault || n.faults[direction{b, a}] == fault
}

// delay returns the one-way delay of a direction. The lock is held.
func (n *Network) delay(from, to string) time.Duration {
	if delay, set := n.delays[direction{from, to}]; set {
		return delay
	}
	return defaultDelay
}

// faultsChanged wakes all goroutines that wait for data, and ends the connections whose retransmitted data is
// answered with a reset now that it arrives. The lock is held.
func (n *Network) faultsChanged() {
	for c := range n.conns {
		if c.ackTimer != nil && c.peer.ended() && c.reaches() {
			c.fail(errReset)
		}
		c.wake()
	}
}

// address returns the address of a port of a host.
func address(ip string, port int) *net.TCPAddr { return &net.TCPAddr{IP: net.ParseIP(ip), Port: port} }

// Reaches reports whether two hosts have power and no fault between them.
func (n *Network) Reaches(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	faultless := n.faults[direction{a, b}] == None && n.faults[direction{b, a}] == None
	return faultless && n.passes(a, b) && n.passes(b, a)
}
