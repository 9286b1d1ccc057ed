package latereport

import (
	"cmp"
	"maps"
	"slices"
)

// Cause is the part of a request that took most of the time until a late response. Its value is its name in
// tables and in JSON.
type Cause string

// The causes of late responses.
const (
	// CauseOwnPrefill: prefilling the tokens that no server had cached takes longer than the target by itself,
	// so that the response would have been late whichever server was chosen.
	CauseOwnPrefill Cause = "own_prefill"
	// CauseRepeatedPrefill: prefilling a whole prompt although a server had prefilled its shared prefix for
	// another request.
	CauseRepeatedPrefill Cause = "repeated_prefill"
	// CausePrefillQueue: time at the prefill server beyond the estimated time of the prefill itself.
	CausePrefillQueue Cause = "prefill_queue"
	// CauseDecode: time at the server that generated the response, up to its first event.
	CauseDecode Cause = "decode"
	// CauseRetries: calls before the one that generated the response, except served prefills; usually failed
	// calls that were then retried.
	CauseRetries Cause = "retries"
	// CausePrefill: prefilling that by itself was within the target, but took the largest part of the time.
	CausePrefill Cause = "prefill"
)

// Causes are all causes in the order in which tables show them.
var Causes = []Cause{
	CauseOwnPrefill, CauseRepeatedPrefill, CausePrefillQueue, CauseDecode, CauseRetries, CausePrefill,
}

// Route summarizes the responses of a route.
type Route struct {
	Name     string        `json:"route"`
	TargetMs float64       `json:"target_ms"`
	Answered int           `json:"answered"`
	Late     int           `json:"late"`
	Causes   map[Cause]int `json:"causes"` // number of late responses by cause
}

// Summary summarizes the late responses in a log.
type Summary struct {
	// PrefillMsPerToken is the time to prefill a token without queueing, estimated from the fastest calls.
	PrefillMsPerToken float64 `json:"token_ms"`
	Routes            []Route `json:"routes"` // sorted by name
}

// Summarize attributes each late response to its cause, given the calls of one or several proxies.
func Summarize(calls []Call) *Summary {
	s := &summarizer{
		prefillMsPerToken: fastestPrefillMsPerToken(calls),
		firstPrefills:     firstPrefills(calls),
		routes:            map[string]*Route{},
	}
	requests := groupByRequest(calls)
	for _, id := range slices.Sorted(maps.Keys(requests)) {
		s.addRequest(requests[id])
	}
	summary := &Summary{PrefillMsPerToken: s.prefillMsPerToken}
	for _, name := range slices.Sorted(maps.Keys(s.routes)) {
		summary.Routes = append(summary.Routes, *s.routes[name])
	}
	return summary
}

// groupByRequest returns the calls of each request by its ID, in the order in which they started.
func groupByRequest(calls []Call) map[string][]Call {
	requests := map[string][]Call{}
	for _, call := range calls {
		requests[call.AttemptID] = append(requests[call.AttemptID], call)
	}
	for _, request := range requests {
		slices.SortStableFunc(request, func(a, b Call) int { return cmp.Compare(a.StartMs, b.StartMs) })
	}
	return requests
}

// summarizer is the state of one call of Summarize.
type summarizer struct {
	prefillMsPerToken float64
	firstPrefills     map[string]Call // the first call that prefilled each shared prefix
	routes            map[string]*Route
}

// addRequest counts a request, given its calls in the order of their start, if it got a response.
func (s *summarizer) addRequest(calls []Call) {
	last := calls[len(calls)-1]
	if last.Role == rolePrefill || last.Outcome != outcomeServed {
		return
	}
	route := s.routes[last.Route]
	if route == nil {
		route = &Route{Name: last.Route, TargetMs: last.TargetMs, Causes: map[Cause]int{}}
		s.routes[last.Route] = route
	}
	route.Answered++
	firstOutputMs := last.StartMs + last.firstOutputMs()
	if last.TargetMs > 0 && firstOutputMs > last.TargetMs {
		route.Late++
		route.Causes[s.mainCause(calls)]++
	}
}

// firstOutputMs is the time from the start of a call to its first event, or to its end if it has no events.
func (c *Call) firstOutputMs() float64 {
	if c.FirstEventMs > 0 {
		return c.FirstEventMs
	}
	return c.DurationMs
}

// mainCause returns the cause that took most of the time of a request, given its calls in the order of their
// start. A prefill that exceeds the target by itself is the cause, however long the other parts took.
func (s *summarizer) mainCause(calls []Call) Cause {
	last := calls[len(calls)-1]
	msByCause := map[Cause]float64{CauseDecode: last.firstOutputMs()}
	for _, call := range calls[:len(calls)-1] {
		if !call.isServedPrefill() {
			msByCause[CauseRetries] += call.DurationMs
			continue
		}
		prefillMs := min(float64(call.PrefillTokens)*s.prefillMsPerToken, call.DurationMs)
		msByCause[CausePrefillQueue] += call.DurationMs - prefillMs
		switch {
		case s.repeatsPrefill(call):
			msByCause[CauseRepeatedPrefill] += prefillMs
		case prefillMs > last.TargetMs:
			return CauseOwnPrefill
		default:
			msByCause[CausePrefill] += prefillMs
		}
	}
	return largestCause(msByCause)
}

// repeatsPrefill reports whether a call prefilled a whole prompt although a server had prefilled its shared
// prefix for another request.
func (s *summarizer) repeatsPrefill(call Call) bool {
	first, ok := s.firstPrefills[call.SharedPrefix]
	return ok && first.AttemptID != call.AttemptID && call.PrefillTokens == call.PromptTokens
}

// largestCause returns the cause that took most time. Of several with the same time it returns CausePrefill,
// or else the first in the order of Causes.
func largestCause(msByCause map[Cause]float64) Cause {
	largest := CausePrefill
	for _, cause := range Causes {
		if msByCause[cause] > msByCause[largest] {
			largest = cause
		}
	}
	return largest
}

// isServedPrefill reports whether the call is a prefill that succeeded.
func (c *Call) isServedPrefill() bool { return c.Role == rolePrefill && c.Outcome == outcomeServed }

// firstPrefills returns the first call that prefilled each shared prefix.
func firstPrefills(calls []Call) map[string]Call {
	first := map[string]Call{}
	for _, call := range calls {
		if _, ok := first[call.SharedPrefix]; !ok && call.isServedPrefill() {
			first[call.SharedPrefix] = call
		}
	}
	delete(first, noSharedPrefix)
	return first
}

const (
	// longPrefillTokens is the number of tokens from which a prefill is long enough for its duration to show
	// the time per token.
	longPrefillTokens = 2000
	// fastestFraction is the fraction of the long prefills that are assumed not to have queued.
	fastestFraction = 0.05
)

// fastestPrefillMsPerToken returns the time per token of the fastest long prefills, in milliseconds, or 0 if
// there are no long prefills.
func fastestPrefillMsPerToken(calls []Call) float64 {
	var msPerToken []float64
	for _, call := range calls {
		if call.isServedPrefill() && call.PrefillTokens >= longPrefillTokens {
			msPerToken = append(msPerToken, call.DurationMs/float64(call.PrefillTokens))
		}
	}
	if len(msPerToken) == 0 {
		return 0
	}
	slices.Sort(msPerToken)
	return msPerToken[int(fastestFraction*float64(len(msPerToken)))]
}
