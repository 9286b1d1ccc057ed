package agent

import (
	"time"

	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/scheduler"
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
)

// Workload is what a process carries for clients, as far as the others need to know.
type Workload interface {
	// InFlightChanged returns a channel that holds a token when calls to model servers have begun or ended.
	InFlightChanged() <-chan struct{}
	// InFlightChanges returns what is under way at the servers where that has changed since the last call, or
	// wherever there is anything.
	InFlightChanges(all bool) []scheduler.InFlightLoad
	// SetPeerLoad takes in what all other processes together have under way.
	SetPeerLoad(others []scheduler.InFlightLoad, full bool, prompts []scheduler.CachedPrefixes)
	// TakeNewPrefixes returns what was sent to servers to be read for the first time since the last call.
	TakeNewPrefixes() []scheduler.CachedPrefixes
	// KnownPrefixes returns what is known of which servers hold what.
	KnownPrefixes() []scheduler.CachedPrefixes
	// SyncPrefixes takes in all that another process knows of which servers hold what.
	SyncPrefixes(known []scheduler.CachedPrefixes)
	// SinceLastSuccess returns how long ago a server last answered a request well, and whether it has.
	SinceLastSuccess(server string) (time.Duration, bool)
	// Demands returns what is under way at each service with model servers, as means.
	Demands() []dataplane.Demand
}

var _ Workload = (*dataplane.Proxy)(nil)

// noWorkload is the workload of a process that does not serve clients.
type noWorkload struct{}

func (noWorkload) InFlightChanged() <-chan struct{}              { return nil }
func (noWorkload) InFlightChanges(bool) []scheduler.InFlightLoad { return nil }
func (noWorkload) TakeNewPrefixes() []scheduler.CachedPrefixes   { return nil }
func (noWorkload) KnownPrefixes() []scheduler.CachedPrefixes     { return nil }
func (noWorkload) SyncPrefixes([]scheduler.CachedPrefixes)       {}
func (noWorkload) Demands() []dataplane.Demand                   { return nil }

func (noWorkload) SinceLastSuccess(string) (time.Duration, bool) { return 0, false }

func (noWorkload) SetPeerLoad([]scheduler.InFlightLoad, bool, []scheduler.CachedPrefixes) {}

// Option changes a process before it runs.
type Option func(*Agent)

// WithNetwork lets a process use another network than the machine's.
func WithNetwork(network transport.Network) Option { return func(a *Agent) { a.network = network } }

// WithFiles lets a process keep its disk in another file system than the machine's.
func WithFiles(files segmentlog.FS) Option { return func(a *Agent) { a.files = files } }

// WithMetricsPort has a process tell its figures at a port of its own too.
func WithMetricsPort(port int) Option { return func(a *Agent) { a.metricsPort = port } }

// WithRoleAssignment lets a process without a front give model servers their stages.
func WithRoleAssignment() Option { return func(a *Agent) { a.assignsRoles = true } }
