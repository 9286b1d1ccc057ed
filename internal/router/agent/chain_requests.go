package agent

import (
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
	number, answer := m.addWaiter()
	defer m.removeWaiter(number)
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

// addWaiter returns the number of a new request and the channel on which its reply arrives.
func (m *chainMember) addWaiter() (number uint64, answer <-chan chain.Reply) {
	reply := make(chan chain.Reply, 1)
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	m.lastRequest++
	m.waiters[m.lastRequest] = reply
	return m.lastRequest, reply
}

func (m *chainMember) removeWaiter(number uint64) {
	m.waitersMu.Lock()
	delete(m.waiters, number)
	m.waitersMu.Unlock()
}

// complete gives a request its reply, where the caller still waits for it.
func (m *chainMember) complete(reply chain.Reply) {
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	if answer := m.waiters[reply.Request]; answer != nil {
		answer <- reply
		delete(m.waiters, reply.Request)
	}
}

// resultOf translates a reply of the state machine to the result that operators and other processes get.
func resultOf(reply *chain.Reply) *peerproto.Result {
	result := &peerproto.Result{Version: reply.Entry.Version}
	switch reply.Outcome {
	case chain.Applied:
		document, _, err := fleetconfig.DecodeStored(reply.Entry.Body)
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
