package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"cresshub/internal/stallclock"
)

// Fault is the fault of a link, in one direction.
type Fault struct {
	Blocked bool          // nothing crosses; streams stall
	Drop    float64       // fraction of the datagrams lost; a stream is delayed by a retransmission instead
	Delay   time.Duration // added to the time in transit
	Jitter  time.Duration // further delay, uniform from 0 to this
}

// Counts are the totals of a link so far.
type Counts struct {
	Datagrams int64 // forwarded
	Lost      int64 // datagrams
	Bytes     int64 // of datagrams and streams
	Streams   int64
	Refused   int64 // of Streams, those opened over a blocked link
}

const (
	maxQueued          = 4096 // delayed datagrams on one link; more are lost
	maxChunks          = 256  // chunks of a stream in transit in one direction; more wait
	chunkSize          = 16 << 10
	handshakeTimeout   = 2 * time.Second
	blockedDialTimeout = 5 * time.Second        // a stream opened over a blocked link waits so long
	retransmitDelay    = 200 * time.Millisecond // delay of a stream whose segment is lost
)

// linkKey names a link by its ends.
type linkKey struct{ from, to string }

// link is guarded by Net.mu.
type link struct {
	fault  Fault
	counts Counts
	queued int // delayed datagrams
}

// Net is the faulty network. Its methods may be called from any goroutine.
type Net struct {
	mu       sync.Mutex
	links    map[linkKey]*link
	memberAt map[netip.AddrPort]string
	relays   map[string]*relay
	changed  chan struct{} // closes with the next change of a fault
	rng      *rand.Rand
	udp      *net.UDPConn // forwards datagrams to their receivers
	closed   chan struct{}
	done     sync.WaitGroup
	stalls   *stallclock.Clock // handshakes count the time in which this process runs
}

// New returns a network without faults. Losses and jitter are drawn from seed.
func New(seed uint64) (*Net, error) {
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	n := &Net{links: map[linkKey]*link{}, memberAt: map[netip.AddrPort]string{}, relays: map[string]*relay{},
		changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1)), udp: out,
		closed: make(chan struct{}), stalls: stallclock.New(nil)}
	n.done.Go(func() { n.stalls.Run(n.closed) })
	return n, nil
}

// Relay returns the address of the relay that the named member sends through, and opens it on the first call.
func (n *Net) Relay(name string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.relays[name]; ok {
		return r.address, nil
	}
	r, err := n.openRelay(name)
	if err != nil {
		return "", fmt.Errorf("relay of %s: %w", name, err)
	}
	n.relays[name] = r
	return r.address, nil
}

// AddAddress says that what is sent to address is meant for the member of that name. A member may have
// several.
func (n *Net) AddAddress(name, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address of %s: %w", name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memberAt[parsed] = name
	return nil
}

// link returns the link between two members, creating it on the first use; n.mu is held.
func (n *Net) link(from, to string) *link {
	key := linkKey{from, to}
	if n.links[key] == nil {
		n.links[key] = &link{}
	}
	return n.links[key]
}

// Set sets the fault of the link from one member to another, in that direction only.
func (n *Net) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(from, to).fault = f
	n.signalChange()
}

// Partition blocks all links between members of different sets, both ways, and leaves the others as they are.
func (n *Net) Partition(sets ...[]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, set := range sets {
		for _, other := range sets[i+1:] {
			n.block(set, other)
			n.block(other, set)
		}
	}
	n.signalChange()
}

// block blocks all links from one set of members to another; n.mu is held.
func (n *Net) block(senders, receivers []string) {
	for _, from := range senders {
		for _, to := range receivers {
			n.link(from, to).fault.Blocked = true
		}
	}
}

// Heal removes all faults.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.fault = Fault{}
	}
	n.signalChange()
}

// signalChange wakes the goroutines that wait for a change of a fault; n.mu is held.
func (n *Net) signalChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Counts returns the totals of the link from one member to another.
func (n *Net) Counts(from, to string) Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.link(from, to).counts
}

// Close ends all relays, and the streams through them, and waits for their goroutines.
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
	_ = n.udp.Close() // closed once: nothing to report
	n.done.Wait()
}

// drawLoss draws whether a datagram or a segment is lost under a fault; n.mu is held.
func (n *Net) drawLoss(f Fault) bool { return f.Drop > 0 && n.rng.Float64() < f.Drop }

// delay draws the delay of a datagram or chunk under a fault; n.mu is held.
func (n *Net) delay(f Fault) time.Duration {
	d := f.Delay
	if f.Jitter > 0 {
		d += time.Duration(n.rng.Int64N(int64(f.Jitter) + 1))
	}
	return d
}

// forward forwards one datagram to its receiver, or loses it.
func (n *Net) forward(from string, to netip.AddrPort, payload []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.link(from, n.memberAt[to])
	if l.fault.Blocked || n.drawLoss(l.fault) || l.queued >= maxQueued {
		l.counts.Lost++
		return
	}
	l.counts.Datagrams++
	l.counts.Bytes += int64(len(payload))
	wait := n.delay(l.fault)
	if wait <= 0 {
		_, _ = n.udp.WriteToUDPAddrPort(payload, to) // a failure is a lost datagram
		return
	}
	l.queued++
	delayed := append([]byte(nil), payload...)
	time.AfterFunc(wait, func() {
		n.mu.Lock()
		l.queued--
		n.mu.Unlock()
		_, _ = n.udp.WriteToUDPAddrPort(delayed, to) // a failure, also after Close, is a lost datagram
	})
}
