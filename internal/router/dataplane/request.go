package dataplane

import (
	"math/rand/v2"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/scheduler"
)

const (
	// A request's timeout divided by marginDivisor, within the bounds minMargin and maxMargin, is reserved for
	// a local reply to reach the client before its deadline.
	marginDivisor = 50
	minMargin     = 20 * time.Millisecond
	maxMargin     = 100 * time.Millisecond
	// defaultDeadline is how long a request may take that has neither a deadline nor a route.
	defaultDeadline = time.Minute
	// maxDeadline is the longest deadline that a client may set; a longer one is ignored.
	maxDeadline = 24 * time.Hour
)

// request is a client's request, read completely, with its route. It is not changed any more, except for
// scheduling.Excluded, to which the servers of failed calls are added.
type request struct {
	*http1.Request
	tryID string // the client's ID of this attempt; responses to it carry the ID

	arrived      time.Time // when its first byte was read
	hardDeadline time.Time // the client's deadline or the route's timeout, whichever is earlier
	deadline     time.Time // when a local reply is sent at the latest, a margin before hardDeadline

	config     *fleetconfig.Config  // the configuration when it arrived, nil if none was known
	route      *fleetconfig.Route   // nil if no route matches
	service    *fleetconfig.Service // picked at random from the route's targets; nil without a route
	scheduling scheduler.Request    // what the scheduler needs to know of it
}

// newRequest finds the route of a request and picks its service. config is nil until a configuration is
// known.
func newRequest(head *http1.Request, arrived time.Time, config *fleetconfig.Config) *request {
	req := &request{Request: head, tryID: head.Header.Get(tryIDHeader), arrived: arrived, config: config}
	requestedTimeout, hasDeadline := parseDeadline(head.Header.Get(deadlineHeader))
	if !hasDeadline {
		requestedTimeout = defaultDeadline
	}
	req.hardDeadline = arrived.Add(requestedTimeout)
	req.deadline = req.hardDeadline
	if config == nil {
		return req
	}
	path, _, _ := strings.Cut(head.Target, "?")
	if req.route = config.Match(head.Header.Get("Host"), path); req.route == nil {
		return req
	}
	timeout := req.route.Timeout
	if hasDeadline {
		timeout = min(timeout, requestedTimeout)
	}
	req.setTimeout(timeout)
	req.service = config.Services[pickTarget(req.route, rand.Float64())]
	req.scheduling = schedulingRequest(head.Header, req.service)
	req.scheduling.Idempotent = req.route.Idempotent()
	return req
}

// setTimeout sets the deadlines of a request that may take as long as timeout from its arrival on.
func (r *request) setTimeout(timeout time.Duration) {
	margin := min(max(timeout/marginDivisor, minMargin), maxMargin)
	r.hardDeadline = r.arrived.Add(timeout)
	r.deadline = r.hardDeadline.Add(-margin)
}

// writeDeadline returns when the write of a response times out.
func (r *request) writeDeadline() time.Time { return r.deadline.Add(writeGrace) }

// pickTarget returns the service at a fraction, between 0 and 1, of the cumulative weights of the route's
// targets.
func pickTarget(route *fleetconfig.Route, fraction float64) string {
	remaining := fraction * route.TotalWeight
	for _, target := range route.Targets {
		if remaining -= target.Weight; remaining < 0 {
			return target.Service
		}
	}
	for _, target := range route.Targets { // reached only because of rounding errors
		if target.Weight > 0 {
			return target.Service
		}
	}
	return ""
}
