package daemon

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cresshub/internal/proxy/adminapi"
	"cresshub/internal/proxy/handover"
	"cresshub/internal/proxy/logging"
)

// handoverState is what the proxy knows of the process before it and of those after it.
type handoverState struct {
	socketPath        string                // where they meet; "" for no handover
	predecessor       *handover.Predecessor // nil where none served before, or once it is gone
	predecessorExited chan struct{}         // closed when there is none any more
	offer             atomic.Pointer[handover.Offer]
	serving           atomic.Bool // clients are taken
	successorServing  atomic.Bool // a successor takes them too

	mu         sync.Mutex
	alone      bool // no old process lives
	successors int  // that live
}

// inheritOrListen takes over the listening socket from the process that serves the address so far, or
// listens.
func (p *Proxy) inheritOrListen() error {
	u := &p.handover
	u.predecessorExited = make(chan struct{})
	dir := p.startConfig.Handover.Dir
	if dir == "" {
		dir = os.Getenv("TMPDIR")
	}
	var control func(string, string, syscall.RawConn) error // two at one address by mistake are to be told so
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

// limitFraction is the process's part of its limits: half while another process lives beside it.
func (u *handoverState) limitFraction() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.alone && u.successors == 0 {
		return 1
	}
	return 0.5
}

// descriptorLimit is how many connections and files the process may hold beside its door.
func (p *Proxy) descriptorLimit() int {
	n := int(float64(systemDescriptorLimit(p.startConfig.Limits.Descriptors)) * p.handover.limitFraction())
	if p.startConfig.Operator != "" {
		n -= adminapi.MaxConns + 1 // and its listener
	}
	return n
}

// bodyBytes is how much memory bodies may take.
func (p *Proxy) bodyBytes() int64 {
	memory := float64(p.startConfig.Limits.Memory)
	if memory == 0 {
		memory = 64 << 20
	}
	return int64(memory * p.startConfig.Limits.BodyFraction * p.handover.limitFraction())
}

// applyLimits sets the limits anew after a process beside this one came or went.
func (p *Proxy) applyLimits() {
	SetRuntimeLimits(p.startConfig.Limits, p.handover.limitFraction())
	if p.budget != nil {
		p.budget.Resize(p.descriptorLimit())
		p.bodies.Resize(p.bodyBytes())
	}
}

// acceptClients takes clients once that is sensible: at once where no old process serves them, else after
// the list was heard afresh or some time has passed. Then new processes are met.
func (p *Proxy) acceptClients() {
	u := &p.handover
	alone := func() bool { // nobody else takes them
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
			return // the old one goes on, and is not told that we take its clients
		}
	case listLimits(p.startConfig).MaxReopenDelay > 0:
		// What discovery has binds from the first request on. Where it cannot be had, what was known must do.
		// Where the end is told meanwhile, who has connected is owed an answer all the same.
		p.waitForList(func() bool { return p.stats.ListsFailed.Load() > 0 || p.server.Ending() })
	}
	go p.server.Serve(p.listener)
	p.offerHandover()
	u.serving.Store(true) // last, for the yes that follows is what the old process is ended at
	attrs := []any{"listen", p.Address()}
	if p.admin != nil {
		attrs = append(attrs, "operator", p.admin.Address())
	}
	p.log.Info("ready", attrs...)
}

// waitForList waits until the list was heard afresh, enough holds, or some time has passed.
func (p *Proxy) waitForList(done func() bool) {
	deadline := time.Now().Add(p.startConfig.Handover.ListTimeout)
	for time.Now().Before(deadline) && !p.listReceived() && !done() {
		time.Sleep(5 * time.Millisecond)
	}
}

// offerHandover makes this process the one that new ones find, and tells the old one that it takes clients.
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
			p.log.Warn("the old process was not told", logging.Err, err)
		}
	}
}

// listReceived tells whether discovery has told the list since the start.
func (p *Proxy) listReceived() bool { return p.stats.ListsRead.Load() > 0 && p.discovery.Listed() > 0 }

func (p *Proxy) waitForPredecessorExit() {
	<-p.handover.predecessor.Exited()
	p.handover.mu.Lock()
	p.handover.alone = true
	p.handover.mu.Unlock()
	close(p.handover.predecessorExited)
	p.log.Info("the old process is gone")
	p.applyLimits()
}

// SuccessorJoined hands the listening socket to a new process. One that comes while the process before this
// one still lives has to wait: three would share what is measured for two.
func (p *Proxy) SuccessorJoined() (handover.Terms, syscall.Conn, error) {
	select {
	case <-p.handover.predecessorExited:
	// the other one waits for us no longer than all of it
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

// SuccessorReady notes that a new process takes clients.
func (p *Proxy) SuccessorReady() { p.handover.successorServing.Store(true) }

// SuccessorExited notes that a new process has gone; this one is alone again.
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
