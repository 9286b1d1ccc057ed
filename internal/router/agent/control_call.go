package agent

import (
	"time"

	"cresshub/internal/router/peerproto"
)

// controlHedge is how long one member has to answer a call on the configuration until another one is asked
// beside it. The same call may run at several members at once: a change is taken once.
const controlHedge = 250 * time.Millisecond

// controlCall is a call on the configuration.
type controlCall struct {
	kind peerproto.Kind
	body []byte
	here func() *peerproto.Result // runs it in this process
}

// onControlState has members run a call, this process first where it is one. A member that hangs, as one does
// whose disk hangs, delays the call only by controlHedge.
func (n *Node) onControlState(call controlCall) *peerproto.Result {
	tries := n.controlTries(call)
	if len(tries) == 0 {
		return unavailable("no machine that keeps the configuration is reached")
	}
	return firstClearAnswer(tries)
}

// controlTry has one member run a call.
type controlTry func() *peerproto.Result

// firstClearAnswer starts tries one after the other, each when the one before has no answer after
// controlHedge or gave none that is clear, and returns the first clear one.
func firstClearAnswer(tries []controlTry) *peerproto.Result {
	answers := make(chan *peerproto.Result, len(tries))
	deadline := time.NewTimer(controlTimeout)
	defer deadline.Stop()
	result := unavailable("no machine that keeps the configuration answered in time")
	for started, ended := 0, 0; ended < len(tries); {
		var hedge <-chan time.Time
		if started < len(tries) {
			try := tries[started]
			started++
			go func() { answers <- try() }()
			hedge = time.After(controlHedge)
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

// controlTries returns the ways to have a call run, in the order in which they are tried.
func (n *Node) controlTries(call controlCall) []controlTry {
	var tries []controlTry
	if n.control.member() {
		tries = append(tries, call.here)
	}
	now := n.now()
	for _, h := range n.currentHubs() {
		if h.answers(now) {
			tries = append(tries, func() *peerproto.Result { return askMember(h, call) })
		}
	}
	return tries
}

// askMember has another process run a call.
func askMember(h *hub, call controlCall) *peerproto.Result {
	frame, err := h.link.Call(call.kind, call.body, controlTimeout)
	if err != nil {
		return unavailable(err.Error())
	}
	var answer peerproto.Result
	if err := peerproto.Decode(frame.Body, &answer); err != nil {
		return unavailable(err.Error())
	}
	return &answer
}
