package latereport

import (
	"cmp"
	"maps"
	"slices"
)

// Cause is the largest part of the time that a late answer took.
type Cause string

// The causes of late answers, in the order in which tables show them.
const (
	// CauseOwnPrefill: reading what no server held takes longer than the target by itself; no choice of servers
	// would have been in time.
	CauseOwnPrefill Cause = "own_reading"
	// CauseRepeatedPrefill: time to read what another server had read before.
	CauseRepeatedPrefill Cause = "read_again"
	// CausePrefillQueue: time at the reader beyond its own reading.
	CausePrefillQueue Cause = "reader_queue"
	// CauseDecode: time at the server that made the answer, until its first event.
	CauseDecode Cause = "writer"
	// CauseRetries: calls that failed before.
	CauseRetries Cause = "repeats"
	// CausePrefill: reading that was in time by itself, but was the largest part.
	CausePrefill Cause = "reading"
)

// Causes are all causes in their order.
var Causes = []Cause{CauseOwnPrefill, CauseRepeatedPrefill, CausePrefillQueue, CauseDecode, CauseRetries,
	CausePrefill}

// Route sums up the answers of a route.
type Route struct {
	Name     string        `json:"route"`
	TargetMs float64       `json:"target_ms"`
	Answered int           `json:"answered"`
	Late     int           `json:"late"`
	Causes   map[Cause]int `json:"causes"` // of late answers
}

// Summary is what a log tells of late answers.
type Summary struct {
	PrefillMsPerToken float64 `json:"token_ms"` // to read a token without waiting, as the quickest readings tell
	Routes            []Route `json:"routes"`
}

// request is the way of one request: its calls in the order in which they were made.
type request []Call

// Summarize finds the cause of each late answer in the calls of one or several proxies.
func Summarize(calls []Call) *Summary {
	requests := map[string]request{}
	for _, call := range calls {
		requests[call.AttemptID] = append(requests[call.AttemptID], call)
	}
	s := &Summary{PrefillMsPerToken: fastestPrefillPace(calls)}
	firstCalls := firstPrefills(calls)
	routes := map[string]*Route{}
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		r := requests[name]
		slices.SortStableFunc(r, func(a, b Call) int { return cmp.Compare(a.StartMs, b.StartMs) })
		s.addRequest(routes, r, firstCalls)
	}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		s.Routes = append(s.Routes, *routes[name])
	}
	return s
}

// addRequest counts a request that was answered.
func (s *Summary) addRequest(routes map[string]*Route, calls request, firstPrefills map[string]Call) {
	last := calls[len(calls)-1]
	if last.Role == rolePrefill || last.Outcome != outcomeServed {
		return
	}
	route := routes[last.Route]
	if route == nil {
		route = &Route{Name: last.Route, TargetMs: last.TargetMs, Causes: map[Cause]int{}}
		routes[last.Route] = route
	}
	route.Answered++
	firstOutput := last.StartMs + last.firstOutputMs()
	if last.TargetMs > 0 && firstOutput > last.TargetMs {
		route.Late++
		route.Causes[s.mainCause(calls, firstPrefills)]++
	}
}

// firstOutputMs is when the first event came, or of an answer without events all of it.
func (c *Call) firstOutputMs() float64 {
	if c.FirstEventMs > 0 {
		return c.FirstEventMs
	}
	return c.DurationMs
}

// mainCause is the largest part of a request's time.
func (s *Summary) mainCause(calls request, firstPrefills map[string]Call) Cause {
	last, msByCause := calls[len(calls)-1], map[Cause]float64{}
	msByCause[CauseDecode] = last.firstOutputMs()
	for _, call := range calls[:len(calls)-1] {
		if call.Role != rolePrefill || call.Outcome != outcomeServed {
			msByCause[CauseRetries] += call.DurationMs
			continue
		}
		prefillMs := min(float64(call.PrefillTokens)*s.PrefillMsPerToken, call.DurationMs)
		msByCause[CausePrefillQueue] += call.DurationMs - prefillMs
		switch first, ok := firstPrefills[call.SharedPrefix]; {
		case ok && first.AttemptID != call.AttemptID && call.PrefillTokens == call.PromptTokens:
			msByCause[CauseRepeatedPrefill] += prefillMs
		case prefillMs > last.TargetMs:
			return CauseOwnPrefill
		default:
			msByCause[CausePrefill] += prefillMs
		}
	}
	largest := CausePrefill
	for _, cause := range Causes {
		if msByCause[cause] > msByCause[largest] {
			largest = cause
		}
	}
	return largest
}

// firstPrefills returns the first call that read what prompts share, by its name.
func firstPrefills(calls []Call) map[string]Call {
	first := map[string]Call{}
	for _, call := range calls {
		if _, ok := first[call.SharedPrefix]; call.Role == rolePrefill && call.Outcome == outcomeServed && !ok {
			first[call.SharedPrefix] = call
		}
	}
	delete(first, "0")
	return first
}

const (
	longPrefillTokens = 2000 // tokens from which on the time of a reading tells its pace
	fastestFraction   = 0.05 // of the readings are taken not to have waited
)

// fastestPrefillPace is the ms a token of the quickest long readings, 0 where there are none.
func fastestPrefillPace(calls []Call) float64 {
	var paces []float64
	for _, call := range calls {
		if call.Role == rolePrefill && call.Outcome == outcomeServed && call.PrefillTokens >= longPrefillTokens {
			paces = append(paces, call.DurationMs/float64(call.PrefillTokens))
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[int(fastestFraction*float64(len(paces)))]
}
