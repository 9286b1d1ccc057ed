package routerstandin

import (
	"slices"
	"sync"
	"time"
)

// Reasons why a request gets no slot; they go into Cresshub-Not-Run.
const (
	reasonFull        = "full"
	reasonDeadline    = "deadline"
	reasonCallerGone  = "caller left"
	reasonServerEnded = "server ended"
)

// slotQueue are a server's slots and the queue for them, first come first served.
type slotQueue struct {
	mu         sync.Mutex
	slots      int
	maxWaiting int
	running    int
	waiting    []chan struct{} // closed when the slot is granted
	idle       chan struct{}   // closed when nothing runs, nil while nobody waits for that
}

func newSlotQueue(slots, queue int) *slotQueue { return &slotQueue{slots: slots, maxWaiting: queue} }

// acquire waits for a slot and returns "", or why there is none.
func (p *slotQueue) acquire(deadline <-chan time.Time, callerGone, serverEnded <-chan struct{}) string {
	p.mu.Lock()
	if p.running < p.slots {
		p.running++
		p.mu.Unlock()
		return ""
	}
	if len(p.waiting) >= p.maxWaiting {
		p.mu.Unlock()
		return reasonFull
	}
	granted := make(chan struct{})
	p.waiting = append(p.waiting, granted)
	p.mu.Unlock()
	reason := ""
	select {
	case <-granted:
		return ""
	case <-deadline:
		reason = reasonDeadline
	case <-callerGone:
		reason = reasonCallerGone
	case <-serverEnded:
		reason = reasonServerEnded
	}
	p.cancelWait(granted)
	return reason
}

// cancelWait leaves the queue, or releases the slot that was granted meanwhile.
func (p *slotQueue) cancelWait(granted chan struct{}) {
	p.mu.Lock()
	at := slices.Index(p.waiting, granted)
	if at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	}
	p.mu.Unlock()
	if at < 0 {
		p.release()
	}
}

// release returns a slot, which goes to the first in the queue.
func (p *slotQueue) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		close(p.waiting[0])
		p.waiting = slices.Delete(p.waiting, 0, 1)
		return
	}
	p.running--
	if p.running == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

func (p *slotQueue) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, len(p.waiting)
}

// awaitIdle returns a channel that closes once nothing runs.
func (p *slotQueue) awaitIdle() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	idle := p.idle
	if p.running == 0 {
		close(idle)
		p.idle = nil
	}
	return idle
}
