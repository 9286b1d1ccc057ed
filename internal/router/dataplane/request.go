package dataplane

import (
	"math/rand/v2"
	"slices"
	"strconv"
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

// parseDeadline reads Cresshub-Deadline-Ms.
func parseDeadline(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

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

// schedulingRequest reads what the decisions need of a request's header. What cannot be read is left out.
func schedulingRequest(header http1.Header, service *fleetconfig.Service) scheduler.Request {
	r := scheduler.Request{Service: service}
	in, out, _ := strings.Cut(header.Get(tokensHeader), ",")
	r.PromptTokens = parseCount(in)
	r.OutputTokens = parseCount(out)
	prefix := header.Get(prefixHeader)
	if prefix == "" {
		return r
	}
	for part := range strings.SplitSeq(prefix, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok {
			r.Segments = nil
			return r
		}
		r.Segments = append(r.Segments, scheduler.Segment{ID: id, Tokens: parseCount(tokens)})
	}
	return r
}

func parseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// parseLoad reads Cresshub-Server-Load.
func parseLoad(text string) (scheduler.Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return scheduler.Load{}, false
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return scheduler.Load{}, false
		}
		numbers[i] = n
	}
	return scheduler.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// reservedFields are the fields that the system sets at servers; what a client sends in them goes no further.
// It could have its request read in place of run, take another one's memory, go before others, or be rejected
// by every server at the cost of the retry budget.
var reservedFields = []string{deadlineHeader, expectServerHeader, stageHeader, kvFromHeader, priorityHeader,
	expectVersionHeader}

// protectedFields are the fields that reach the server whatever a client's Connection says of them: without
// one of them the server would run another request than the client's.
var protectedFields = []string{"Host", tryIDHeader, lastEventHeader, modelHeader, tokensHeader, prefixHeader}

// forwardedHeader returns the fields that every call of the request carries.
func (q *request) forwardedHeader() http1.Header {
	header := q.Header
	if !plainConnection(header.Get("Connection")) {
		header = slices.Clone(header)
		for i := range header {
			if strings.EqualFold(header[i].Name, "Connection") {
				header[i].Value = withoutProtected(header[i].Value)
			}
		}
	}
	return header.EndToEnd(reservedFields...)
}

// plainConnection tells whether a Connection field names no other field.
func plainConnection(value string) bool {
	return value == "" || strings.EqualFold(value, "close") || strings.EqualFold(value, "keep-alive")
}

// withoutProtected returns a Connection field's list without the lasting fields.
func withoutProtected(list string) string {
	var options []string
	for option := range strings.SplitSeq(list, ",") {
		same := func(name string) bool { return strings.EqualFold(name, strings.TrimSpace(option)) }
		if !slices.ContainsFunc(protectedFields, same) {
			options = append(options, option)
		}
	}
	return strings.Join(options, ",")
}
