package agent

import (
	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
)

// readyPath is the endpoint of the platform's readiness checks.
const readyPath = "/api/ready"

// handleReady answers the platform's readiness check: whether clients may be sent here.
func (a *Agent) handleReady(call *controlserver.Call) *http1.Response {
	if call.Path != readyPath {
		return controlserver.Text(404, "call "+readyPath)
	}
	if reason := a.unready(); reason != "" {
		return controlserver.Text(503, reason)
	}
	return controlserver.Text(200, "ready")
}

// unready returns why no clients are to be sent here, "" if they are.
func (a *Agent) unready() string {
	switch {
	case a.isShuttingDown():
		return "ending"
	case a.state.Config() == nil:
		return "no configuration is known yet"
	case !a.state.isSynced():
		return "the other processes are not known yet"
	}
	return ""
}
