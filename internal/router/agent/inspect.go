package agent

import (
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/transport"
)

// What a process that runs many nodes may look at in each of them.

// ID returns the id of this process's record in the directory.
func (n *Node) ID() string { return n.id }

// ConfigVersion returns the version of the configuration in force, 0 for none.
func (n *Node) ConfigVersion() int64 { return n.state.version() }

// Epoch returns the number of the newest view of the control state that this process has heard of, 0 for
// none.
func (n *Node) Epoch() int64 { return n.state.currentView().epoch }

// Servers returns the servers that may get new requests.
func (n *Node) Servers() *catalog.Table { return n.state.Servers() }

// Synced tells whether the process knows the fleet well enough to take clients.
func (n *Node) Synced() bool { return n.state.isSynced() }

// IsHub tells whether others report to this process.
func (n *Node) IsHub() bool { return n.isHub() }

// FollowedHub returns the IP of the hub whose feed this process follows, "" for none.
func (n *Node) FollowedHub() string {
	n.subscriptionMu.Lock()
	defer n.subscriptionMu.Unlock()
	if source := n.subscription.source; source != nil {
		return source.ip
	}
	return ""
}

// Traffic returns what went between this process and others.
func (n *Node) Traffic() transport.Traffic { return n.endpoint.Traffic() }

// Records returns how many records of servers, processes and orders are kept, and how many are of live ones.
func (n *Node) Records() (all, live int) {
	n.state.read(func(d *directory.Directory) {
		for _, record := range d.Since(0) {
			all++
			if record.Live() {
				live++
			}
		}
	})
	return all, live
}
