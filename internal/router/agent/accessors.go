package agent

import (
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/transport"
)

// What a process that runs many nodes may look at in each of them.

// ID returns the id of this process's record in the directory.
func (a *Agent) ID() string { return a.id }

// ConfigVersion returns the version of the configuration in force, 0 for none.
func (a *Agent) ConfigVersion() int64 { return a.state.version() }

// Epoch returns the number of the newest view of the control state that this process has heard of, 0 for
// none.
func (a *Agent) Epoch() int64 { return a.state.currentView().epoch }

// Servers returns the servers that may get new requests.
func (a *Agent) Servers() *catalog.Table { return a.state.Servers() }

// Synced tells whether the process knows the fleet well enough to take clients.
func (a *Agent) Synced() bool { return a.state.isSynced() }

// IsHub tells whether others report to this process.
func (a *Agent) IsHub() bool { return a.isHub() }

// FollowedHub returns the IP of the hub whose feed this process follows, "" for none.
func (a *Agent) FollowedHub() string {
	a.subscriptionMu.Lock()
	defer a.subscriptionMu.Unlock()
	if source := a.subscription.source; source != nil {
		return source.ip
	}
	return ""
}

// Traffic returns what went between this process and others.
func (a *Agent) Traffic() transport.Traffic { return a.endpoint.Traffic() }

// Records returns how many records of servers, processes and orders are kept, and how many are of live ones.
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
