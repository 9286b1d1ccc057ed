package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/controlserver"
)

// TestMetricsCountRejectedHeartbeats checks that the metrics count rejected heartbeats by reason, so that one
// can see later why a server was sent to another proxy.
func TestMetricsCountRejectedHeartbeats(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	agent.handleCall(heartbeat("ready", "1"))
	agent.shuttingDown.Store(true)
	agent.handleCall(heartbeat("ready", "2"))
	response := agent.handleCall(&controlserver.Call{Method: "GET", Path: metricsPath})
	c.Assert(response.Status, qt.Equals, 200)
	page := string(response.Body)
	for _, line := range []string{
		`cresshub_heartbeats_total{answer="acknowledged"} 1`,
		`cresshub_heartbeats_total{answer="shutting_down"} 1`,
		`cresshub_invariant_violations_total{check="config_reads_not_older"} 0`,
		`cresshub_servers{state="ready"} 1`,
		`cresshub_ready 0`,
		`cresshub_view_members 1`,
	} {
		c.Check(page, qt.Contains, line+"\n")
	}
	c.Check(agent.handleCall(&controlserver.Call{Method: "PUT", Path: metricsPath}).Status, qt.Equals, 405)
}
