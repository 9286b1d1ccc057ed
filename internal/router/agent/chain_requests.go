package agent

import (
	"math/rand"
	"sync"
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

func (m *chainMember) propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	change := chain.Proposal{Expected: proposal.Expected, Version: proposal.Version, Body: proposal.Body}
	return m.request(timeout, func(now time.Duration, number uint64) chain.Effects {
		return m.machine.Propose(now, number, change)
	})
}

func (m *chainMember) read(timeout time.Duration) *peerproto.Result {
	return m.request(timeout, m.machine.Read)
}

// request runs a call on the state machine and waits for its reply, or for timeout.
func (m *chainMember) request(timeout time.Duration,
	call func(now time.Duration, number uint64) chain.Effects) *peerproto.Result {
	number, answer := m.pending.add()
	defer m.pending.remove(number)
	if !m.post(func(now time.Duration) chain.Effects { return call(now, number) }) {
		return unavailableResult("too many calls wait for the disk")
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-answer:
		return resultOf(&reply)
	case <-timer.C:
		return unavailableResult("the machines that keep the configuration did not agree in time")
	}
}

// pendingRequests holds the requests whose callers wait for the reply of the state machine. Its methods are
// safe for concurrent use.
type pendingRequests struct {
	mu      sync.Mutex
	replies map[uint64]chan chain.Reply // by number of the request
	last    uint64                      // number of the last request
}

// newPendingRequests draws the number from which requests are counted at random: replies to an earlier
// process must not be taken for this one's.
func newPendingRequests() *pendingRequests {
	return &pendingRequests{replies: map[uint64]chan chain.Reply{}, last: uint64(rand.Int63())}
}

// add returns the number of a new request and the channel on which its reply arrives.
func (p *pendingRequests) add() (number uint64, answer <-chan chain.Reply) {
	reply := make(chan chain.Reply, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	p.replies[p.last] = reply
	return p.last, reply
}

// remove removes a request whose caller does not wait any more.
func (p *pendingRequests) remove(number uint64) {
	p.mu.Lock()
	delete(p.replies, number)
	p.mu.Unlock()
}

// complete gives a request its reply, where the caller still waits for it.
func (p *pendingRequests) complete(reply chain.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer := p.replies[reply.Request]; answer != nil {
		answer <- reply
		delete(p.replies, reply.Request)
	}
}

// resultOf translates a reply of the state machine to the result that operators and other processes get.
func resultOf(reply *chain.Reply) *peerproto.Result {
	result := &peerproto.Result{Version: reply.Entry.Version}
	switch reply.Outcome {
	case chain.Applied:
		document, err := fleetconfig.StoredDocument(reply.Entry.Body)
		if err != nil {
			return unavailableResult(err.Error())
		}
		result.Outcome, result.Body = peerproto.OutcomeAccepted, document
	case chain.Conflict, chain.Invalid:
		result.Outcome = peerproto.OutcomeConflict
	default:
		return unavailableResult("the machines that keep the configuration did not agree")
	}
	return result
}
