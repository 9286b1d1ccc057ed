package agent

import (
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/directory"
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

// request runs a call on the state machine and waits for its reply.
func (m *chainMember) request(timeout time.Duration,
	call func(now time.Duration, number uint64) chain.Effects) *peerproto.Result {
	answer := make(chan chain.Reply, 1)
	m.waitersMu.Lock()
	m.lastRequest++
	number := m.lastRequest
	m.waiters[number] = answer
	m.waitersMu.Unlock()
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

func (m *chainMember) removeWaiter(number uint64) {
	m.waitersMu.Lock()
	delete(m.waiters, number)
	m.waitersMu.Unlock()
}

func (m *chainMember) reply(reply chain.Reply) {
	m.waitersMu.Lock()
	defer m.waitersMu.Unlock()
	if answer := m.waiters[reply.Request]; answer != nil {
		answer <- reply
		delete(m.waiters, reply.Request)
	}
}

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

// tryBootstrap agrees on the first view with all machines that have a disk, once no new one is heard of.
func (m *chainMember) tryBootstrap() {
	if m.machine.View().Epoch > 0 {
		m.bootstrapper = false
		return
	}
	var members []chain.Member
	m.node.state.read(func(d *directory.Directory) {
		for _, proxy := range d.Proxies() {
			if proxy.Member != "" {
				members = append(members, chain.Member{ID: chain.MemberID(proxy.Member), Address: proxy.Address})
			}
		}
	})
	now := m.node.now()
	if len(members) != m.bootstrapCandidates {
		m.bootstrapCandidates, m.candidatesStableSince = len(members), now
		return
	}
	if len(members) == 0 || now < bootstrapDelay || now-m.candidatesStableSince < bootstrapStablePeriod {
		return
	}
	m.candidatesStableSince = now // and ask again after the same while
	m.node.log.Info().Int("members", len(members)).Msg("chain: founding")
	m.step(func(now time.Duration) chain.Effects { return m.machine.Bootstrap(now, members) })
}

// noConfigStore is the part of a machine without a disk.
type noConfigStore struct{}

func (noConfigStore) propose(*peerproto.Proposal, time.Duration) *peerproto.Result {
	return unavailableResult("this machine has no disk")
}

func (noConfigStore) patch(*peerproto.Proposal, time.Duration) *peerproto.Result {
	return unavailableResult("this machine has no disk")
}

func (noConfigStore) read(time.Duration) *peerproto.Result {
	return unavailableResult("this machine has no disk")
}

func (noConfigStore) receive(string, []byte) {}
func (noConfigStore) start(<-chan struct{})  {}
func (noConfigStore) isMember() bool         { return false }
func (noConfigStore) leave()                 {}
func (noConfigStore) close()                 {}

func (noConfigStore) opened() <-chan struct{}  { return closedChannel }
func (noConfigStore) canStop() <-chan struct{} { return closedChannel }

// closedChannel stands for what need not be waited for.
var closedChannel = func() <-chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()
