package agent

import (
	"strconv"
	"strings"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// configPath is where operators call for the configuration.
const configPath = "/api/config"

// handleConfigCall answers a call on the configuration.
func (a *Agent) handleConfigCall(call *controlserver.Call) *http1.Response {
	switch call.Method {
	case "PUT":
		return a.putConfig(call)
	case "PATCH":
		return a.patchConfig(call)
	case "GET":
		return a.getConfig()
	}
	return controlserver.Text(405, "use PUT or PATCH to change the configuration and GET to read it")
}

func (a *Agent) putConfig(call *controlserver.Call) *http1.Response {
	config, err := fleetconfig.Parse(call.Body)
	if err != nil {
		return controlserver.Text(400, err.Error())
	}
	return a.changeConfig(call, peerproto.KindPropose, config.Version)
}

func (a *Agent) patchConfig(call *controlserver.Call) *http1.Response {
	patch, err := fleetconfig.ParsePatch(0, call.Body) // its base is read with If-Match
	if err != nil {
		return controlserver.Text(400, err.Error())
	}
	return a.changeConfig(call, peerproto.KindPatch, patch.Version)
}

// changeConfig asks the machines that keep the configuration for a change that makes a version.
func (a *Agent) changeConfig(call *controlserver.Call, kind peerproto.Kind, version int64) *http1.Response {
	expected, err := strconv.ParseInt(call.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return controlserver.Text(400, "If-Match: is not a version; name the version that this one builds on")
	}
	if version <= expected {
		return controlserver.Text(400, "edition: is not above If-Match; count on from the current version")
	}
	proposal := &peerproto.Proposal{Expected: expected, Version: version, Body: call.Body}
	propose := a.configStore.propose
	if kind == peerproto.KindPatch {
		propose = a.configStore.patch
	}
	began := a.now()
	result := a.callConfigStore(configCall{kind: kind, body: peerproto.Encode(proposal),
		local: func() *peerproto.Result { return propose(proposal, configCallTimeout) }})
	a.observeConfigCall(strings.ToLower(call.Method), result)
	event := a.log.Info().Int64("version", version).Int64("on", expected).Str("by", call.Method).
		Dur("took_ms", a.now()-began)
	switch result.Outcome {
	case peerproto.OutcomeAccepted:
		a.shown.raise(version)
		event.Msg("config: acknowledged")
		return controlserver.JSON(200, []byte("{}"))
	case peerproto.OutcomeConflict:
		event.Int64("current", result.Version).Msg("config: refused")
		return controlserver.Text(412, "edition "+strconv.FormatInt(result.Version, 10)+
			" is current; read it and build on it")
	case peerproto.OutcomeInvalid:
		event.Str("reason", result.Reason).Msg("config: refused")
		return controlserver.Text(400, result.Reason)
	}
	event.Str("reason", result.Reason).Msg("config: no clear answer")
	return retryElsewhere()
}

func (a *Agent) getConfig() *http1.Response {
	shownBefore := a.shown.highest()
	result := a.callConfigStore(configCall{kind: peerproto.KindRead,
		local: func() *peerproto.Result { return a.configStore.read(configCallTimeout) }})
	a.observeConfigCall("get", result)
	if result.Outcome == peerproto.OutcomeAccepted {
		invariant.Assert(result.Version >= shownBefore, invariant.ReadsNotOlder,
			"a read shows version %d, %d was shown before", result.Version, shownBefore)
		a.shown.raise(result.Version)
	}
	switch {
	case result.Outcome != peerproto.OutcomeAccepted:
		return retryElsewhere()
	case len(result.Body) == 0:
		return controlserver.Text(404, "no configuration was sent yet; send one with If-Match: 0")
	}
	return controlserver.JSON(200, result.Body)
}
