package node

import (
	"strconv"
	"time"

	"cresshub/internal/callserver"
	"cresshub/internal/fleetconfig"
	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/peerlink"
	"cresshub/internal/peerwire"
)

// controlTimeout bounds a call on the configuration; the operator gives up after a second.
const controlTimeout = 900 * time.Millisecond

// controlState is the part of a process that keeps the configuration where the machine has a disk.
type controlState interface {
	// propose asks for a change and returns how it ended.
	propose(proposal *peerwire.Proposal, timeout time.Duration) *peerwire.Result
	// read returns the newest acknowledged configuration.
	read(timeout time.Duration) *peerwire.Result
	// take takes a message of another member.
	take(peer string, body []byte)
	// start begins to take part until done closes.
	start(done <-chan struct{})
	// opened returns a channel that closes once the disk is open, where there is one.
	opened() <-chan struct{}
	// member tells whether this process keeps the control state now.
	member() bool
	// leave hands the control state over before this process ends.
	leave()
	// released returns a channel that closes once the others hold all that this process holds of the control
	// state, so that it may end after leave.
	released() <-chan struct{}
	// close frees what this process holds, after the channel that start was given has closed.
	close()
}

// handleCall answers a call at the control address.
func (n *Node) handleCall(call *callserver.Call) *http1.Response {
	switch {
	case len(call.Path) > len(serversPath) && call.Path[:len(serversPath)] == serversPath:
		return n.callServers(call)
	case call.Path == metricsPath:
		return n.showMetrics(call)
	case call.Path == membersPath:
		return n.listMembers(call)
	case call.Path == serverListPath:
		return n.listServers(call)
	case call.Path == "/api/config" && call.Method == "PUT":
		return n.putConfig(call)
	case call.Path == "/api/config" && call.Method == "GET":
		return n.getConfig()
	case call.Path == "/api/config":
		return callserver.Text(405, "use PUT to change the configuration and GET to read it")
	}
	return callserver.Text(404, "no such call; see api/control.openapi.yaml")
}

func (n *Node) putConfig(call *callserver.Call) *http1.Response {
	config, err := fleetconfig.Parse(call.Body)
	if err != nil {
		return callserver.Text(400, err.Error())
	}
	expected, err := strconv.ParseInt(call.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return callserver.Text(400, "If-Match: is not a version; name the version that this one builds on")
	}
	if config.Version <= expected {
		return callserver.Text(400, "edition: is not above If-Match; count on from the current version")
	}
	proposal := &peerwire.Proposal{Expected: expected, Version: config.Version, Body: call.Body}
	began := n.now()
	result := n.onControlState(controlCall{kind: peerwire.KindPropose, body: peerwire.Encode(proposal),
		here: func() *peerwire.Result { return n.control.propose(proposal, controlTimeout) }})
	n.observeConfigCall("put", result)
	event := n.log.Info().Int64("version", config.Version).Int64("on", expected).
		Dur("took_ms", n.now()-began)
	switch result.Outcome {
	case peerwire.OutcomeTaken:
		n.shown.raise(config.Version)
		event.Msg("config: acknowledged")
		return callserver.JSON(200, []byte("{}"))
	case peerwire.OutcomeConflict:
		event.Int64("current", result.Version).Msg("config: refused")
		return callserver.Text(412, "edition "+strconv.FormatInt(result.Version, 10)+
			" is current; read it and build on it")
	}
	event.Str("reason", result.Reason).Msg("config: no clear answer")
	return busy()
}

func (n *Node) getConfig() *http1.Response {
	shownBefore := n.shown.highest()
	result := n.onControlState(controlCall{kind: peerwire.KindRead,
		here: func() *peerwire.Result { return n.control.read(controlTimeout) }})
	n.observeConfigCall("get", result)
	if result.Outcome == peerwire.OutcomeTaken {
		invariant.Holds(result.Version >= shownBefore, invariant.ReadsNotOlder,
			"a read shows version %d, %d was shown before", result.Version, shownBefore)
		n.shown.raise(result.Version)
	}
	switch {
	case result.Outcome != peerwire.OutcomeTaken:
		return busy()
	case len(result.Body) == 0:
		return callserver.Text(404, "no configuration was sent yet; send one with If-Match: 0")
	}
	return callserver.JSON(200, result.Body)
}

// answerControl runs another process's call on the configuration.
func (n *Node) answerControl(c *peerlink.Conn, frame peerwire.Frame) {
	result := unavailable("this machine does not keep the configuration")
	var proposal peerwire.Proposal
	switch {
	case !n.control.member():
	case frame.Kind == peerwire.KindRead:
		result = n.control.read(controlTimeout)
	case peerwire.Decode(frame.Body, &proposal) == nil:
		result = n.control.propose(&proposal, controlTimeout)
	}
	c.Answer(frame, peerwire.KindResult, peerwire.Encode(result))
}

func unavailable(reason string) *peerwire.Result {
	return &peerwire.Result{Outcome: peerwire.OutcomeUnavailable, Reason: reason}
}
