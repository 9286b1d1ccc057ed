// Package faultnet is a faulty network of loopback relays for several processes of the program: between every
// ordered pair of members stands a link that can drop, delay or cut what crosses it, for datagrams and
// streams alike.
//
// Each member sends through a relay of its own, a SOCKS5 server (RFC 1928: CONNECT for streams, the UDP form
// of section 7 for datagrams, at one port), so the relay knows who sends; who is meant it knows by address,
// which Place tells. Nothing needs rights, and nothing outside the members' own sockets is touched.
package faultnet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is what befalls what crosses a link, in one direction.
type Fault struct {
	Blocked bool          // nothing crosses; streams stand still
	Drop    float64       // part of the datagrams that get lost; a stream is held up instead
	Delay   time.Duration // on top of the way
	Jitter  time.Duration // further delay, even from 0 to this
}

// Counts are what crossed a link so far, or did not.
type Counts struct {
	Datagrams, Lost, Bytes, Streams, Refused int64
}

const (
	maxQueued          = 4096 // datagrams under way on one link; more are lost
	maxChunks          = 256  // pieces of a stream under way in one direction; more wait
	chunkSize          = 16 << 10
	handshakeTimeout   = 2 * time.Second
	blockedDialTimeout = 5 * time.Second        // a stream that is opened over a cut link is held so long
	retransmitDelay    = 200 * time.Millisecond // what a lost segment costs a stream
)

// pair is an ordered pair of members.
type pair struct{ from, to string }

type link struct {
	fault  Fault
	counts Counts
	queued int
}

// Net is the faulty network. Its methods may be called from any goroutine.
type Net struct {
	mu       sync.Mutex
	links    map[pair]*link
	memberAt map[netip.AddrPort]string
	relays   map[string]*relay
	changed  chan struct{} // closes with the next change of a fault
	rng      *rand.Rand
	udp      *net.UDPConn // what carries datagrams on
	closed   chan struct{}
	done     sync.WaitGroup
}

// New returns a network without faults; seed draws losses and jitter.
func New(seed uint64) (*Net, error) {
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &Net{links: map[pair]*link{}, memberAt: map[netip.AddrPort]string{}, relays: map[string]*relay{},
		changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1)), udp: out,
		closed: make(chan struct{})}, nil
}

// Relay returns the address of the relay that the member of that name sends through, opening it if need be.
func (n *Net) Relay(name string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.relays[name]; ok {
		return r.address, nil
	}
	r, err := n.openRelay(name)
	if err != nil {
		return "", fmt.Errorf("the relay of %s: %w", name, err)
	}
	n.relays[name] = r
	return r.address, nil
}

// AddAddress says that what is sent to address is meant for the member of that name. A member may have
// several.
func (n *Net) AddAddress(name, address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("the address of %s: %w", name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memberAt[a] = name
	return nil
}

func (n *Net) link(from, to string) *link {
	l := n.links[pair{from, to}]
	if l == nil {
		l = &link{}
		n.links[pair{from, to}] = l
	}
	return l
}

// Set puts a fault on the link from one member to another, in that direction alone.
func (n *Net) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(from, to).fault = f
	n.signalChange()
}

// Partition cuts all links between members of different sets, both ways, and leaves the others as they are.
func (n *Net) Partition(sets ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, a := range sets {
		for j, b := range sets {
			for _, from := range a {
				for _, to := range b {
					if i != j {
						n.link(from, to).fault.Blocked = true
					}
				}
			}
		}
	}
	n.signalChange()
}

// Heal takes all faults away.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.fault = Fault{}
	}
	n.signalChange()
}

// signalChange wakes what waits for a change; n.mu is held.
func (n *Net) signalChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Counts are those of the link from one member to another.
func (n *Net) Counts(from, to string) Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(from, to).counts
}

// Close ends all relays and what crosses them.
func (n *Net) Close() {
	n.mu.Lock()
	select {
	case <-n.closed:
		n.mu.Unlock()
		return
	default:
	}
	close(n.closed)
	for _, r := range n.relays {
		r.close()
	}
	n.mu.Unlock()
	n.udp.Close()
	n.done.Wait()
}

// delay draws how long a thing takes over a link; n.mu is held.
func (n *Net) delay(f Fault) time.Duration {
	d := f.Delay
	if f.Jitter > 0 {
		d += time.Duration(n.rng.Int64N(int64(f.Jitter) + 1))
	}
	return d
}

var errUnknown = errors.New("no member is placed at that address")

// forward carries one datagram on, or loses it.
func (n *Net) forward(from string, to netip.AddrPort, payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.link(from, n.memberAt[to])
	if l.fault.Blocked || l.fault.Drop > 0 && n.rng.Float64() < l.fault.Drop || l.queued >= maxQueued {
		l.counts.Lost++
		return
	}
	l.counts.Datagrams++
	l.counts.Bytes += int64(len(payload))
	wait := n.delay(l.fault)
	if wait <= 0 {
		n.udp.WriteToUDPAddrPort(payload, to)
		return
	}
	l.queued++
	delayed := append([]byte(nil), payload...)
	time.AfterFunc(wait, func() {
		n.mu.Lock()
		l.queued--
		n.mu.Unlock()
		n.udp.WriteToUDPAddrPort(delayed, to) // after Close it fails, and is lost
	})
}
