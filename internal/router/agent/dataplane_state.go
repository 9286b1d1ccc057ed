package agent

import (
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/fleetconfig"
)

// A data plane for which many servers fail at once is likely to be at fault itself. So it may report at most
// maxLossReports servers as lost in each lossReportWindow.
const (
	lossReportWindow = 2 * time.Second
	maxLossReports   = 4
)

// dataplaneState is the state of this process that the data plane reads, and the place where it reports lost
// servers. Its methods are safe for concurrent use. Config, Servers and Proxies are called for each request
// and take no lock.
type dataplaneState struct {
	*process
	state             *state
	hubs              *hubSet
	lossReportLimiter lossReportLimiter // guarded by the lock of the state
}

var _ dataplane.State = (*dataplaneState)(nil)

// Config returns the configuration in force, nil until one is known.
func (s *dataplaneState) Config() *fleetconfig.Config { return s.state.Config() }

// Servers returns the servers that may get new requests.
func (s *dataplaneState) Servers() *catalog.Table { return s.state.Servers() }

// Proxies returns the number of proxies among which fleet-wide budgets are divided.
func (s *dataplaneState) Proxies() int { return s.state.Proxies() }

// ReportReplaced reports that another incarnation answers at a server's address, which means that the server
// has ended.
func (s *dataplaneState) ReportReplaced(server string) {
	s.reportLost(server, "its address has another server")
}

// Suspect marks a server lost whose machine does not answer. The next heartbeat of the server refutes that.
// Suspect does nothing while no hub answers either, because then this machine is likely to be the one that is
// partitioned.
func (s *dataplaneState) Suspect(server string) {
	if !s.hubs.isIsolated() {
		s.reportLost(server, "its machine does not answer")
	}
}

// reportLost marks a server lost, unless the limit of reports is reached.
func (s *dataplaneState) reportLost(server, reason string) {
	now := s.now()
	s.state.update(now, func(d *directory.Directory) {
		known := d.Get(server)
		if known == nil || !known.Live() || !s.lossReportLimiter.allow(now) {
			return
		}
		lost := *known
		lost.Watcher = s.id // this process then sends the record to the hubs
		markLost(s.process, now, d, &lost, reason)
	})
}

// lossReportLimiter limits the reports in each window of lossReportWindow to maxLossReports.
type lossReportLimiter struct {
	count int           // reports in the current window
	since time.Duration // start of the current window
}

// allow counts a report and returns whether it is within the limit.
func (l *lossReportLimiter) allow(now time.Duration) bool {
	if now-l.since > lossReportWindow {
		l.since, l.count = now, 0
	}
	l.count++
	return l.count <= maxLossReports
}
