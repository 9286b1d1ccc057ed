package agent

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
)

// Config returns the configuration in force, nil until one is known.
func (s *dataplaneState) Config() *fleetconfig.Config { return s.state.Config() }

// Servers returns the servers that may get new requests.
func (s *dataplaneState) Servers() *catalog.Table { return s.state.Servers() }

// Proxies returns how many proxies share common budgets.
func (s *dataplaneState) Proxies() int { return s.state.Proxies() }

// Closed notes that another incarnation has the address of a server, so that the server has ended.
func (s *dataplaneState) Gone(server string) {
	(*Agent)(s).reportLost(server, "its address has another server")
}

// Suspect notes that a server's machine does not answer. The next heartbeat of the server contradicts it.
func (s *dataplaneState) Suspect(server string) {
	a := (*Agent)(s)
	if !a.isIsolated() { // else it is this machine that is cut off
		a.reportLost(server, "its machine does not answer")
	}
}

// reportLost tells the fleet that a server is lost. There are at most maxLossReports of these in each
// lossReportWindow, because a proxy that loses many servers at once is likely to be the one in trouble.
func (a *Agent) reportLost(server, reason string) {
	now := a.now()
	a.state.update(now, func(d *directory.Directory) {
		known := d.Get(server)
		if known == nil || !known.Live() || !a.allowLossReport(now) {
			return
		}
		lost := *known
		lost.Watcher = a.id // so that this process tells the hubs
		a.markLost(now, d, &lost, reason)
	})
}

// allowLossReport counts a report where one is left; the directory's lock is held.
func (a *Agent) allowLossReport(now time.Duration) bool {
	if now-a.lossReportsSince > lossReportWindow {
		a.lossReportsSince, a.lossReports = now, 0
	}
	a.lossReports++
	return a.lossReports <= maxLossReports
}

const (
	lossReportWindow = 2 * time.Second
	maxLossReports   = 4
)
