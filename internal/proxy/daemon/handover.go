package daemon

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cresshub/internal/proxy/handover"
	"cresshub/internal/proxy/logging"
)

// handoverState is what the proxy knows of its predecessor, the process that served the address before it,
// and of its successors.
type handoverState struct {
	socketPath        string                // of the Unix socket; "" without handover
	predecessor       *handover.Predecessor // nil where no process served the address
	predecessorExited chan struct{}         // closed once there is no predecessor, or none any more
	offer             atomic.Pointer[handover.SuccessorListener]
	serving           atomic.Bool // this process accepts clients
	successorServing  atomic.Bool // a successor accepts them too

	mu         sync.Mutex
	alone      bool // predecessorExited is closed
	successors int  // connected successors
}

// inheritOrListen takes the listening socket over from the process that serves the address so far, or opens
// one.
func (p *Proxy) inheritOrListen() error {
	state := &p.handover
	state.predecessorExited = make(chan struct{})
	dir := p.startConfig.Handover.Dir
	if dir == "" {
		dir = os.Getenv("TMPDIR")
	}
	// Without handover the address isn't shared, so that a second process started there by mistake gets an
	// error.
	var control func(string, string, syscall.RawConn) error
	if dir != "" {
		control = handover.ReusePort
		var err error
		state.predecessor, err = handover.Join(handover.SocketPath(dir, p.startConfig.Listen.Address),
			p.startConfig.Handover.JoinTimeout)
		if err != nil {
			p.log.Warn("handover: failed, listening beside the old process", logging.Err, err)
		}
	}
	if state.predecessor != nil {
		p.log.Info("handover: taking over from an old process",
			"listen", state.predecessor.Listener.Addr().String())
		p.listener = state.predecessor.Listener
		state.socketPath = handover.SocketPath(dir, p.Address())
		p.applyLimits()
		return nil
	}
	state.alone = true
	close(state.predecessorExited)
	var err error
	if p.listener, err = listen(p.startConfig.Listen.Address, control); err != nil {
		return fmt.Errorf("listen.address: %w", err)
	}
	if dir != "" {
		// With the port that the system has chosen for port 0.
		state.socketPath = handover.SocketPath(dir, p.Address())
	}
	return nil
}

// sharedLimitFraction is each process's fraction of the limits while two share them.
const sharedLimitFraction = 0.5

// limitFraction is this process's fraction of its limits: all of them unless a predecessor or a successor
// runs.
func (s *handoverState) limitFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.alone && s.successors == 0 {
		return 1
	}
	return sharedLimitFraction
}

// predecessorHasExited reports whether there is no predecessor, or none any more.
func (s *handoverState) predecessorHasExited() bool {
	select {
	case <-s.predecessorExited:
		return true
	default:
		return false
	}
}

// acceptClients begins to accept clients: at once where no predecessor serves them, else when discovery has
// sent a list or handover.settle has passed. Then successors can find this process.
func (p *Proxy) acceptClients() {
	state := &p.handover
	switch {
	case state.predecessor != nil:
		go p.waitForPredecessorExit()
		p.waitForList(func() bool { return state.predecessorHasExited() || p.server.ShuttingDown() })
		if p.server.ShuttingDown() && !state.predecessorHasExited() {
			return // the predecessor goes on serving, as it was not notified
		}
	case listLimits(p.startConfig).MaxReopenDelay > 0:
		// Drains that discovery knows of count from the first request on. If it can't be reached, the known list
		// is used. A shutdown ends the wait too: clients that have connected meanwhile still get their responses.
		p.waitForList(func() bool { return p.stats.ListsFailed.Load() > 0 || p.server.ShuttingDown() })
	}
	go func() { _ = p.server.Serve(p.listener) }() // its error is nil once the listener is closed
	p.offerHandover()
	state.serving.Store(true) // last, because operators end the old process once this one is ready
	attrs := []any{"listen", p.Address()}
	if p.admin != nil {
		attrs = append(attrs, "operator", p.admin.Address())
	}
	p.log.Info("ready", attrs...)
}

// listPollInterval is how often waitForList looks for a list.
const listPollInterval = 5 * time.Millisecond

// waitForList waits until discovery has sent a list, stop returns true, or handover.settle has passed.
func (p *Proxy) waitForList(stop func() bool) {
	deadline := time.Now().Add(p.startConfig.Handover.ListTimeout)
	for time.Now().Before(deadline) && !p.listReceived() && !stop() {
		time.Sleep(listPollInterval)
	}
}

// offerHandover makes this process the one that successors find, and notifies the predecessor.
func (p *Proxy) offerHandover() {
	state := &p.handover
	if state.socketPath == "" {
		return
	}
	offer, err := handover.Listen(state.socketPath)
	if err != nil {
		p.log.Warn("handover: not offered, a new process has to listen beside this one", logging.Err, err)
	} else {
		state.offer.Store(offer)
		go offer.Serve(p)
	}
	if state.predecessor != nil {
		if err := state.predecessor.SendReady(); err != nil {
			p.log.Warn("handover: notifying the old process failed", logging.Err, err)
		}
	}
}

// listReceived reports whether discovery has sent a list since the start.
func (p *Proxy) listReceived() bool {
	return p.stats.ListsRead.Load() > 0 && p.discovery.NumListed() > 0
}

// waitForPredecessorExit takes over the predecessor's half of the limits once it has exited.
func (p *Proxy) waitForPredecessorExit() {
	<-p.handover.predecessor.Exited()
	p.handover.mu.Lock()
	p.handover.alone = true
	p.handover.mu.Unlock()
	close(p.handover.predecessorExited)
	p.log.Info("handover: old process ended")
	p.applyLimits()
}

// SuccessorJoined returns the listening socket and the list of servers for a process that takes over.
// While this process's own predecessor still runs a successor has to wait, since the limits are for two
// processes at a time. It waits for less than handover.wait, after which it would give up.
func (p *Proxy) SuccessorJoined() (handover.State, syscall.Conn, error) {
	select {
	case <-p.handover.predecessorExited:
	case <-time.After(p.startConfig.Handover.JoinTimeout / 4 * 3):
	}
	socket, ok := p.listener.(syscall.Conn)
	if !ok {
		return handover.State{}, nil, errors.New("the listener has no socket")
	}
	known, err := p.discovery.Export()
	if err != nil {
		return handover.State{}, nil, err
	}
	p.log.Info("handover: new process takes over")
	p.countSuccessors(+1)
	return handover.State{ServerList: known, DiscoveryAddress: p.discovery.Origin()}, socket, nil
}

// SuccessorReady records that a successor accepts clients, so that a shutdown doesn't accept any more.
func (p *Proxy) SuccessorReady() { p.handover.successorServing.Store(true) }

// SuccessorExited records that a successor's connection has closed.
func (p *Proxy) SuccessorExited() {
	p.log.Warn("handover: new process ended")
	p.countSuccessors(-1)
}

// countSuccessors adds n to the number of connected successors and sets the limits for it.
func (p *Proxy) countSuccessors(n int) {
	state := &p.handover
	state.mu.Lock()
	state.successors += n
	if state.successors == 0 {
		state.successorServing.Store(false)
	}
	state.mu.Unlock()
	p.applyLimits()
}
