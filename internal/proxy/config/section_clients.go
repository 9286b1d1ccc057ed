package config

import "time"

// Listen is the address that clients connect to.
type Listen struct {
	// address: host and port that clients connect to; with port 0 the system chooses one, which the log
	// shows.
	Address string `key:"address" default:"127.0.0.1:8080" form:"listen"`
}

// Handover is how a new process takes over the clients of an old one while both run; see package handover.
type Handover struct {
	// dir: directory of the Unix socket by which the old and the new process find each other; empty is TMPDIR,
	// and no handover where TMPDIR is not set.
	Dir string `key:"dir" default:""`

	// wait: longest wait for the old process to pass its socket; after that, the new process listens
	// beside the old one.
	JoinTimeout time.Duration `key:"wait" default:"4s" min:"10ms" max:"1m"`

	// settle: longest time that a new process waits for its first list from discovery before it accepts
	// clients.
	ListTimeout time.Duration `key:"settle" default:"1500ms" min:"0s" max:"1m"`
}

// Limits bound the resources of the machine that the process uses.
type Limits struct {
	// cores: number of processors to use, rounded up; 0 is all.
	Cores float64 `key:"cores" default:"0" min:"0" max:"1024"`

	// memory: memory that the process may use; 0 is no limit. Three quarters of it are the memory limit of the
	// Go runtime.
	Memory Size `key:"memory" default:"0MiB" min:"0B" max:"1TiB"`

	// bodies: fraction of memory that buffered bodies may use; a fraction of 64 MiB where memory is 0.
	BodyFraction float64 `key:"bodies" default:"0.125" min:"0.01" max:"0.9"`

	// sockets: number of file descriptors that the process may open; 0, or more than the system's limit, is the
	// system's limit.
	Descriptors int `key:"sockets" default:"0" min:"0" max:"10000000"`

	// clients: fraction of sockets that client connections may use; at that limit, an idle client connection is
	// closed to make room for a new one.
	ClientFraction float64 `key:"clients" default:"0.6" min:"0.05" max:"0.95"`

	// crowded: fraction of sockets; while client connections use more, the one that has been idle longest is
	// closed for each new one.
	CrowdedFraction float64 `key:"crowded" default:"0.25" min:"0.01" max:"0.95"`
}

// Clients are the timeouts of client connections, and when these may be closed to make room for others.
type Clients struct {
	// first_request: longest wait from the start of a connection to the first byte of its first request.
	FirstRequestTimeout time.Duration `key:"first_request" default:"2s" min:"10ms" max:"10m" reload:"live"`

	// request: longest wait from a request's first byte to the end of its head.
	HeadTimeout time.Duration `key:"request" default:"3s" min:"10ms" max:"10m" reload:"live"`

	// stall: a request ends if its body or that of its response makes no progress for this long.
	StallTimeout time.Duration `key:"stall" default:"3s" min:"10ms" max:"10m" reload:"live"`

	// discard: how long the rest of a large request body is read and discarded after an early response.
	DiscardTimeout time.Duration `key:"discard" default:"1s" min:"0s" max:"10m" reload:"live"`

	// idle: a connection that has been idle for this long between two requests is closed.
	IdleTimeout time.Duration `key:"idle" default:"3s" min:"10ms" max:"1h" reload:"live"`

	// write: longest wait for a client to receive a response.
	WriteTimeout time.Duration `key:"write" default:"3s" min:"10ms" max:"10m" reload:"live"`

	// linger: how long a connection is read after a response that closes it, so that a reset does not overtake
	// the response.
	Linger time.Duration `key:"linger" default:"100ms" min:"0s" max:"10s" reload:"live"`

	// turn_away: longest wait for the request on a connection for which no socket is left; it is rejected with
	// status 503.
	RejectTimeout time.Duration `key:"turn_away" default:"300ms" min:"10ms" max:"10s" reload:"live"`

	// turned_away_at_once: largest number of such connections that wait for their request and are rejected with
	// a response at a time; further ones are closed without a response.
	MaxRejecting int `key:"turned_away_at_once" default:"8" min:"1" max:"1024"`

	// silent_for: a connection on which nothing has been received may be closed at this age to make room for
	// another one.
	ReclaimUnused time.Duration `key:"silent_for" default:"50ms" min:"0s" max:"10m" reload:"live"`

	// half_for: a connection with an incomplete request on which nothing has been received for this long may be
	// closed to make room for another one.
	ReclaimPartial time.Duration `key:"half_for" default:"500ms" min:"0s" max:"10m" reload:"live"`

	// rested_for: a connection that has been idle for this long between two requests may be closed to make room
	// for another one.
	ReclaimIdle time.Duration `key:"rested_for" default:"20ms" min:"0s" max:"10m" reload:"live"`
}

// Shutdown is when client connections are closed, with each time counted from SIGTERM or from an operator's
// call that starts a lame duck drain. The platform may kill the process once the longest deadline and 0.7 s
// have passed since the signal, and clients go on opening connections for 0.4 s. In a shutdown, a connection
// that is idle or has an incomplete request is therefore kept for 0.7 s at most: a later request could be cut
// off.
type Shutdown struct {
	// close_idle_after: connections that have been idle since the signal are closed after this time.
	CloseIdle time.Duration `key:"close_idle_after" default:"500ms" min:"0s" max:"10m" reload:"live"`

	// accept_for: new connections are accepted for this long; this ends at once where a new process accepts
	// them.
	AcceptFor time.Duration `key:"accept_for" default:"600ms" min:"0s" max:"10m" reload:"live"`

	// close_all_after: all idle connections are closed after this time, also those that were opened or became
	// idle after the signal; at least accept_for.
	CloseAll time.Duration `key:"close_all_after" default:"700ms" min:"0s" max:"10m" reload:"live"`

	// close_half_after: connections with an incomplete request are closed after this time; in a shutdown after
	// close_all_after if that is earlier.
	ClosePartial time.Duration `key:"close_half_after" default:"3s" min:"0s" max:"10m" reload:"live"`
}
