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
	// WorkChanged returns a channel that holds a token when calls to model servers have begun or ended.
	WorkChanged() <-chan struct{}
	// WorkChanges returns what is under way at the servers where that has changed since the last call, or
	// wherever there is anything.
	WorkChanges(all bool) []scheduler.InFlightLoad
	// ShareWork takes in what all other processes together have under way.
	ShareWork(others []scheduler.InFlightLoad, full bool, prompts []scheduler.CachedPrefixes)
	// NewPrompts returns what was sent to servers to be read for the first time since the last call.
	NewPrompts() []scheduler.CachedPrefixes
	// KnownPrompts returns what is known of which servers hold what.
	KnownPrompts() []scheduler.CachedPrefixes
	// CatchUp takes in all that another process knows of which servers hold what.
	CatchUp(known []scheduler.CachedPrefixes)
	// SinceAnswer returns how long ago a server last answered a request well, and whether it has.
	SinceAnswer(server string) (time.Duration, bool)
	// Demands returns what is under way at each service with model servers, as means.
	Demands() []dataplane.Demand
}

var _ Workload = (*dataplane.Proxy)(nil)

// noWorkload is the workload of a process that does not serve clients.
type noWorkload struct{}

func (noWorkload) WorkChanged() <-chan struct{}              { return nil }
func (noWorkload) WorkChanges(bool) []scheduler.InFlightLoad { return nil }
func (noWorkload) NewPrompts() []scheduler.CachedPrefixes    { return nil }
func (noWorkload) KnownPrompts() []scheduler.CachedPrefixes  { return nil }
func (noWorkload) CatchUp([]scheduler.CachedPrefixes)        {}
func (noWorkload) Demands() []dataplane.Demand               { return nil }

func (noWorkload) SinceAnswer(string) (time.Duration, bool) { return 0, false }

func (noWorkload) ShareWork([]scheduler.InFlightLoad, bool, []scheduler.CachedPrefixes) {}

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
