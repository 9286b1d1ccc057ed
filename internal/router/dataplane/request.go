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
	// A request's time divided by marginDivisor, within these bounds, is kept for a response of the proxy's
	// own to reach the client.
	marginDivisor = 50
	minMargin     = 20 * time.Millisecond
	maxMargin     = 100 * time.Millisecond
	// defaultDeadline is how long a request may take that names no deadline and has no route.
	defaultDeadline = time.Minute
	// maxDeadline is the longest deadline that is accepted.
	maxDeadline = 24 * time.Hour
)

// request is a client's request, read completely, with its route. It does not change but for
// scheduling.Excluded, to which the servers of failed calls are added.
type request struct {
	*http1.Request
	tryID string // the client's id of this attempt; its responses carry it

	arrived      time.Time // when its first byte was read
	hardDeadline time.Time // the client's deadline or the route's timeout, whichever is earlier
	deadline     time.Time // when the proxy answers itself at the latest, a little before hardDeadline

	config     *fleetconfig.Config  // in force when it arrived, nil if none was known
	route      *fleetconfig.Route   // nil if there is none
	service    *fleetconfig.Service // drawn from the route's; nil without a route
	scheduling scheduler.Request    // what the scheduler needs to know of it
}

// newRequest finds the route of a request and draws its service. config is nil until a configuration is
// known.
func newRequest(head *http1.Request, arrived time.Time, config *fleetconfig.Config) *request {
	req := &request{Request: head, tryID: head.Header.Get(tryIDHeader), arrived: arrived, config: config}
	announced, hasDeadline := parseDeadline(head.Header.Get(deadlineHeader))
	if !hasDeadline {
		announced = defaultDeadline
	}
	req.hardDeadline = arrived.Add(announced)
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
		timeout = min(timeout, announced)
	}
	req.setTimeout(timeout)
	req.service = config.Services[pickTarget(req.route, rand.Float64())]
	req.scheduling = schedulingRequest(head.Header, req.service)
	req.scheduling.Idempotent = req.route.Idempotent()
	return req
}

// setTimeout sets the deadlines of a request that may take so long.
func (r *request) setTimeout(timeout time.Duration) {
	margin := min(max(timeout/marginDivisor, minMargin), maxMargin)
	r.hardDeadline = r.arrived.Add(timeout)
	r.deadline = r.hardDeadline.Add(-margin)
}

// writeDeadline is when the client must have read its response.
func (r *request) writeDeadline() time.Time { return r.deadline.Add(writeGrace) }

// pickTarget returns the service at a fraction, from 0 to 1, of the route's total weight.
func pickTarget(route *fleetconfig.Route, fraction float64) string {
	remaining := fraction * route.TotalWeight
	for _, target := range route.Targets {
		if remaining -= target.Weight; remaining < 0 {
			return target.Service
		}
	}
	for _, target := range route.Targets { // only rounding leads here
		if target.Weight > 0 {
			return target.Service
		}
	}
	return ""
}
