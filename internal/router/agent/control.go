package agent

import (
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// configCallTimeout bounds a call on the configuration; the operator gives up after a second.
const configCallTimeout = 900 * time.Millisecond

// configStore is the part of a process that keeps the configuration where the machine has a disk.
type configStore interface {
	// propose asks for a change and returns how it ended.
	propose(proposal *peerproto.Proposal, timeout time.Duration) *peerproto.Result
	// patch asks for a change of named items and returns how it ended.
	patch(change *peerproto.Proposal, timeout time.Duration) *peerproto.Result
	// read returns the newest acknowledged configuration.
	read(timeout time.Duration) *peerproto.Result
	// receive takes a message of another member.
	receive(peer string, body []byte)
	// start begins to take part until done closes.
	start(done <-chan struct{})
	// opened returns a channel that closes once the disk is open, where there is one.
	opened() <-chan struct{}
	// isMember tells whether this process keeps the control state now.
	isMember() bool
	// leave hands the control state over before this process ends.
	leave()
	// canStop returns a channel that closes once the others hold all that this process holds of the control
	// state, so that it may end after leave.
	canStop() <-chan struct{}
	// close frees what this process holds, after the channel that start was given has closed.
	close()
}

// handleCall answers a call at the control address.
func (n *Node) handleCall(call *controlserver.Call) *http1.Response {
	switch {
	case len(call.Path) > len(serversPath) && call.Path[:len(serversPath)] == serversPath:
		return n.handleServerCall(call)
	case call.Path == metricsPath:
		return n.showMetrics(call)
	case call.Path == membersPath:
		return n.listMembers(call)
	case call.Path == serverListPath:
		return n.listServers(call)
	case call.Path == configPath:
		return n.handleConfigCall(call)
	}
	return controlserver.Text(404, "no such call; see api/control.openapi.yaml")
}

// serveConfigCall runs another process's call on the configuration.
func (n *Node) serveConfigCall(c *transport.Conn, frame peerproto.Frame) {
	result := unavailableResult("this machine does not keep the configuration")
	var proposal peerproto.Proposal
	switch {
	case !n.configStore.isMember():
	case frame.Kind == peerproto.KindRead:
		result = n.configStore.read(configCallTimeout)
	case peerproto.Decode(frame.Body, &proposal) != nil:
	case frame.Kind == peerproto.KindPatch:
		result = n.configStore.patch(&proposal, configCallTimeout)
	default:
		result = n.configStore.propose(&proposal, configCallTimeout)
	}
	c.Answer(frame, peerproto.KindResult, peerproto.Encode(result))
}

func unavailableResult(reason string) *peerproto.Result {
	return &peerproto.Result{Outcome: peerproto.OutcomeUnavailable, Reason: reason}
}
