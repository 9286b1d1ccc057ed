package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

const (
	// configCallTimeout bounds a call on the configuration. It is shorter than the timeout of the operator's
	// client, which is one second.
	configCallTimeout = 900 * time.Millisecond
	// hedgeDelay is how long a call on the configuration waits for the answer of one member before the next
	// member is called as well. The same call may run at several members at once: a change is committed once.
	hedgeDelay = 250 * time.Millisecond
)

// configAttempt has one member run a call and returns its result.
type configAttempt func() *peerproto.Result

// callMembers has members of the chain run a call, beginning with this process if it is a member. The kind is
// KindPropose, KindPatch or KindRead; KindRead has no proposal. A member that does not answer, for example
// because its disk hangs, delays the call only by hedgeDelay.
func (e *configEndpoint) callMembers(kind peerproto.Kind, proposal *peerproto.Proposal) *peerproto.Result {
	attempts := e.attempts(kind, proposal)
	if len(attempts) == 0 {
		return unavailableResult("no machine that keeps the configuration is reached")
	}
	return firstDefiniteResult(attempts)
}

// attempts returns an attempt for this process, if it is a member, and for each hub that responds, in the
// order in which they are to be started.
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

// runLocally runs a call in this process, which is a member.
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

// firstDefiniteResult starts the first attempt, and each further one when hedgeDelay has passed since the
// previous start or when an attempt has ended as unavailable. It returns the first result that is not
// unavailable. If there is none, it returns the last result once all attempts have ended, or once
// configCallTimeout has passed.
func firstDefiniteResult(attempts []configAttempt) *peerproto.Result {
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
