package agent

import (
	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
)

// readyPath is the endpoint of the platform's readiness checks.
const readyPath = "/api/ready"

// handleReady answers the platform's readiness check, which asks whether to send clients here.
func (a *Agent) handleReady(call *controlserver.Call) *http1.Response {
	if call.Path != readyPath {
		return controlserver.Text(http1.StatusNotFound, "call "+readyPath)
	}
	if reason := unreadyReason(a.process, a.state); reason != "" {
		return controlserver.Text(http1.StatusServiceUnavailable, reason)
	}
	return controlserver.Text(http1.StatusOK, "ready")
}

// unreadyReason returns the reason why this process is not ready for clients, "" if it is ready.
func unreadyReason(p *process, s *state) string {
	switch {
	case p.isShuttingDown():
		return "shutting down"
	case s.Config() == nil:
		return "no configuration is known yet"
	case !s.isSynced():
		return "the other processes are not known yet"
	}
	return ""
}
