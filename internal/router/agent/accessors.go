package agent

import (
	"cresshub/internal/metrics"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/transport"
)

// The accessors are for programs that run many agents and observe them, such as a simulation. They are safe
// for concurrent use.

// WriteMetrics writes the metrics of the control side and of the data plane, if there is one.
func (a *Agent) WriteMetrics(page *metrics.Page) { a.metricsEndpoint.write(page) }

// ID returns the id of this process's record in the directory.
func (a *Agent) ID() string { return a.id }

// ConfigVersion returns the version of the configuration in force, 0 for none.
func (a *Agent) ConfigVersion() int64 { return a.state.version() }

// Epoch returns the epoch of the newest view that this process knows, 0 for none.
func (a *Agent) Epoch() int64 { return a.state.currentView().epoch }

// Servers returns the servers that may get new requests.
func (a *Agent) Servers() *catalog.Table { return a.state.Servers() }

// Synced reports whether the directory is complete enough for this process to serve clients.
func (a *Agent) Synced() bool { return a.state.isSynced() }

// IsHub reports whether this process is a hub, to which the others send their records.
func (a *Agent) IsHub() bool { return a.hubs.includesSelf() }

// FollowedHub returns the IP of the hub whose feed this process follows, "" for none.
func (a *Agent) FollowedHub() string {
	if source := a.subscription.followedHub(); source != nil {
		return source.ip
	}
	return ""
}

// Traffic returns the frames and bytes that this process has exchanged with others.
func (a *Agent) Traffic() transport.Traffic { return a.endpoint.Traffic() }

// Records returns the number of records in the directory (servers, processes and role orders), and how many
// of them are live.
func (a *Agent) Records() (all, live int) {
	a.state.read(func(d *directory.Directory) {
		for _, record := range d.Since(0) {
			all++
			if record.Live() {
				live++
			}
		}
	})
	return all, live
}
