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

// upgrade is the state of handovers: from the process before this one, and to those after it.
type upgrade struct {
	path             string        // where they meet; "" for no handover
	predecessor      *handover.Old // nil where none served before, or once it is gone
	predecessorGone  chan struct{} // closed when there is none any more
	offer            atomic.Pointer[handover.Offer]
	serving          atomic.Bool // clients are taken
	successorServing atomic.Bool // a successor takes them too

	mu         sync.Mutex
	alone      bool // no old process lives
	successors int  // that live
}

// inheritOrListen takes over the listening socket from the process that serves the address so far, or
// listens.
func (p *Proxy) inheritOrListen() error {
	u := &p.upgrade
	u.predecessorGone = make(chan struct{})
	dir := p.startConfig.Handover.Dir
	if dir == "" {
		dir = os.Getenv("TMPDIR")
	}
	var control func(string, string, syscall.RawConn) error // two at one address by mistake are to be told so
	if dir != "" {
		control = handover.Share
		var err error
		u.predecessor, err = handover.Join(handover.Path(dir, p.startConfig.Listen.Address),
			p.startConfig.Handover.Wait)
		if err != nil {
			p.log.Warn("handover: no handover, listening beside the old process", logging.Err, err)
		}
	}
	if u.predecessor != nil {
		p.log.Info("handover: taking over from an old process", "listen", u.predecessor.Listener.Addr().String())
		p.listener = u.predecessor.Listener
		u.path = handover.Path(dir, p.Address())
		p.applyLimits()
		return nil
	}
	u.alone = true
	close(u.predecessorGone)
	var err error
	if p.listener, err = listen(p.startConfig.Listen.Address, control); err != nil {
		return fmt.Errorf("listen.address: %w", err)
	}
	if dir != "" {
		u.path = handover.Path(dir, p.Address()) // the port is the system's choice where it is set to 0
	}
	return nil
}

// limitFraction returns the fraction of its limits that the process may use: half while another process runs
// beside it.
func (u *upgrade) limitFraction() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.alone && u.successors == 0 {
		return 1
	}
	return 0.5
}

// descriptors returns how many file descriptors the process may use beside those of the admin API.
func (p *Proxy) descriptors() int {
	n := int(float64(descriptorLimit(p.startConfig.Limits.Sockets)) * p.upgrade.limitFraction())
	if p.startConfig.Operator != "" {
		n -= adminapi.Callers + 1 // and its listener
	}
	return n
}

// bodyBytes returns how much memory buffered bodies may take.
func (p *Proxy) bodyBytes() int64 {
	memory := float64(p.startConfig.Limits.Memory)
	if memory == 0 {
		memory = 64 << 20
	}
	return int64(memory * p.startConfig.Limits.Bodies * p.upgrade.limitFraction())
}

// applyLimits sets the limits again after a process beside this one came or went.
func (p *Proxy) applyLimits() {
	Confine(p.startConfig.Limits, p.upgrade.limitFraction())
	if p.budget != nil {
		p.budget.Resize(p.descriptors())
		p.bodies.Resize(p.bodyBytes())
	}
}

// acceptClients serves clients at once if no predecessor serves them, else after a list of servers was
// received or Handover.Settle has passed. Then it offers the listener to successors.
func (p *Proxy) acceptClients() {
	u := &p.upgrade
	alone := func() bool { // nobody else takes them
		select {
		case <-u.predecessorGone:
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
	case listLimits(p.startConfig).Again > 0:
		// What discovery has binds from the first request on. Where it cannot be had, what was known must do.
		// Where the end is told meanwhile, who has connected is owed an answer all the same.
		p.waitForList(func() bool { return p.stats.ListsFailed.Load() > 0 || p.server.Ending() })
	}
	go func() { _ = p.server.Serve(p.listener) }() // it ends when the listener is closed
	p.offerHandover()
	u.serving.Store(true) // last, for the yes that follows is what the old process is ended at
	words := []any{"listen", p.Address()}
	if p.admin != nil {
		words = append(words, "operator", p.admin.Address())
	}
	p.log.Info("ready", words...)
}

// waitForList waits until the list was heard afresh, enough holds, or some time has passed.
func (p *Proxy) waitForList(done func() bool) {
	deadline := time.Now().Add(p.startConfig.Handover.Settle)
	for time.Now().Before(deadline) && !p.listReceived() && !done() {
		time.Sleep(5 * time.Millisecond)
	}
}

// offerHandover makes this process the one that new ones find, and tells the old one that it takes clients.
func (p *Proxy) offerHandover() {
	u := &p.upgrade
	if u.path == "" {
		return
	}
	offer, err := handover.Listen(u.path)
	if err != nil {
		p.log.Warn("handover: no socket for new processes, they have to listen beside this one", logging.Err, err)
	} else {
		u.offer.Store(offer)
		go offer.Serve(p)
	}
	if u.predecessor != nil {
		if err := u.predecessor.Ready(); err != nil {
			p.log.Warn("handover: old process not notified", logging.Err, err)
		}
	}
}

// listReceived tells whether discovery has told the list since the start.
func (p *Proxy) listReceived() bool { return p.stats.Lists.Load() > 0 && p.discovery.Held() > 0 }

func (p *Proxy) waitForPredecessorExit() {
	<-p.upgrade.predecessor.Gone()
	p.upgrade.mu.Lock()
	p.upgrade.alone = true
	p.upgrade.mu.Unlock()
	close(p.upgrade.predecessorGone)
	p.log.Info("handover: the old process is gone")
	p.applyLimits()
}

// Joins hands the listening socket to a new process. One that comes while the process before this one still
// lives has to wait: three would share what is measured for two.
func (p *Proxy) Joins() (handover.Terms, syscall.Conn, error) {
	select {
	case <-p.upgrade.predecessorGone:
	// the other one waits for us no longer than all of it
	case <-time.After(p.startConfig.Handover.Wait / 4 * 3):
	}
	socket, ok := p.listener.(syscall.Conn)
	if !ok {
		return handover.Terms{}, nil, errors.New("the listener has no socket")
	}
	known, err := p.discovery.Export()
	if err != nil {
		return handover.Terms{}, nil, err
	}
	p.log.Info("handover: a new process takes over")
	p.countSuccessors(+1)
	return handover.Terms{Known: known, Discovery: p.discovery.Origin()}, socket, nil
}

// Serves notes that a new process takes clients.
func (p *Proxy) Serves() { p.upgrade.successorServing.Store(true) }

// Left notes that a new process has gone; this one is alone again.
func (p *Proxy) Left() {
	p.log.Warn("handover: a new process has gone")
	p.countSuccessors(-1)
}

func (p *Proxy) countSuccessors(n int) {
	u := &p.upgrade
	u.mu.Lock()
	u.successors += n
	if u.successors == 0 {
		u.successorServing.Store(false)
	}
	u.mu.Unlock()
	p.applyLimits()
}
