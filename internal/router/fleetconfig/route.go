package fleetconfig

import "time"

// Kind determines how often a request of a route may be executed, and whether its response is a stream.
type Kind string

// The kinds of routes, as "mail_class" names them.
const (
	// Safe requests are idempotent: they may be executed more than once, concurrently or one after the other.
	Safe Kind = "safe"
	// Unsafe requests are executed at most once for each attempt of the client.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a stream of events. They are executed at most once unless the route is
	// Resumable.
	Stream Kind = "stream"
)

// Target is a service that receives a fraction of a route's requests.
type Target struct {
	// Service is the name of a service of the same configuration.
	Service string
	// Weight is relative to Route.TotalWeight.
	Weight float64
}

// Route says how requests to a host with a path prefix are handled. Of several routes that match a request,
// the one with the longest prefix is used.
type Route struct {
	// Name ("name") identifies the route in patches and logs. Defaults to Host followed by Prefix; such a route
	// can't be named by a patch.
	Name string

	// Host ("town") is matched ignoring case and port. Required.
	Host string

	// Prefix ("street_prefix") begins and ends with a slash. Required.
	Prefix string

	// Kind ("mail_class") defaults to Unsafe.
	Kind Kind

	// Timeout ("timeout_ms") is the longest time that the fleet holds a request. Required, above 0.
	Timeout time.Duration

	// LatencyTarget ("target_ms") is the time from a request's arrival within which its response, or the first
	// event of a stream, has its full value to the client. Defaults to 0, which sets no target.
	LatencyTarget time.Duration

	// Priority ("priority") is the priority of the route's requests; 0, the default, is the highest.
	Priority int

	// MaxAttempts ("delivery_tries") is the maximum number of servers that one request is sent to, including the
	// first. Defaults to 1, which disables retries.
	MaxAttempts int

	// Resumable ("redeliver") allows a stream to be resumed at another server with Last-Event-Id. Defaults to
	// false.
	Resumable bool

	// Sticky ("same_courier") announces that clients send the parts of their prompts with their requests. It is
	// validated but has no effect: the scheduler derives prefix affinity from the requests themselves.
	Sticky bool

	// GapTarget ("gap_aim_ms") is the longest pause between two events of a stream that counts as on time. A
	// stream that pauses for several times as long is considered stalled. Defaults to 0, which leaves a fixed
	// bound for stalls.
	GapTarget time.Duration

	// Targets ("depot", or "apportion" for several with weights) receive the requests. At least one is required.
	Targets []Target

	// TotalWeight is the sum of the weights of Targets.
	TotalWeight float64
}

// Idempotent reports whether a request of the route may be executed more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// hasTarget reports whether a service is one of the route's targets.
func (r *Route) hasTarget(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service {
			return true
		}
	}
	return false
}
