package transport

import (
	"sync"

	"cresshub/internal/router/peerproto"
)

// pendingCalls are the calls of a link that wait for their answers. The methods may be called by any
// goroutine.
type pendingCalls struct {
	mu      sync.Mutex
	answers map[uint64]chan peerproto.Frame // by call id, where to send the answer
	lastID  uint64                          // 0 if there was no call: no call has the id 0
}

// add adds a call. It returns the call's id, and the channel on which its answer arrives.
func (p *pendingCalls) add() (id uint64, answer <-chan peerproto.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers == nil {
		p.answers = map[uint64]chan peerproto.Frame{}
	}
	p.lastID++
	channel := make(chan peerproto.Frame, 1)
	p.answers[p.lastID] = channel
	return p.lastID, channel
}

// remove removes a call that has ended.
func (p *pendingCalls) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, id)
}

// complete gives a call its answer, of which the first counts. It reports whether the call is pending.
func (p *pendingCalls) complete(answer peerproto.Frame) bool {
	p.mu.Lock()
	channel := p.answers[answer.CallID]
	p.mu.Unlock()
	if channel == nil {
		return false
	}
	select {
	case channel <- answer:
	default: // answered already
	}
	return true
}
