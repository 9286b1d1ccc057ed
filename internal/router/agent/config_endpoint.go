package agent

import (
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
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

// configEndpoint serves the calls of operators on the configuration. It forwards each call to members of the
// chain (callMembers) and takes no part in the replication itself. Its methods run on the goroutine of the
// call and are safe for concurrent use; shown is atomic, so there is no lock.
type configEndpoint struct {
	*process
	store configStore
	hubs  *hubSet
	shown shownVersion
}

// shownVersion is the highest version of the configuration that this process has acknowledged to an operator
// or returned to one. Reads are monotonic: a read that starts later must not return an older version.
type shownVersion struct{ version atomic.Int64 }

func (s *shownVersion) highest() int64 { return s.version.Load() }

// raise raises the highest version to version, unless it is at least that high.
func (s *shownVersion) raise(version int64) {
	for highest := s.version.Load(); version > highest; highest = s.version.Load() {
		if s.version.CompareAndSwap(highest, version) {
			return
		}
	}
}

// handle handles a call on the configuration.
func (e *configEndpoint) handle(call *controlserver.Call) *http1.Response {
	switch call.Method {
	case "PUT":
		return e.put(call)
	case "PATCH":
		return e.patch(call)
	case "GET":
		return e.get()
	}
	return controlserver.Text(http1.StatusMethodNotAllowed,
		"use PUT or PATCH to change the configuration and GET to read it")
}

func (e *configEndpoint) put(call *controlserver.Call) *http1.Response {
	config, err := fleetconfig.Parse(call.Body)
	if err != nil {
		return controlserver.Text(http1.StatusBadRequest, err.Error())
	}
	return e.change(call, peerproto.KindPropose, config.Version)
}

func (e *configEndpoint) patch(call *controlserver.Call) *http1.Response {
	patch, err := fleetconfig.ParsePatch(0, call.Body) // change reads the base from If-Match
	if err != nil {
		return controlserver.Text(http1.StatusBadRequest, err.Error())
	}
	return e.change(call, peerproto.KindPatch, patch.Version)
}

// change has a member propose the change that a call requests, and waits until it is committed. The kind is
// KindPropose or KindPatch, and version is the version that the change results in.
func (e *configEndpoint) change(call *controlserver.Call, kind peerproto.Kind,
	version int64) *http1.Response {
	expected, err := expectedVersion(call, version)
	if err != nil {
		return controlserver.Text(http1.StatusBadRequest, err.Error())
	}
	start := e.now()
	result := e.callMembers(kind, &peerproto.Proposal{Expected: expected, Version: version, Body: call.Body})
	e.metrics.countConfigCall(strings.ToLower(call.Method), result)
	e.logChange(call.Method, expected, version, result, e.now()-start)
	switch result.Outcome {
	case peerproto.OutcomeAccepted:
		e.shown.raise(version)
		return controlserver.JSON(http1.StatusOK, []byte("{}"))
	case peerproto.OutcomeConflict:
		return controlserver.Text(http1.StatusPreconditionFailed,
			"edition "+strconv.FormatInt(result.Version, 10)+" is current; read it and build on it")
	case peerproto.OutcomeInvalid:
		return controlserver.Text(http1.StatusBadRequest, result.Reason)
	}
	return tryAnotherProxy()
}

// expectedVersion returns the version that a change builds on, which the header If-Match names.
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

func (e *configEndpoint) logChange(method string, expected, version int64, result *peerproto.Result,
	took time.Duration) {
	event := e.log.Info().Int64("version", version).Int64("on", expected).Str("by", method).
		Dur("took_ms", took)
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

func (e *configEndpoint) get() *http1.Response {
	shownBefore := e.shown.highest()
	result := e.callMembers(peerproto.KindRead, nil)
	e.metrics.countConfigCall("get", result)
	if result.Outcome != peerproto.OutcomeAccepted {
		return tryAnotherProxy()
	}
	invariant.Assert(result.Version >= shownBefore, invariant.ReadsNotOlder,
		"a read shows version %d, %d was shown before", result.Version, shownBefore)
	e.shown.raise(result.Version)
	if len(result.Body) == 0 {
		return controlserver.Text(http1.StatusNotFound, "no configuration was sent yet; send one with If-Match: 0")
	}
	return controlserver.JSON(http1.StatusOK, result.Body)
}
