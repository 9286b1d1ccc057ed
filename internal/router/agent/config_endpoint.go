package agent

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/peerproto"
)

// configPath is the endpoint at which operators read and change the configuration.
const configPath = "/api/config"

var (
	errNoIfMatch    = errors.New("If-Match: is not a version; name the version that this one builds on")
	errVersionOrder = errors.New("edition: is not above If-Match; count on from the current version")
)

// handleConfigCall handles a call on the configuration.
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

// changeConfig has a member propose the change that a call asks for, and waits until it is committed. The
// kind is KindPropose or KindPatch, version the one that the change makes.
func (a *Agent) changeConfig(call *controlserver.Call, kind peerproto.Kind, version int64) *http1.Response {
	expected, err := expectedVersion(call, version)
	if err != nil {
		return controlserver.Text(400, err.Error())
	}
	start := a.now()
	result := a.callConfigStore(kind, &peerproto.Proposal{Expected: expected, Version: version, Body: call.Body})
	a.observeConfigCall(strings.ToLower(call.Method), result)
	a.logConfigChange(call.Method, expected, version, result, a.now()-start)
	switch result.Outcome {
	case peerproto.OutcomeAccepted:
		a.shown.raise(version)
		return controlserver.JSON(200, []byte("{}"))
	case peerproto.OutcomeConflict:
		return controlserver.Text(412, "edition "+strconv.FormatInt(result.Version, 10)+
			" is current; read it and build on it")
	case peerproto.OutcomeInvalid:
		return controlserver.Text(400, result.Reason)
	}
	return callAnotherProxy()
}

// expectedVersion returns the version that a change builds on, which If-Match names.
func expectedVersion(call *controlserver.Call, version int64) (int64, error) {
	expected, err := strconv.ParseInt(call.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return 0, errNoIfMatch
	}
	if version <= expected {
		return 0, errVersionOrder
	}
	return expected, nil
}

func (a *Agent) logConfigChange(method string, expected, version int64, result *peerproto.Result,
	took time.Duration) {
	event := a.log.Info().Int64("version", version).Int64("on", expected).Str("by", method).Dur("took_ms", took)
	switch result.Outcome {
	case peerproto.OutcomeAccepted:
		event.Msg("config: acknowledged")
	case peerproto.OutcomeConflict:
		event.Int64("current", result.Version).Msg("config: rejected")
	case peerproto.OutcomeInvalid:
		event.Str("reason", result.Reason).Msg("config: rejected")
	default:
		event.Str("reason", result.Reason).Msg("config: outcome unknown")
	}
}

func (a *Agent) getConfig() *http1.Response {
	shownBefore := a.shown.highest()
	result := a.callConfigStore(peerproto.KindRead, nil)
	a.observeConfigCall("get", result)
	if result.Outcome != peerproto.OutcomeAccepted {
		return callAnotherProxy()
	}
	invariant.Assert(result.Version >= shownBefore, invariant.ReadsNotOlder,
		"a read shows version %d, %d was shown before", result.Version, shownBefore)
	a.shown.raise(result.Version)
	if len(result.Body) == 0 {
		return controlserver.Text(404, "no configuration was sent yet; send one with If-Match: 0")
	}
	return controlserver.JSON(200, result.Body)
}
