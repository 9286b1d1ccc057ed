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

// upgrade is what the proxy knows of the process before it and of those after it.
type upgrade struct {
	path      string        // where they meet; "" for no handover
	old       *handover.Old // nil where none served before, or once it is gone
	oldGone   chan struct{} // closed when there is none any more
	offer     atomic.Pointer[handover.Offer]
	serving   atomic.Bool // clients are taken
	succeeded atomic.Bool // a successor takes them too

	mu         sync.Mutex
	alone      bool // no old process lives
	successors int  // that live
}

// join takes over the listening socket from the process that serves the address so far, or listens.
func (p *Proxy) join() error {
	u := &p.upgrade
	u.oldGone = make(chan struct{})
	dir := p.begun.Handover.Dir
	if dir == "" {
		dir = os.Getenv("TMPDIR")
	}
	var control func(string, string, syscall.RawConn) error // two at one address by mistake are to be told so
	if dir != "" {
		control = handover.Share
		var err error
		u.old, err = handover.Join(handover.Path(dir, p.begun.Listen.Address), p.begun.Handover.Wait)
		if err != nil {
			p.log.Warn("no handover, listening beside the old process", logging.Err, err)
		}
	}
	if u.old != nil {
		p.log.Info("taking over from an old process", "listen", u.old.Listener.Addr().String())
		p.listener = u.old.Listener
		u.path = handover.Path(dir, p.Address())
		p.confine()
		return nil
	}
	u.alone = true
	close(u.oldGone)
	var err error
	if p.listener, err = listen(p.begun.Listen.Address, control); err != nil {
		return fmt.Errorf("listen.address: %w", err)
	}
	if dir != "" {
		u.path = handover.Path(dir, p.Address()) // the port is the system's choice where it is set to 0
	}
	return nil
}

// part is the process's part of its limits: half while another process lives beside it.
func (u *upgrade) part() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.alone && u.successors == 0 {
		return 1
	}
	return 0.5
}

// descriptors is how many connections and files the process may hold beside its door.
func (p *Proxy) descriptors() int {
	n := int(float64(descriptorLimit(p.begun.Limits.Sockets)) * p.upgrade.part())
	if p.begun.Operator != "" {
		n -= adminapi.Callers + 1 // and its listener
	}
	return n
}

// bodyBytes is how much memory bodies may take.
func (p *Proxy) bodyBytes() int64 {
	memory := float64(p.begun.Limits.Memory)
	if memory == 0 {
		memory = 64 << 20
	}
	return int64(memory * p.begun.Limits.Bodies * p.upgrade.part())
}

// confine sets the limits anew after a process beside this one came or went.
func (p *Proxy) confine() {
	Confine(p.begun.Limits, p.upgrade.part())
	if p.budget != nil {
		p.budget.Resize(p.descriptors())
		p.bodies.Resize(p.bodyBytes())
	}
}

// takeClients takes clients once that is sensible: at once where no old process serves them, else after
// the list was heard afresh or some time has passed. Then new processes are met.
func (p *Proxy) takeClients() {
	u := &p.upgrade
	alone := func() bool { // nobody else takes them
		select {
		case <-u.oldGone:
			return true
		default:
			return false
		}
	}
	switch {
	case u.old != nil:
		go p.untilOldIsGone()
		if p.settle(func() bool { return alone() || p.server.Ending() }); p.server.Ending() && !alone() {
			return // the old one goes on, and is not told that we take its clients
		}
	case listLimits(p.begun).Again > 0:
		// What discovery has binds from the first request on. Where it cannot be had, what was known must do.
		// Where the end is told meanwhile, who has connected is owed an answer all the same.
		p.settle(func() bool { return p.count.ListsFailed.Load() > 0 || p.server.Ending() })
	}
	go p.server.Serve(p.listener)
	p.meet()
	u.serving.Store(true) // last, for the yes that follows is what the old process is ended at
	words := []any{"listen", p.Address()}
	if p.door != nil {
		words = append(words, "operator", p.door.Address())
	}
	p.log.Info("ready", words...)
}

// settle waits until the list was heard afresh, enough holds, or some time has passed.
func (p *Proxy) settle(enough func() bool) {
	end := time.Now().Add(p.begun.Handover.Settle)
	for time.Now().Before(end) && !p.heard() && !enough() {
		time.Sleep(5 * time.Millisecond)
	}
}

// meet makes this process the one that new ones find, and tells the old one that it takes clients.
func (p *Proxy) meet() {
	u := &p.upgrade
	if u.path == "" {
		return
	}
	offer, err := handover.Listen(u.path)
	if err != nil {
		p.log.Warn("a new process cannot take over from this one, it has to listen beside it", logging.Err, err)
	} else {
		u.offer.Store(offer)
		go offer.Serve(p)
	}
	if u.old != nil {
		if err := u.old.Ready(); err != nil {
			p.log.Warn("the old process was not told", logging.Err, err)
		}
	}
}

// heard tells whether discovery has told the list since the start.
func (p *Proxy) heard() bool { return p.count.Lists.Load() > 0 && p.list.Held() > 0 }

func (p *Proxy) untilOldIsGone() {
	<-p.upgrade.old.Gone()
	p.upgrade.mu.Lock()
	p.upgrade.alone = true
	p.upgrade.mu.Unlock()
	close(p.upgrade.oldGone)
	p.log.Info("the old process is gone")
	p.confine()
}

// Joins hands the listening socket to a new process. One that comes while the process before this one still
// lives has to wait: three would share what is measured for two.
func (p *Proxy) Joins() (handover.Terms, syscall.Conn, error) {
	select {
	case <-p.upgrade.oldGone:
	case <-time.After(p.begun.Handover.Wait / 4 * 3): // the other one waits for us no longer than all of it
	}
	socket, ok := p.listener.(syscall.Conn)
	if !ok {
		return handover.Terms{}, nil, errors.New("the listener has no socket")
	}
	known, err := p.list.Export()
	if err != nil {
		return handover.Terms{}, nil, err
	}
	p.log.Info("a new process takes over")
	p.successor(+1)
	return handover.Terms{Known: known, Discovery: p.list.Origin()}, socket, nil
}

// Serves notes that a new process takes clients.
func (p *Proxy) Serves() { p.upgrade.succeeded.Store(true) }

// Left notes that a new process has gone; this one is alone again.
func (p *Proxy) Left() {
	p.log.Warn("a new process has gone")
	p.successor(-1)
}

func (p *Proxy) successor(n int) {
	u := &p.upgrade
	u.mu.Lock()
	u.successors += n
	if u.successors == 0 {
		u.succeeded.Store(false)
	}
	u.mu.Unlock()
	p.confine()
}
