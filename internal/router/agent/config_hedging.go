package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// hedgeDelay is how long one member has to answer a call on the configuration until another one is asked
// beside it. The same call may run at several members at once: a change is taken once.
const hedgeDelay = 250 * time.Millisecond

// configCall is a call on the configuration.
type configCall struct {
	kind  peerproto.Kind
	body  []byte
	local func() *peerproto.Result // runs it in this process
}

// callConfigStore has members run a call, this process first where it is one. A member that hangs, as one
// does whose disk hangs, delays the call only by hedgeDelay.
func (a *Agent) callConfigStore(call configCall) *peerproto.Result {
	attempts := a.configAttempts(call)
	if len(attempts) == 0 {
		return unavailableResult("no machine that keeps the configuration is reached")
	}
	return firstDefiniteAnswer(attempts)
}

// configAttempt has one member run a call.
type configAttempt func() *peerproto.Result

// firstDefiniteAnswer starts tries one after the other, each when the one before has no answer after
// hedgeDelay or gave none that is clear, and returns the first clear one.
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

// configAttempts returns the ways to have a call run, in the order in which they are tried.
func (a *Agent) configAttempts(call configCall) []configAttempt {
	var attempts []configAttempt
	if a.configStore.isMember() {
		attempts = append(attempts, call.local)
	}
	now := a.now()
	for _, h := range a.currentHubs() {
		if h.isResponsive(now) {
			attempts = append(attempts, func() *peerproto.Result { return callMember(h, call) })
		}
	}
	return attempts
}

// callMember has another process run a call.
func callMember(h *hub, call configCall) *peerproto.Result {
	frame, err := h.link.Call(call.kind, call.body, configCallTimeout)
	if err != nil {
		return unavailableResult(err.Error())
	}
	var answer peerproto.Result
	if err := peerproto.Decode(frame.Body, &answer); err != nil {
		return unavailableResult(err.Error())
	}
	return &answer
}
