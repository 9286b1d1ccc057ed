package routersim

import (
	"slices"
	"time"
)

// Counts is what a run counts.
type Counts struct {
	Requests int
	Served   int // with a first token
	InTime   int // of them, within the latency target
	Failed   int
	Direct   int // sent to one server, unsplit

	OfferedValue float64 // of all requests
	EarnedValue  float64

	SharedTokens    int // of prompts
	SharedPrefilled int // of them, not taken from a prefix cache

	Transfers          int
	CrossZoneTransfers int // of them

	firstTokenTimes []time.Duration // since the request arrived
}

// lateValueFraction is the fraction of a request's value that an answer earns after the latency target.
const lateValueFraction = 0.3

// addAnswer counts an answer whose first token came after a time.
func (c *Counts) addAnswer(kind *Kind, took time.Duration) {
	c.firstTokenTimes = append(c.firstTokenTimes, took)
	c.Served++
	if took <= kind.LatencyTarget {
		c.InTime++
		c.EarnedValue += kind.Value
	} else {
		c.EarnedValue += lateValueFraction * kind.Value
	}
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

// Merge adds the counts of another run.
func (r *Result) Merge(other Result) {
	r.Requests += other.Requests
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
}
