// Package catalog is the form in which the router chooses among servers: an immutable Table of immutable
// Servers, which package directory makes anew after each change of its records. Package scheduler reads it
// for each request and package roleplan uses its roles. The package is pure and has no state of its own.
package catalog

import "time"

// Role is what a model server does for a request, where prefill and decode run on servers of their own
// (disaggregated serving, as in DistServe and Splitwise). The values are those of the operators' API.
type Role string

// The roles of a model server; other servers have none.
const (
	NoRole  Role = ""
	Prefill Role = "reading" // computes the prefix cache of a prompt
	Decode  Role = "writing" // produces tokens from a prefix cache
)

// State is the state of a server, as in the operators' API.
type State string

// The states of a server.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Server is one incarnation of a server as it last described itself. It is never changed.
type Server struct {
	ID       string // of the incarnation
	Service  string
	Address  string // IP:port
	Zone     string
	Version  string // of the server's software
	Slots    int    // how many requests it runs at once
	State    State
	Role     Role
	Sequence int64         // rises with every update of the server
	WarmUp   time.Duration // how much longer it was warming up when it described itself
}
