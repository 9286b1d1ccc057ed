package routerstandin

import (
	"slices"
	"sync"
	"time"
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

// acquire waits for a slot and returns admitted, or why there is none.
func (q *slotQueue) acquire(deadline <-chan time.Time,
	callerClosed, serverEnded <-chan struct{}) notRunReason {
	q.mu.Lock()
	if q.running < q.slots {
		q.running++
		q.mu.Unlock()
		return admitted
	}
	if len(q.waiting) >= q.maxWaiting {
		q.mu.Unlock()
		return reasonFull
	}
	granted := make(chan struct{})
	q.waiting = append(q.waiting, granted)
	q.mu.Unlock()
	reason := admitted
	select {
	case <-granted:
		return admitted
	case <-deadline:
		reason = reasonDeadline
	case <-callerClosed:
		reason = reasonCallerClosed
	case <-serverEnded:
		reason = reasonServerEnded
	}
	q.cancelWait(granted)
	return reason
}

// cancelWait leaves the queue, or releases the slot that was granted meanwhile.
func (q *slotQueue) cancelWait(granted chan struct{}) {
	q.mu.Lock()
	at := slices.Index(q.waiting, granted)
	if at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
	q.mu.Unlock()
	if at < 0 {
		q.release()
	}
}

// release returns a slot, which goes to the first in the queue.
func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = slices.Delete(q.waiting, 0, 1)
		return
	}
	q.running--
	if q.running == 0 && q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
}

func (q *slotQueue) load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}

// awaitIdle returns a channel that closes once nothing runs.
func (q *slotQueue) awaitIdle() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.idle == nil {
		q.idle = make(chan struct{})
	}
	idle := q.idle
	if q.running == 0 {
		close(idle)
		q.idle = nil
	}
	return idle
}
