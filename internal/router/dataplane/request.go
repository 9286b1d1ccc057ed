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
	// marginDivisor of a request's time, within these bounds, is kept so that an answer of the proxy's own still
	// reaches the client.
	marginDivisor = 50
	minMargin     = 20 * time.Millisecond
	maxMargin     = 100 * time.Millisecond
	// defaultDeadline is how long a request is held that names no deadline and has no route.
	defaultDeadline = time.Minute
	// maxDeadline is the longest one that is taken for one.
	maxDeadline = 24 * time.Hour
)

// request is a client's request with its route.
type request struct {
	*http1.Request
	tryID        string
	arrived      time.Time // when its first byte was there
	hardDeadline time.Time // when its client's deadline or its route's timeout is reached
	deadline     time.Time // when the proxy's own answer is given at the latest, a little before the limit
	config       *fleetconfig.Config
	route        *fleetconfig.Route // nil where there is none
	service      *fleetconfig.Service
	scheduling   scheduler.Request
}

// newRequest finds the route of a request and draws its service.
func newRequest(r *http1.Request, arrived time.Time, config *fleetconfig.Config) *request {
	q := &request{Request: r, tryID: r.Header.Get(tryIDHeader), arrived: arrived, config: config}
	announced, hasDeadline := parseDeadline(r.Header.Get(deadlineHeader))
	if !hasDeadline {
		announced = defaultDeadline
	}
	q.hardDeadline = arrived.Add(announced)
	q.deadline = q.hardDeadline
	if config == nil {
		return q
	}
	path, _, _ := strings.Cut(r.Target, "?")
	if q.route = config.Match(r.Header.Get("Host"), path); q.route == nil {
		return q
	}
	timeout := q.route.Timeout
	if hasDeadline {
		timeout = min(timeout, announced)
	}
	q.hardDeadline = arrived.Add(timeout)
	q.deadline = q.hardDeadline.Add(-min(max(timeout/marginDivisor, minMargin), maxMargin))
	q.service = config.Services[pickTarget(q.route, rand.Float64())]
	q.scheduling = schedulingRequest(r.Header, q.service)
	q.scheduling.Idempotent = q.route.Idempotent()
	return q
}

// writeDeadline is when the client must have let its answer in.
func (q *request) writeDeadline() time.Time { return q.deadline.Add(writeGrace) }

// pickTarget returns the service at a place between 0 and 1 of the route's weights.
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
