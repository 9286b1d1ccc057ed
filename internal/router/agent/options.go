package agent

import (
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
)

// Option changes an Agent before it runs.
type Option func(*Agent)

// WithNetwork replaces the network of the machine.
func WithNetwork(network transport.Network) Option { return func(a *Agent) { a.network = network } }

// WithFiles replaces the file system of the machine.
func WithFiles(files segmentlog.FS) Option { return func(a *Agent) { a.files = files } }

// WithMetricsPort has the metrics served at a port of their own too, 0 for none.
func WithMetricsPort(port int) Option { return func(a *Agent) { a.metricsPort = port } }

// WithRoleAssignment has an Agent without a data plane assign the roles of model servers too.
func WithRoleAssignment() Option { return func(a *Agent) { a.assignsRoles = true } }
