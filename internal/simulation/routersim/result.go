package routersim

import (
	"slices"
	"time"
)

// Counts is what a run counts.
type Counts struct {
	Requests       int
	ClientAttempts int // of all requests
	Rejected       int // of the attempts, at once
	Served         int // with a first token
	InTime         int // of them, within the latency target
	Failed         int
	Direct         int // sent to one server, unsplit

	OfferedValue float64 // of all requests
	EarnedValue  float64

	SharedTokens    int // of prompts
	SharedPrefilled int // of them, not taken from a prefix cache

	Transfers          int
	CrossZoneTransfers int // of them

	Steps []StepCounts // by the load step in which a request arrived

	firstTokenTimes []time.Duration // since the request arrived
}

// StepCounts is what a run counts of the requests of one load step.
type StepCounts struct {
	Requests, InTime, Failed  int
	OfferedValue, EarnedValue float64

	SharedTokens, SharedPrefilled int // as in Counts
}

// PrefilledFraction returns the fraction of shared tokens that no prefix cache held.
func (s *StepCounts) PrefilledFraction() float64 {
	return float64(s.SharedPrefilled) / max(float64(s.SharedTokens), 1)
}

// add adds the counts of the same step of another run.
func (s *StepCounts) add(other StepCounts) {
	s.Requests += other.Requests
	s.InTime += other.InTime
	s.Failed += other.Failed
	s.OfferedValue += other.OfferedValue
	s.EarnedValue += other.EarnedValue
	s.SharedTokens += other.SharedTokens
	s.SharedPrefilled += other.SharedPrefilled
}

// lateValueFraction is the fraction of a request's value that an answer earns after the latency target.
const lateValueFraction = 0.3

// addRequest counts a request that arrives.
func (c *Counts) addRequest(r *clientRequest) {
	step := &c.Steps[r.step]
	c.Requests++
	step.Requests++
	c.OfferedValue += r.kind.Value
	step.OfferedValue += r.kind.Value
}

// addAnswer counts an answer whose first token came after a time.
func (c *Counts) addAnswer(r *clientRequest, took time.Duration) {
	step := &c.Steps[r.step]
	c.firstTokenTimes = append(c.firstTokenTimes, took)
	c.Served++
	value := lateValueFraction * r.kind.Value
	if took <= r.kind.LatencyTarget {
		c.InTime++
		step.InTime++
		value = r.kind.Value
	}
	c.EarnedValue += value
	step.EarnedValue += value
}

// addFailure counts a request whose last attempt ended without an answer.
func (c *Counts) addFailure(r *clientRequest) {
	c.Failed++
	c.Steps[r.step].Failed++
}

// addSharedPrefix counts the shared prefix of a prompt: its tokens, and those of them that no cache held.
func (c *Counts) addSharedPrefix(step, tokens, prefilled int) {
	c.SharedTokens += tokens
	c.SharedPrefilled += prefilled
	c.Steps[step].SharedTokens += tokens
	c.Steps[step].SharedPrefilled += prefilled
}

// Result is the counts of a policy in a scenario.
type Result struct {
	Policy string
	Counts
}

// EarnedFraction returns the earned fraction of the offered value.
func (r *Result) EarnedFraction() float64 { return r.EarnedValue / max(r.OfferedValue, 1) }

// PrefilledFraction returns the fraction of shared tokens that no prefix cache held.
func (r *Result) PrefilledFraction() float64 {
	return float64(r.SharedPrefilled) / max(float64(r.SharedTokens), 1)
}

// FirstTokenTime returns a quantile of the times to the first token, 0 where no request got one. It sorts the
// times in place.
func (r *Result) FirstTokenTime(quantile float64) time.Duration {
	if len(r.firstTokenTimes) == 0 {
		return 0
	}
	slices.Sort(r.firstTokenTimes)
	return r.firstTokenTimes[int(quantile*float64(len(r.firstTokenTimes)-1))]
}

// Fraction returns a count as a fraction of the requests.
func (r *Result) Fraction(count int) float64 { return float64(count) / max(float64(r.Requests), 1) }

// Merge adds the counts of another run, which has the same load steps.
func (r *Result) Merge(other Result) {
	r.Requests += other.Requests
	r.ClientAttempts += other.ClientAttempts
	r.Rejected += other.Rejected
	r.Served += other.Served
	r.InTime += other.InTime
	r.Failed += other.Failed
	r.Direct += other.Direct
	r.OfferedValue += other.OfferedValue
	r.EarnedValue += other.EarnedValue
	r.SharedTokens += other.SharedTokens
	r.SharedPrefilled += other.SharedPrefilled
	r.Transfers += other.Transfers
	r.CrossZoneTransfers += other.CrossZoneTransfers
	r.firstTokenTimes = append(r.firstTokenTimes, other.firstTokenTimes...)
	if r.Steps == nil {
		r.Steps = make([]StepCounts, len(other.Steps))
	}
	for i, step := range other.Steps {
		r.Steps[i].add(step)
	}
}
