package routersim

import "time"

// Scenario is a fleet and the load on it.
type Scenario struct {
	Name   string
	Seed   uint64
	Length time.Duration // in which requests arrive; the sum of LoadSteps where there are any

	Zones          int
	Proxies        int
	PrefillServers int
	DecodeServers  int
	Engine         Engine
	SpeedSpread    float64 // servers run at a speed of 1 ± this

	Kinds      []Kind
	RateFactor float64 // on the rates of the kinds
	LoadSteps  []LoadStep
	Faults     []Fault

	// ClientRetries is how often a client sends a request again, at once, after an attempt ended without an
	// answer.
	ClientRetries int

	// ListingDelay is how long a crash or a start takes to show in the proxies' tables.
	ListingDelay time.Duration
	// LoadExchangeDelay is how long the loads that servers report to a proxy take to the others; 0 for never.
	LoadExchangeDelay time.Duration
	// PeerLoadDelay is how long reports of what a proxy has in flight, and of prefixes that it sent to servers,
	// take to the others; 0 for never.
	PeerLoadDelay time.Duration
	// AllLoadsKnown lets proxies know all loads at each decision, as a bound of what knowing more could bring.
	AllLoadsKnown bool
}

// LoadStep is a part of a run with a constant load. Steps follow each other from the start of the run.
type LoadStep struct {
	Length time.Duration
	Factor float64 // on the rates of the kinds, beside Scenario.RateFactor
}

// loadSteps returns the load steps of the run, at least one.
func (s *Scenario) loadSteps() []LoadStep {
	if len(s.LoadSteps) > 0 {
		return s.LoadSteps
	}
	return []LoadStep{{Length: s.Length, Factor: 1}}
}

// arrivalTime returns how long requests arrive.
func (s *Scenario) arrivalTime() time.Duration {
	var sum time.Duration
	for _, step := range s.loadSteps() {
		sum += step.Length
	}
	return sum
}

// valuePerSecond returns the value of the requests that are offered in a second at a factor of 1.
func (s *Scenario) valuePerSecond() float64 {
	sum := 0.0
	for _, kind := range s.Kinds {
		sum += kind.PerSecond * s.RateFactor * kind.Value
	}
	return sum
}

// Kind is a kind of request.
type Kind struct {
	Name          string
	PerSecond     float64         // over all proxies
	Shared        []SharedSegment // in their order in the prompt
	Own           float64         // mean tokens of the request's own segment, the last one
	MaxOwn        float64         // 0 for no limit
	Output        float64         // mean tokens
	Spread        float64         // of Own and Output: the sigma of a log-normal distribution
	Urgency       int             // of its route, 0 first
	LatencyTarget time.Duration   // to the first token
	Deadline      time.Duration   // to the first token, at which the client leaves
	Value         float64         // of an answer within the latency target
}

// SharedSegment is a segment of prompts that requests for the same thing have in common.
type SharedSegment struct {
	Things int
	Tokens float64 // mean
	Spread float64 // the sigma of a log-normal distribution
	Max    float64 // tokens, 0 for no limit
}
