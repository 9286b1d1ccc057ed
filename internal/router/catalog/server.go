// Package catalog defines the view of the servers from which the router chooses: an immutable Table of
// immutable Servers. Package directory builds a new Table after each change of its records. Package scheduler
// reads it for each request, and package roleplan uses its roles. The package performs no I/O and has no
// state.
package catalog

import "time"

// Role is the phase of requests that a model server runs if prefill and decode run on separate servers
// (disaggregated serving, as in DistServe and Splitwise). The values are those of the operators' API.
type Role string

// The roles of a model server. Other servers have NoRole.
const (
	NoRole  Role = ""
	Prefill Role = "reading" // computes the prefix cache of a prompt
	Decode  Role = "writing" // generates tokens from a prefix cache
)

// State is the state of a server. The values are those of the operators' API.
type State string

// The states of a server.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Server is one incarnation of a server as it last described itself. It is immutable.
type Server struct {
	ID       string // of the incarnation
	Service  string
	Address  string // IP:port
	Zone     string
	Version  string // version of the server's software
	Slots    int    // requests that the server runs at once
	State    State
	Role     Role
	Sequence int64         // increases with every update of the server
	WarmUp   time.Duration // remaining warm-up time when the server described itself
}
