package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

const (
	// configCallTimeout bounds a call on the configuration; the operator gives up after a second.
	configCallTimeout = 900 * time.Millisecond
	// hedgeDelay is how long one member has to answer a call on the configuration until the next one is called
	// as well. The same call may run at several members at once: a change is committed once.
	hedgeDelay = 250 * time.Millisecond
)

// configAttempt has one member run a call.
type configAttempt func() *peerproto.Result

// callMembers has the members run a call, this process first where it is one. The kind is KindPropose,
// KindPatch or KindRead, which has no proposal. A member that hangs, as one does whose disk hangs, delays the
// call by hedgeDelay only.
func (e *configEndpoint) callMembers(kind peerproto.Kind, proposal *peerproto.Proposal) *peerproto.Result {
	attempts := e.attempts(kind, proposal)
	if len(attempts) == 0 {
		return unavailableResult("no machine that keeps the configuration is reached")
	}
	return firstDefiniteAnswer(attempts)
}

// attempts returns an attempt for each member that is reached, in the order in which they are started.
func (e *configEndpoint) attempts(kind peerproto.Kind, proposal *peerproto.Proposal) []configAttempt {
	var attempts []configAttempt
	if e.store.isMember() {
		attempts = append(attempts, func() *peerproto.Result { return runLocally(e.store, kind, proposal) })
	}
	var body []byte
	if proposal != nil {
		body = peerproto.Encode(proposal)
	}
	now := e.now()
	for _, h := range e.hubs.all() {
		if h.isResponsive(now) {
			attempts = append(attempts, func() *peerproto.Result { return callMember(h, kind, body) })
		}
	}
	return attempts
}

// runLocally runs a call in the member of this process.
func runLocally(store configStore, kind peerproto.Kind, proposal *peerproto.Proposal) *peerproto.Result {
	switch kind {
	case peerproto.KindRead:
		return store.read(configCallTimeout)
	case peerproto.KindPatch:
		return store.patch(proposal, configCallTimeout)
	default:
		return store.propose(proposal, configCallTimeout)
	}
}

// callMember has another member run a call.
func callMember(h *hub, kind peerproto.Kind, body []byte) *peerproto.Result {
	frame, err := h.link.Call(kind, body, configCallTimeout)
	if err != nil {
		return unavailableResult(err.Error())
	}
	var answer peerproto.Result
	if err := peerproto.Decode(frame.Body, &answer); err != nil {
		return unavailableResult(err.Error())
	}
	return &answer
}

// firstDefiniteAnswer starts attempts one after the other, each when the one before has not answered within
// hedgeDelay or has answered that it is unavailable. It returns the first answer that is definite, or the
// last one once all have answered or configCallTimeout is over.
func firstDefiniteAnswer(attempts []configAttempt) *peerproto.Result {
	answers := make(chan *peerproto.Result, len(attempts))
	deadline := time.NewTimer(configCallTimeout)
	defer deadline.Stop()
	result := unavailableResult("no machine that keeps the configuration answered in time")
	for started, ended := 0, 0; ended < len(attempts); {
		var hedge <-chan time.Time
		if started < len(attempts) {
			attempt := attempts[started]
			started++
			go func() { answers <- attempt() }()
			hedge = time.After(hedgeDelay)
		}
		select {
		case result = <-answers:
			ended++
			if result.Outcome != peerproto.OutcomeUnavailable {
				return result
			}
		case <-hedge:
		case <-deadline.C:
			return result
		}
	}
	return result
}
