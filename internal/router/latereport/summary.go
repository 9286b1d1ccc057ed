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
	// OwnReading: reading what no server held takes longer than the target by itself; no choice of servers
	// would have been in time.
	OwnReading Cause = "own_reading"
	// ReadAgain: time to read what another server had read before.
	ReadAgain Cause = "read_again"
	// ReaderQueue: time at the reader beyond its own reading.
	ReaderQueue Cause = "reader_queue"
	// Writer: time at the server that made the answer, until its first event.
	Writer Cause = "writer"
	// Repeats: calls that failed before.
	Repeats Cause = "repeats"
	// Reading: reading that was in time by itself, but was the largest part.
	Reading Cause = "reading"
)

// Causes are all causes in their order.
var Causes = []Cause{OwnReading, ReadAgain, ReaderQueue, Writer, Repeats, Reading}

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
	TokenMs float64 `json:"token_ms"` // to read a token without waiting, as the quickest readings tell
	Routes  []Route `json:"routes"`
}

// request is the way of one request: its calls in the order in which they were made.
type request []Call

// Summarize finds the cause of each late answer in the calls of one or several proxies.
func Summarize(calls []Call) *Summary {
	requests := map[string]request{}
	for _, call := range calls {
		requests[call.Try] = append(requests[call.Try], call)
	}
	s := &Summary{TokenMs: quickestReading(calls)}
	known := firstReaders(calls)
	routes := map[string]*Route{}
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		r := requests[name]
		slices.SortStableFunc(r, func(a, b Call) int { return cmp.Compare(a.At, b.At) })
		s.add(routes, r, known)
	}
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		s.Routes = append(s.Routes, *routes[name])
	}
	return s
}

// add counts a request that was answered.
func (s *Summary) add(routes map[string]*Route, r request, known map[string]Call) {
	last := r[len(r)-1]
	if last.Role == readRole || last.Outcome != served {
		return
	}
	route := routes[last.Route]
	if route == nil {
		route = &Route{Name: last.Route, TargetMs: last.Target, Causes: map[Cause]int{}}
		routes[last.Route] = route
	}
	route.Answered++
	first := last.At + last.firstSign()
	if last.Target > 0 && first > last.Target {
		route.Late++
		route.Causes[s.cause(r, known)]++
	}
}

// firstSign is when the first event came, or of an answer without events all of it.
func (c *Call) firstSign() float64 {
	if c.Event > 0 {
		return c.Event
	}
	return c.Took
}

// cause is the largest part of a request's time.
func (s *Summary) cause(r request, known map[string]Call) Cause {
	last, parts := r[len(r)-1], map[Cause]float64{}
	parts[Writer] = last.firstSign()
	for _, call := range r[:len(r)-1] {
		if call.Role != readRole || call.Outcome != served {
			parts[Repeats] += call.Took
			continue
		}
		reading := min(float64(call.Reads)*s.TokenMs, call.Took)
		parts[ReaderQueue] += call.Took - reading
		switch first, held := known[call.Shared]; {
		case held && first.Try != call.Try && call.Reads == call.Prompt:
			parts[ReadAgain] += reading
		case reading > last.Target:
			return OwnReading
		default:
			parts[Reading] += reading
		}
	}
	largest := Reading
	for _, cause := range Causes {
		if parts[cause] > parts[largest] {
			largest = cause
		}
	}
	return largest
}

// firstReaders returns the first call that read what prompts share, by its name.
func firstReaders(calls []Call) map[string]Call {
	known := map[string]Call{}
	for _, call := range calls {
		if _, held := known[call.Shared]; call.Role == readRole && call.Outcome == served && !held {
			known[call.Shared] = call
		}
	}
	delete(known, "0")
	return known
}

const (
	longReading  = 2000 // tokens from which on the time of a reading tells its pace
	quickestPart = 0.05 // of the readings are taken not to have waited
)

// quickestReading is the ms a token of the quickest long readings, 0 where there are none.
func quickestReading(calls []Call) float64 {
	var paces []float64
	for _, call := range calls {
		if call.Role == readRole && call.Outcome == served && call.Reads >= longReading {
			paces = append(paces, call.Took/float64(call.Reads))
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[int(quickestPart*float64(len(paces)))]
}
