package agent

import (
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/scheduler"
)

// Workload is the part of the data plane whose state is shared with the other processes: its in-flight load
// and demand, and what it has observed of the model servers and their prefix caches. Its methods are safe
// for concurrent use.
type Workload interface {
	// InFlightChanged returns a channel that receives a token when calls to model servers have begun or ended.
	InFlightChanged() <-chan struct{}
	// TakeInFlightLoads returns the load at the servers in the scope; changes are those since the last call.
	TakeInFlightLoads(scope scheduler.LoadScope) []scheduler.InFlightLoad
	// SetPeerLoad sets the sum of the load of all other processes at the servers in the scope, and adds the
	// prefixes that they have sent to servers for the first time.
	SetPeerLoad(others []scheduler.InFlightLoad, scope scheduler.LoadScope, prefixes []scheduler.CachedPrefixes)
	// TakeNewPrefixes returns the prefixes that were sent to servers for the first time since the last call.
	TakeNewPrefixes() []scheduler.CachedPrefixes
	// KnownPrefixes returns the prefix index: which prefixes are known to be cached at which servers.
	KnownPrefixes() []scheduler.CachedPrefixes
	// SyncPrefixes adds the prefix index of another process, or of the previous process of this machine.
	SyncPrefixes(known []scheduler.CachedPrefixes)
	// LastSuccess returns the most recent request that a server has answered successfully.
	LastSuccess(server string) dataplane.LastSuccess
	// Demands returns the calls in flight at each service with model servers, averaged over the last seconds.
	Demands() []dataplane.Demand
}

var _ Workload = (*dataplane.Proxy)(nil)

// noWorkload is the workload of a process that does not serve clients.
type noWorkload struct{}

func (noWorkload) InFlightChanged() <-chan struct{}            { return nil }
func (noWorkload) TakeNewPrefixes() []scheduler.CachedPrefixes { return nil }
func (noWorkload) KnownPrefixes() []scheduler.CachedPrefixes   { return nil }
func (noWorkload) SyncPrefixes([]scheduler.CachedPrefixes)     {}
func (noWorkload) Demands() []dataplane.Demand                 { return nil }
func (noWorkload) LastSuccess(string) dataplane.LastSuccess    { return dataplane.LastSuccess{} }

func (noWorkload) TakeInFlightLoads(scheduler.LoadScope) []scheduler.InFlightLoad { return nil }

func (noWorkload) SetPeerLoad([]scheduler.InFlightLoad, scheduler.LoadScope, []scheduler.CachedPrefixes) {
}
