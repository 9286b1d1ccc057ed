package config

import "time"

// Listen is where clients connect.
type Listen struct {
	// address: host and port that clients connect to; with port 0 the system chooses one, and the log has it.
	Address string `key:"address" default:"127.0.0.1:8080" form:"listen"`
}

// Handover is how a new process takes over from an old one while both run; see package handover.
type Handover struct {
	// dir: directory in which an old and a new process find each other; empty is TMPDIR, and no handover
	// where that is not set.
	Dir string `key:"dir" default:""`

	// wait: longest wait for the old process to pass its socket; after it the new one listens beside the old
	// one.
	JoinTimeout time.Duration `key:"wait" default:"4s" min:"10ms" max:"1m"`

	// settle: longest wait of a new process for its first list from discovery before it accepts clients.
	ListTimeout time.Duration `key:"settle" default:"1500ms" min:"0s" max:"1m"`
}

// Limits are what the process may use of its machine.
type Limits struct {
	// cores: processors to use, rounded up; 0 is all.
	Cores float64 `key:"cores" default:"0" min:"0" max:"1024"`

	// memory: memory of the process; 0 is no limit. Three quarters are the limit of the Go runtime.
	Memory Size `key:"memory" default:"0MiB" min:"0B" max:"1TiB"`

	// bodies: fraction of the memory that buffered bodies may take; of 64 MiB where memory is 0.
	BodyFraction float64 `key:"bodies" default:"0.125" min:"0.01" max:"0.9"`

	// sockets: file descriptors that the process may hold; 0, or more than the system's limit, is the
	// system's limit.
	Descriptors int `key:"sockets" default:"0" min:"0" max:"10000000"`

	// clients: fraction of the sockets that clients may hold; at it, an idle client is closed for a new one.
	ClientFraction float64 `key:"clients" default:"0.6" min:"0.05" max:"0.95"`

	// crowded: fraction of the sockets beyond which each new client closes the one that has been idle
	// longest.
	CrowdedFraction float64 `key:"crowded" default:"0.25" min:"0.01" max:"0.95"`
}

// Clients are the time limits on clients, and when their connections may be closed to make room for others.
type Clients struct {
	// first_request: longest wait from the start of a connection to the first byte of its first request.
	FirstRequestTimeout time.Duration `key:"first_request" default:"2s" min:"10ms" max:"10m" reload:"live"`

	// request: longest wait from a request's first byte to the end of its head.
	HeadTimeout time.Duration `key:"request" default:"3s" min:"10ms" max:"10m" reload:"live"`

	// stall: a body, either way, that makes no progress for this long ends the request.
	StallTimeout time.Duration `key:"stall" default:"3s" min:"10ms" max:"10m" reload:"live"`

	// discard: how long the rest of a large body is read and dropped after an early response.
	DiscardTimeout time.Duration `key:"discard" default:"1s" min:"0s" max:"10m" reload:"live"`

	// idle: a connection that has been idle for this long between two requests is closed.
	IdleTimeout time.Duration `key:"idle" default:"3s" min:"10ms" max:"1h" reload:"live"`

	// write: longest wait for a client to take a response.
	WriteTimeout time.Duration `key:"write" default:"3s" min:"10ms" max:"10m" reload:"live"`

	// linger: how long a connection is read after an error response, so that a reset does not overtake the
	// response.
	Linger time.Duration `key:"linger" default:"100ms" min:"0s" max:"10s" reload:"live"`

	// turn_away: longest wait for the request of a client beyond the sockets, which is then refused with a
	// response.
	RejectTimeout time.Duration `key:"turn_away" default:"300ms" min:"10ms" max:"10s" reload:"live"`

	// turned_away_at_once: clients beyond the sockets that are refused with a response at a time; further
	// ones are closed without.
	MaxRejecting int `key:"turned_away_at_once" default:"8" min:"1" max:"1024"`

	// silent_for: a connection without any byte may be closed for another one at this age.
	ReclaimUnused time.Duration `key:"silent_for" default:"50ms" min:"0s" max:"10m" reload:"live"`

	// half_for: a connection with an incomplete request on which nothing has come for this long may be closed
	// for another one.
	ReclaimPartial time.Duration `key:"half_for" default:"500ms" min:"0s" max:"10m" reload:"live"`

	// rested_for: a connection that has been idle for this long may be closed for another one.
	ReclaimIdle time.Duration `key:"rested_for" default:"20ms" min:"0s" max:"10m" reload:"live"`
}

// Shutdown times how clients are sent away, each key from SIGTERM or from an operator's lame duck call. The
// platform may kill the process once its longest deadline and 0.7 s have passed since the signal, and clients
// go on opening connections for 0.4 s: a connection that is idle or has an incomplete request is kept for 0.7
// s at most, since a later request could be cut off.
type Shutdown struct {
	// close_idle_after: connections close that were idle at the signal.
	CloseIdle time.Duration `key:"close_idle_after" default:"500ms" min:"0s" max:"10m" reload:"live"`

	// accept_for: new connections are accepted until then; it ends at once where a new process accepts them.
	AcceptFor time.Duration `key:"accept_for" default:"600ms" min:"0s" max:"10m" reload:"live"`

	// close_all_after: idle connections close that came after the signal; at least accept_for.
	CloseAll time.Duration `key:"close_all_after" default:"700ms" min:"0s" max:"10m" reload:"live"`

	// close_half_after: connections with an incomplete request close; at the end of the process with
	// close_all_after.
	ClosePartial time.Duration `key:"close_half_after" default:"3s" min:"0s" max:"10m" reload:"live"`
}
