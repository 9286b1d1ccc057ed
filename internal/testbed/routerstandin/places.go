package routerstandin

import (
	"slices"
	"sync"
	"time"
)

// Reasons why a request gets no place.
const (
	fullReason     = "full"
	deadlineReason = "deadline"
	leftReason     = "caller left"
	endedReason    = "server ended"
)

// places are a server's slots and the queue for them, first come first served.
type places struct {
	mu      sync.Mutex
	slots   int
	queue   int
	running int
	waiting []chan struct{} // closed when the slot is theirs
	idle    chan struct{}   // closed when nothing runs, nil while nobody asked
}

func newPlaces(slots, queue int) *places { return &places{slots: slots, queue: queue} }

// acquire waits for a slot and returns "", or why there is none.
func (p *places) acquire(late <-chan time.Time, gone, ended <-chan struct{}) string {
	p.mu.Lock()
	if p.running < p.slots {
		p.running++
		p.mu.Unlock()
		return ""
	}
	if len(p.waiting) >= p.queue {
		p.mu.Unlock()
		return fullReason
	}
	turn := make(chan struct{})
	p.waiting = append(p.waiting, turn)
	p.mu.Unlock()
	reason := ""
	select {
	case <-turn:
		return ""
	case <-late:
		reason = deadlineReason
	case <-gone:
		reason = leftReason
	case <-ended:
		reason = endedReason
	}
	p.leaveQueue(turn)
	return reason
}

// leaveQueue gives a place in the queue up, or the slot where it has just been given.
func (p *places) leaveQueue(turn chan struct{}) {
	p.mu.Lock()
	at := slices.Index(p.waiting, turn)
	if at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	}
	p.mu.Unlock()
	if at < 0 {
		p.release()
	}
}

// release gives a slot back.
func (p *places) release() {
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

func (p *places) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, len(p.waiting)
}

// whenIdle returns a channel that closes once nothing runs.
func (p *places) whenIdle() <-chan struct{} {
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
