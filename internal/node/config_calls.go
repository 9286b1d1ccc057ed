package node

import (
	"strconv"
	"strings"

	"cresshub/internal/callserver"
	"cresshub/internal/fleetconfig"
	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/peerwire"
)

// configPath is where operators call for the configuration.
const configPath = "/api/config"

// callConfig answers a call on the configuration.
func (n *Node) callConfig(call *callserver.Call) *http1.Response {
	switch call.Method {
	case "PUT":
		return n.putConfig(call)
	case "PATCH":
		return n.patchConfig(call)
	case "GET":
		return n.getConfig()
	}
	return callserver.Text(405, "use PUT or PATCH to change the configuration and GET to read it")
}

func (n *Node) putConfig(call *callserver.Call) *http1.Response {
	config, err := fleetconfig.Parse(call.Body)
	if err != nil {
		return callserver.Text(400, err.Error())
	}
	return n.changeConfig(call, peerwire.KindPropose, config.Version)
}

func (n *Node) patchConfig(call *callserver.Call) *http1.Response {
	patch, err := fleetconfig.ParsePatch(0, call.Body) // its base is read with If-Match
	if err != nil {
		return callserver.Text(400, err.Error())
	}
	return n.changeConfig(call, peerwire.KindPatch, patch.Version)
}

// changeConfig asks the machines that keep the configuration for a change that makes a version.
func (n *Node) changeConfig(call *callserver.Call, kind peerwire.Kind, version int64) *http1.Response {
	expected, err := strconv.ParseInt(call.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return callserver.Text(400, "If-Match: is not a version; name the version that this one builds on")
	}
	if version <= expected {
		return callserver.Text(400, "edition: is not above If-Match; count on from the current version")
	}
	proposal := &peerwire.Proposal{Expected: expected, Version: version, Body: call.Body}
	here := n.control.propose
	if kind == peerwire.KindPatch {
		here = n.control.patch
	}
	began := n.now()
	result := n.onControlState(controlCall{kind: kind, body: peerwire.Encode(proposal),
		here: func() *peerwire.Result { return here(proposal, controlTimeout) }})
	n.observeConfigCall(strings.ToLower(call.Method), result)
	event := n.log.Info().Int64("version", version).Int64("on", expected).Str("by", call.Method).
		Dur("took_ms", n.now()-began)
	switch result.Outcome {
	case peerwire.OutcomeTaken:
		n.shown.raise(version)
		event.Msg("config: acknowledged")
		return callserver.JSON(200, []byte("{}"))
	case peerwire.OutcomeConflict:
		event.Int64("current", result.Version).Msg("config: refused")
		return callserver.Text(412, "edition "+strconv.FormatInt(result.Version, 10)+
			" is current; read it and build on it")
	case peerwire.OutcomeInvalid:
		event.Str("reason", result.Reason).Msg("config: refused")
		return callserver.Text(400, result.Reason)
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
