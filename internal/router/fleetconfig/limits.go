package fleetconfig

import "time"

// The defaults of the fields of Limits, in bytes and milliseconds.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderMs       = 5000
	defaultIdleMs         = 30000
)

// Limits ("size_limits") bound what a client may send.
type Limits struct {
	// MaxHeaderBytes ("envelope_bytes") bounds the head of a request. Defaults to 16 KiB.
	MaxHeaderBytes int

	// MaxBodyBytes ("contents_bytes") bounds the body of a request. Defaults to 4 MiB; 0 allows no body.
	MaxBodyBytes int

	// HeaderTimeout ("envelope_ms") bounds the time from a request's arrival to the end of its head.
	// Defaults to 5 s.
	HeaderTimeout time.Duration

	// IdleTimeout ("idle_ms") bounds the time between two requests on a connection, and the time that a request
	// waits for more of its body. Defaults to 30 s.
	IdleTimeout time.Duration
}
