package agent

import (
	"strings"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
)

// handleCall routes a call at the control address to the endpoint of its path.
func (a *Agent) handleCall(call *controlserver.Call) *http1.Response {
	switch {
	case strings.HasPrefix(call.Path, serversPath) && call.Path != serversPath:
		return a.serverEndpoint.handle(call)
	case call.Path == metricsPath:
		return a.metricsEndpoint.handle(call)
	case call.Path == membersPath:
		return a.listEndpoint.processes(call)
	case call.Path == serverListPath:
		return a.listEndpoint.servers(call)
	case call.Path == configPath:
		return a.configEndpoint.handle(call)
	}
	return controlserver.Text(http1.StatusNotFound, "no such call; see api/control.openapi.yaml")
}
