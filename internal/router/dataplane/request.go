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
	// deadlinePart of a request's time, within these bounds, is kept so that an answer of the proxy's own still
	// reaches the client.
	deadlinePart  = 50
	leastMargin   = 20 * time.Millisecond
	largestMargin = 100 * time.Millisecond
	// heldUntold is how long a request is held that names no deadline and has no route.
	heldUntold = time.Minute
	// longestDeadline is the longest one that is taken for one.
	longestDeadline = 24 * time.Hour
)

// request is a client's request with its route.
type request struct {
	*http1.Request
	tryID   string
	arrived time.Time // when its first byte was there
	limit   time.Time // when its client's deadline or its route's timeout is reached
	end     time.Time // when the proxy's own answer is given at the latest, a little before the limit
	config  *fleetconfig.Config
	route   *fleetconfig.Route // nil where there is none
	service *fleetconfig.Service
	pairing scheduler.Request
}

// newRequest finds the route of a request and draws its service.
func newRequest(r *http1.Request, arrived time.Time, config *fleetconfig.Config) *request {
	q := &request{Request: r, tryID: r.Header.Get(tryIDHeader), arrived: arrived, config: config}
	told, hasDeadline := deadline(r.Header.Get(deadlineHeader))
	if !hasDeadline {
		told = heldUntold
	}
	q.limit = arrived.Add(told)
	q.end = q.limit
	if config == nil {
		return q
	}
	path, _, _ := strings.Cut(r.Target, "?")
	if q.route = config.Match(r.Header.Get("Host"), path); q.route == nil {
		return q
	}
	held := q.route.Timeout
	if hasDeadline {
		held = min(held, told)
	}
	q.limit = arrived.Add(held)
	q.end = q.limit.Add(-min(max(held/deadlinePart, leastMargin), largestMargin))
	q.service = config.Services[pickTarget(q.route, rand.Float64())]
	q.pairing = pairingRequest(r.Header, q.service)
	q.pairing.Idempotent = q.route.Idempotent()
	return q
}

// writeUntil is when the client must have let its answer in.
func (q *request) writeUntil() time.Time { return q.end.Add(lastWrite) }

// deadline reads Cresshub-Deadline-Ms.
func deadline(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 || ms > longestDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// pickTarget returns the service at a place between 0 and 1 of the route's weights.
func pickTarget(route *fleetconfig.Route, place float64) string {
	at := place * route.TotalWeight
	for _, target := range route.Targets {
		if at -= target.Weight; at < 0 {
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

// pairingRequest reads what the decisions need of a request's header. What cannot be read is left out.
func pairingRequest(header http1.Header, service *fleetconfig.Service) scheduler.Request {
	r := scheduler.Request{Service: service}
	in, out, _ := strings.Cut(header.Get(tokensHeader), ",")
	r.PromptTokens = wholeNumber(in)
	r.OutputTokens = wholeNumber(out)
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
		r.Segments = append(r.Segments, scheduler.Segment{ID: id, Tokens: wholeNumber(tokens)})
	}
	return r
}

func wholeNumber(text string) int {
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

// ours are the fields that the system sets at servers; what a client sends in them goes no further. It could
// have its request read in place of run, take another one's memory, go before others, or be rejected by every
// server at the cost of the retry budget.
var ours = []string{deadlineHeader, expectServerHeader, stageHeader, kvFromHeader, priorityHeader,
	expectVersionHeader}

// lasting are the fields that reach the server whatever a client's Connection says of them: without one of
// them the server would run another request than the client's.
var lasting = []string{"Host", tryIDHeader, lastEventHeader, modelHeader, tokensHeader, prefixHeader}

// passedHeader returns the fields that every call of the request carries.
func (q *request) passedHeader() http1.Header {
	header := q.Header
	if !plainConnection(header.Get("Connection")) {
		header = slices.Clone(header)
		for i := range header {
			if strings.EqualFold(header[i].Name, "Connection") {
				header[i].Value = withoutLasting(header[i].Value)
			}
		}
	}
	return header.EndToEnd(ours...)
}

// plainConnection tells whether a Connection field names no other field.
func plainConnection(value string) bool {
	return value == "" || strings.EqualFold(value, "close") || strings.EqualFold(value, "keep-alive")
}

// withoutLasting returns a Connection field's list without the lasting fields.
func withoutLasting(list string) string {
	var kept []string
	for option := range strings.SplitSeq(list, ",") {
		same := func(name string) bool { return strings.EqualFold(name, strings.TrimSpace(option)) }
		if !slices.ContainsFunc(lasting, same) {
			kept = append(kept, option)
		}
	}
	return strings.Join(kept, ",")
}
