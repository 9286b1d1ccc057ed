package agent

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
)

// A data plane in which many servers fail at once is likely to be the one at fault. So it may report at most
// maxLossReports servers lost in each lossReportWindow.
const (
	lossReportWindow = 2 * time.Second
	maxLossReports   = 4
)

// dataplaneState is what the data plane reads of this process, and where it reports lost servers. Its methods
// are safe for concurrent use. Config, Servers and Proxies are called for each request; they take no lock.
type dataplaneState struct {
	*process
	state       *state
	hubs        *hubSet
	lossReports lossReports // guarded by the lock of the state
}

var _ dataplane.State = (*dataplaneState)(nil)

// Config returns the configuration in force, nil until one is known.
func (s *dataplaneState) Config() *fleetconfig.Config { return s.state.Config() }

// Servers returns the servers that may get new requests.
func (s *dataplaneState) Servers() *catalog.Table { return s.state.Servers() }

// Proxies returns how many proxies share common budgets.
func (s *dataplaneState) Proxies() int { return s.state.Proxies() }

// ReportReplaced reports that another incarnation answers at a server's address, so that the server has
// ended.
func (s *dataplaneState) ReportReplaced(server string) {
	s.reportLost(server, "its address has another server")
}

// Suspect reports that a server's machine does not answer. The next heartbeat of the server refutes
// it. It does nothing while no hub answers either, because then this machine is likely to be the one that is
// partitioned.
func (s *dataplaneState) Suspect(server string) {
	if !s.hubs.isIsolated() {
		s.reportLost(server, "its machine does not answer")
	}
}

// reportLost marks a server lost, within the bound of reports.
func (s *dataplaneState) reportLost(server, reason string) {
	now := s.now()
	s.state.update(now, func(d *directory.Directory) {
		known := d.Get(server)
		if known == nil || !known.Live() || !s.lossReports.allow(now) {
			return
		}
		lost := *known
		lost.Watcher = s.id // this process then sends the record to the hubs
		markLost(s.process, now, d, &lost, reason)
	})
}

// lossReports counts the reports in the present window.
type lossReports struct {
	count int
	since time.Duration
}

// allow counts a report and reports whether it is within the bound.
func (l *lossReports) allow(now time.Duration) bool {
	if now-l.since > lossReportWindow {
		l.since, l.count = now, 0
	}
	l.count++
	return l.count <= maxLossReports
}
