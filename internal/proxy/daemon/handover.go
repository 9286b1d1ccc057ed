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

// handoverState is the state of handovers from the proxy's predecessor, the process that served the address
// before it, and to its successors.
type handoverState struct {
	socketPath        string                // of the Unix socket; "" without handover
	predecessor       *handover.Predecessor // nil where no process served the address
	predecessorExited chan struct{}         // closed where there is no predecessor, and once it has exited
	offer             atomic.Pointer[handover.SuccessorListener]
	serving           atomic.Bool // this process accepts clients
	successorServing  atomic.Bool // a successor accepts clients

	mu            sync.Mutex
	noPredecessor bool // there is no predecessor, or it has exited
	successors    int  // connected successors
}

// inheritOrListen takes over the listening socket of the process that serves the address, or opens one if
// there is no such process.
func (p *Proxy) inheritOrListen() error {
	state := &p.handover
	state.predecessorExited = make(chan struct{})
	dir := p.startConfig.Handover.Dir
	if dir == "" {
		dir = os.Getenv("TMPDIR")
	}
	// Without handover the address isn't shared, so that a second process that is started with it by mistake
	// gets an error.
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
	state.noPredecessor = true
	close(state.predecessorExited)
	var err error
	if p.listener, err = listen(p.startConfig.Listen.Address, control); err != nil {
		return fmt.Errorf("listen.address: %w", err)
	}
	if dir != "" {
		// The path contains the port that the system has chosen for port 0.
		state.socketPath = handover.SocketPath(dir, p.Address())
	}
	return nil
}

// sharedLimitFraction is each process's fraction of the limits while two share them.
const sharedLimitFraction = 0.5

// limitFraction returns the fraction of the configured limits that this process may use: 1 unless a
// predecessor or a successor runs.
func (s *handoverState) limitFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noPredecessor && s.successors == 0 {
		return 1
	}
	return sharedLimitFraction
}

// predecessorHasExited reports whether there is no predecessor, or it has exited.
func (s *handoverState) predecessorHasExited() bool {
	select {
	case <-s.predecessorExited:
		return true
	default:
		return false
	}
}

// acceptClients begins to accept clients, then lets successors find this process. Where a predecessor serves
// clients, or where the proxy has to know of drains promptly (discovery.Limits.MaxReopenDelay), it first
// waits for discovery to send a list, at most for handover.settle.
func (p *Proxy) acceptClients() {
	state := &p.handover
	switch {
	case state.predecessor != nil:
		go p.waitForPredecessorExit()
		p.waitForList(func() bool { return state.predecessorHasExited() || p.server.ShuttingDown() })
		if p.server.ShuttingDown() && !state.predecessorHasExited() {
			return // the predecessor continues to serve, as it was not notified
		}
	case listLimits(p.startConfig).MaxReopenDelay > 0:
		// Drains that discovery knows of apply from the first request on. If it can't be reached, the known list
		// is used. A shutdown also ends the wait: clients that have connected by then still get responses.
		p.waitForList(func() bool { return p.stats.ListsFailed.Load() > 0 || p.server.ShuttingDown() })
	}
	go func() { _ = p.server.Serve(p.listener) }() // its error is nil once the listener is closed
	p.offerHandover()
	state.serving.Store(true) // last, because operators stop the old process once this one is ready
	attrs := []any{"listen", p.Address()}
	if p.admin != nil {
		attrs = append(attrs, "operator", p.admin.Address())
	}
	p.log.Info("ready", attrs...)
}

// listPollInterval is the interval at which waitForList checks whether a list has arrived.
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

// waitForPredecessorExit waits for the predecessor's exit and takes over its half of the limits.
func (p *Proxy) waitForPredecessorExit() {
	<-p.handover.predecessor.Exited()
	p.handover.mu.Lock()
	p.handover.noPredecessor = true
	p.handover.mu.Unlock()
	close(p.handover.predecessorExited)
	p.log.Info("handover: old process ended")
	p.applyLimits()
}

// SuccessorJoined returns the listening socket and the list of servers for a process that takes over.
// While this process's own predecessor still runs, a successor has to wait, since the limits are shared by
// at most two processes. The wait ends before handover.wait has passed, after which the successor gives up.
func (p *Proxy) SuccessorJoined() (handover.State, syscall.Conn, error) {
	select {
	case <-p.handover.predecessorExited:
	case <-time.After(p.startConfig.Handover.JoinTimeout / 4 * 3):
	}
	socket, ok := p.listener.(syscall.Conn)
	if !ok {
		return handover.State{}, nil, errors.New("the listener does not give access to its socket")
	}
	known, err := p.discovery.Export()
	if err != nil {
		return handover.State{}, nil, err
	}
	p.log.Info("handover: new process takes over")
	p.addSuccessors(+1)
	return handover.State{ServerList: known, DiscoveryAddress: p.discovery.Origin()}, socket, nil
}

// SuccessorReady records that a successor accepts clients, so that a shutdown accepts no new connections.
func (p *Proxy) SuccessorReady() { p.handover.successorServing.Store(true) }

// SuccessorExited records that a successor's connection has closed.
func (p *Proxy) SuccessorExited() {
	p.log.Warn("handover: new process ended")
	p.addSuccessors(-1)
}

// addSuccessors adds n to the number of connected successors and adjusts the limits.
func (p *Proxy) addSuccessors(n int) {
	state := &p.handover
	state.mu.Lock()
	state.successors += n
	if state.successors == 0 {
		state.successorServing.Store(false)
	}
	state.mu.Unlock()
	p.applyLimits()
}
