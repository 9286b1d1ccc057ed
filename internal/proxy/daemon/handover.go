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
	predecessorExited chan struct{}         // closed when there is no predecessor, or none any more
	offer             atomic.Pointer[handover.Offer]
	serving           atomic.Bool // this process accepts clients
	successorServing  atomic.Bool // a successor accepts them too

	mu         sync.Mutex
	alone      bool // predecessorExited is closed
	successors int  // connected successors
}

// inheritOrListen takes the listening socket over from the process that serves the address so far, or opens
// one.
func (p *Proxy) inheritOrListen() error {
	u := &p.handover
	u.predecessorExited = make(chan struct{})
	dir := p.startConfig.Handover.Dir
	if dir == "" {
		dir = os.Getenv("TMPDIR")
	}
	// Without handover the address isn't shared, so that a second process at it by mistake gets an error.
	var control func(string, string, syscall.RawConn) error
	if dir != "" {
		control = handover.ReusePort
		var err error
		u.predecessor, err = handover.Join(handover.Path(dir, p.startConfig.Listen.Address),
			p.startConfig.Handover.JoinTimeout)
		if err != nil {
			p.log.Warn("no handover, listening beside the old process", logging.Err, err)
		}
	}
	if u.predecessor != nil {
		p.log.Info("taking over from an old process", "listen", u.predecessor.Listener.Addr().String())
		p.listener = u.predecessor.Listener
		u.socketPath = handover.Path(dir, p.Address())
		p.applyLimits()
		return nil
	}
	u.alone = true
	close(u.predecessorExited)
	var err error
	if p.listener, err = listen(p.startConfig.Listen.Address, control); err != nil {
		return fmt.Errorf("listen.address: %w", err)
	}
	if dir != "" {
		u.socketPath = handover.Path(dir, p.Address()) // the port is the system's choice where it is set to 0
	}
	return nil
}

// limitFraction is the process's fraction of its limits: half while a predecessor or a successor lives.
func (u *handoverState) limitFraction() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.alone && u.successors == 0 {
		return 1
	}
	return 0.5
}

// acceptClients begins to accept clients: at once where no predecessor serves them, else when discovery has
// sent a list or handover.settle has passed. Then successors can find this process.
func (p *Proxy) acceptClients() {
	u := &p.handover
	alone := func() bool { // no predecessor accepts clients
		select {
		case <-u.predecessorExited:
			return true
		default:
			return false
		}
	}
	switch {
	case u.predecessor != nil:
		go p.waitForPredecessorExit()
		if p.waitForList(func() bool { return alone() || p.server.Ending() }); p.server.Ending() && !alone() {
			return // the predecessor goes on, as it has not been notified
		}
	case listLimits(p.startConfig).MaxReopenDelay > 0:
		// What discovery has binds from the first request on. If it can't be reached, the known list must do.
		// A shutdown ends the wait too: clients that have connected meanwhile still get their responses.
		p.waitForList(func() bool { return p.stats.ListsFailed.Load() > 0 || p.server.Ending() })
	}
	go func() { _ = p.server.Serve(p.listener) }() // its error is nil once the listener is closed
	p.offerHandover()
	u.serving.Store(true) // last: whoever ends the old process does so once this one is ready
	attrs := []any{"listen", p.Address()}
	if p.admin != nil {
		attrs = append(attrs, "operator", p.admin.Address())
	}
	p.log.Info("ready", attrs...)
}

// waitForList waits until discovery has sent a list, stop returns true, or handover.settle has passed.
func (p *Proxy) waitForList(stop func() bool) {
	deadline := time.Now().Add(p.startConfig.Handover.ListTimeout)
	for time.Now().Before(deadline) && !p.listReceived() && !stop() {
		time.Sleep(5 * time.Millisecond)
	}
}

// offerHandover makes this process the one that successors find, and notifies the predecessor.
func (p *Proxy) offerHandover() {
	u := &p.handover
	if u.socketPath == "" {
		return
	}
	offer, err := handover.Listen(u.socketPath)
	if err != nil {
		p.log.Warn("a new process cannot take over from this one, it has to listen beside it", logging.Err, err)
	} else {
		u.offer.Store(offer)
		go offer.Serve(p)
	}
	if u.predecessor != nil {
		if err := u.predecessor.SendReady(); err != nil {
			p.log.Warn("the old process could not be notified", logging.Err, err)
		}
	}
}

// listReceived reports whether discovery has sent a list since the start.
func (p *Proxy) listReceived() bool { return p.stats.ListsRead.Load() > 0 && p.discovery.Listed() > 0 }

// waitForPredecessorExit takes over the predecessor's half of the limits once it has exited.
func (p *Proxy) waitForPredecessorExit() {
	<-p.handover.predecessor.Exited()
	p.handover.mu.Lock()
	p.handover.alone = true
	p.handover.mu.Unlock()
	close(p.handover.predecessorExited)
	p.log.Info("the old process is gone")
	p.applyLimits()
}

// SuccessorJoined returns the listening socket and the list of servers for a process that takes over. One
// that comes while this process's own predecessor still lives has to wait, since the limits are measured for
// two processes; it waits for less than the successor's own patience, handover.wait.
func (p *Proxy) SuccessorJoined() (handover.Terms, syscall.Conn, error) {
	select {
	case <-p.handover.predecessorExited:
	case <-time.After(p.startConfig.Handover.JoinTimeout / 4 * 3):
	}
	socket, ok := p.listener.(syscall.Conn)
	if !ok {
		return handover.Terms{}, nil, errors.New("the listener has no socket")
	}
	known, err := p.discovery.Export()
	if err != nil {
		return handover.Terms{}, nil, err
	}
	p.log.Info("a new process takes over")
	p.countSuccessors(+1)
	return handover.Terms{Known: known, Discovery: p.discovery.Origin()}, socket, nil
}

// SuccessorReady records that a successor accepts clients, so that a shutdown need not wait for late ones.
func (p *Proxy) SuccessorReady() { p.handover.successorServing.Store(true) }

// SuccessorExited records that a successor's connection has closed.
func (p *Proxy) SuccessorExited() {
	p.log.Warn("a new process has gone")
	p.countSuccessors(-1)
}

func (p *Proxy) countSuccessors(n int) {
	u := &p.handover
	u.mu.Lock()
	u.successors += n
	if u.successors == 0 {
		u.successorServing.Store(false)
	}
	u.mu.Unlock()
	p.applyLimits()
}
