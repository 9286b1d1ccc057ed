package agent

import (
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
)

// Option changes an Agent before it runs.
type Option func(*Agent)

// WithNetwork replaces the network of the machine, for example by a simulated one.
func WithNetwork(network transport.Network) Option { return func(a *Agent) { a.network = network } }

// WithFiles replaces the file system of the machine, for example by a simulated one.
func WithFiles(files segmentlog.FS) Option { return func(a *Agent) { a.files = files } }

// WithMetricsPort has the metrics served at a port of their own as well. Port 0 means no such port.
func WithMetricsPort(port int) Option { return func(a *Agent) { a.metricsPort = port } }

// WithRoleAssignment has an Agent assign the roles of model servers even if it has no data plane.
func WithRoleAssignment() Option { return func(a *Agent) { a.assignsRoles = true } }
