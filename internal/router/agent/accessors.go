package agent

import (
	"cresshub/internal/metrics"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/transport"
)

// The accessors serve a program that runs many agents and observes them, such as a simulation. They are safe
// for concurrent use.

// WriteMetrics writes the metrics of the control side and, where there is one, of the data plane.
func (a *Agent) WriteMetrics(page *metrics.Page) { a.metricsEndpoint.write(page) }

// ID returns the id of this process's record in the directory.
func (a *Agent) ID() string { return a.id }

// ConfigVersion returns the version of the configuration in force, 0 for none.
func (a *Agent) ConfigVersion() int64 { return a.state.version() }

// Epoch returns the epoch of the newest view that this process knows, 0 for none.
func (a *Agent) Epoch() int64 { return a.state.currentView().epoch }

// Servers returns the servers that may get new requests.
func (a *Agent) Servers() *catalog.Table { return a.state.Servers() }

// Synced reports whether the process knows the fleet well enough to take clients.
func (a *Agent) Synced() bool { return a.state.isSynced() }

// IsHub reports whether this process is a hub: others send it their records.
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

// Records returns how many records of servers, processes and orders the directory has, and how many of them
// are live.
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
