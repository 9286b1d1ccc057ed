package transport

import (
	"sync"

	"cresshub/internal/router/peerproto"
)

// pendingCalls holds the calls of a link that wait for their answers. Its methods may be called from any
// goroutine.
type pendingCalls struct {
	mu      sync.Mutex
	answers map[uint64]chan peerproto.Frame // by call id, the channel that receives the answer
	lastID  uint64                          // of the latest call; 0, which is no call's id, before the first
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

// complete delivers an answer to its call and reports whether the call is pending. Answers after the first
// are dropped.
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
