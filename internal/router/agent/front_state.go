package agent

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
)

// Config returns the configuration in force, nil until one is known.
func (s *frontState) Config() *fleetconfig.Config { return s.state.Config() }

// Servers returns the servers that may get new requests.
func (s *frontState) Servers() *catalog.Table { return s.state.Servers() }

// Proxies returns how many proxies share common budgets.
func (s *frontState) Proxies() int { return s.state.Proxies() }

// Closed notes that another incarnation has the address of a server, so that the server has ended.
func (s *frontState) ReportReplaced(server string) {
	(*Node)(s).reportLost(server, "its address has another server")
}

// Suspect notes that a server's machine does not answer. The next heartbeat of the server contradicts it.
func (s *frontState) Suspect(server string) {
	n := (*Node)(s)
	if !n.isIsolated() { // else it is this machine that is cut off
		n.reportLost(server, "its machine does not answer")
	}
}

// reportLost tells the fleet that a server is lost. There are at most maxLossReports of these in each
// lossReportWindow, because a proxy that loses many servers at once is likely to be the one in trouble.
func (n *Node) reportLost(server, reason string) {
	now := n.now()
	n.state.update(now, func(d *directory.Directory) {
		known := d.Get(server)
		if known == nil || !known.Live() || !n.allowLossReport(now) {
			return
		}
		lost := *known
		lost.Watcher = n.id // so that this process tells the hubs
		n.markLost(now, d, &lost, reason)
	})
}

// allowLossReport counts a report where one is left; the directory's lock is held.
func (n *Node) allowLossReport(now time.Duration) bool {
	if now-n.lossReportsSince > lossReportWindow {
		n.lossReportsSince, n.lossReports = now, 0
	}
	n.lossReports++
	return n.lossReports <= maxLossReports
}

const (
	lossReportWindow = 2 * time.Second
	maxLossReports   = 4
)
