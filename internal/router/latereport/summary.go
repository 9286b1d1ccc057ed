package latereport

import (
	"cmp"
	"maps"
	"slices"
)

// Cause is the part of a request that took most of the time of a late response. Its value names it in tables
// and in JSON.
type Cause string

// The causes of late responses.
const (
	// CauseOwnPrefill: prefill of what no server had cached takes longer than the target by itself, so that no
	// choice of servers would have been in time.
	CauseOwnPrefill Cause = "own_prefill"
	// CauseRepeatedPrefill: prefill of what another server had prefilled before.
	CauseRepeatedPrefill Cause = "repeated_prefill"
	// CausePrefillQueue: time at the prefill server beyond the prefill itself.
	CausePrefillQueue Cause = "prefill_queue"
	// CauseDecode: time at the server that made the response, up to its first event.
	CauseDecode Cause = "decode"
	// CauseRetries: calls that failed before.
	CauseRetries Cause = "retries"
	// CausePrefill: prefill that would have been in time by itself, but took the largest part.
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
	Causes   map[Cause]int `json:"causes"` // of the late ones
}

// Summary is what a log says about late responses.
type Summary struct {
	// PrefillMsPerToken is the time to prefill a token without queueing, estimated from the fastest calls.
	PrefillMsPerToken float64 `json:"token_ms"`
	Routes            []Route `json:"routes"` // sorted by name
}

// Summarize attributes each late response to its cause, given the calls of one or several proxies.
func Summarize(calls []Call) *Summary {
	s := &summarizer{
		prefillMsPerToken: fastestPrefillPace(calls),
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

// groupByRequest returns the calls of each request by its id, in the order in which they started.
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

// summarizer attributes the late responses of one summary.
type summarizer struct {
	prefillMsPerToken float64
	firstPrefills     map[string]Call // the first call that prefilled each shared prefix
	routes            map[string]*Route
}

// addRequest counts a request, given its calls in their order, if it got a response.
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

// mainCause returns the cause that took most of the time of a request, given its calls in their order.
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

// largestCause returns the cause that took most time, of several the first in the order of Causes, but
// CausePrefill before all.
func largestCause(msByCause map[Cause]float64) Cause {
	largest := CausePrefill
	for _, cause := range Causes {
		if msByCause[cause] > msByCause[largest] {
			largest = cause
		}
	}
	return largest
}

// isServedPrefill reports whether the call prefilled a prompt.
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
	// longPrefillTokens is the length from which on the time of a prefill shows its pace.
	longPrefillTokens = 2000
	// fastestFraction of the long prefills is taken not to have been queued.
	fastestFraction = 0.05
)

// fastestPrefillPace returns the milliseconds a token of the fastest long prefills, 0 if there are none.
func fastestPrefillPace(calls []Call) float64 {
	var paces []float64
	for _, call := range calls {
		if call.isServedPrefill() && call.PrefillTokens >= longPrefillTokens {
			paces = append(paces, call.DurationMs/float64(call.PrefillTokens))
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[int(fastestFraction*float64(len(paces)))]
}
