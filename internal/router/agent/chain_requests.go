package agent

import (
	"math/rand"
	"sync"
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// chainRequests runs the calls on the configuration (propose, patch and read): it posts each as an event,
// which the chain goroutine runs on the state machine, and waits for the reply. The calls are safe for
// concurrent use, but the chain goroutine must not make them, as it would wait for itself; it calls only
// complete.
type chainRequests struct {
	now     func() time.Duration
	state   *state
	post    func(chainEvent) bool // chainMember.post
	pending *pendingRequests
}

func newChainRequests(p *process, state *state, post func(chainEvent) bool) *chainRequests {
	return &chainRequests{now: p.now, state: state, post: post, pending: newPendingRequests()}
}

func (r *chainRequests) propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result {
	change := chain.Proposal{Expected: proposal.Expected, Version: proposal.Version, Body: proposal.Body}
	return r.request(timeout, func(node *chain.Node, now time.Duration, number uint64) chain.Effects {
		return node.Propose(now, number, change)
	})
}

func (r *chainRequests) read(timeout time.Duration) *peerproto.Result {
	return r.request(timeout, (*chain.Node).Read)
}

// request runs a call on the state machine and waits for its reply, but no longer than timeout.
func (r *chainRequests) request(timeout time.Duration,
	call func(node *chain.Node, now time.Duration, number uint64) chain.Effects) *peerproto.Result {
	number, answer := r.pending.add()
	defer r.pending.remove(number)
	event := func(node *chain.Node, now time.Duration) chain.Effects { return call(node, now, number) }
	if !r.post(event) {
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

// complete passes replies of the state machine to the callers that wait for them.
func (r *chainRequests) complete(replies []chain.Reply) {
	for _, reply := range replies {
		r.pending.complete(reply)
	}
}

// pendingRequests holds the requests whose callers wait for the reply of the state machine. Its methods are
// safe for concurrent use.
type pendingRequests struct {
	mu      sync.Mutex
	replies map[uint64]chan chain.Reply // by request number
	last    uint64                      // number of the last request
}

// newPendingRequests starts the request numbers at a random value, so that a reply to a request of an earlier
// process is not mistaken for a reply to one of this process.
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

// remove removes a request for whose reply the caller no longer waits.
func (p *pendingRequests) remove(number uint64) {
	p.mu.Lock()
	delete(p.replies, number)
	p.mu.Unlock()
}

// complete passes a reply to the caller of its request, if the caller still waits for it.
func (p *pendingRequests) complete(reply chain.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer := p.replies[reply.Request]; answer != nil {
		answer <- reply
		delete(p.replies, reply.Request)
	}
}

// resultOf converts a reply of the state machine to the result that operators and other processes get.
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
