package routersim

import (
	"slices"
	"time"
)

// Counts is what a run counts.
type Counts struct {
	Requests, InTime, Served, Failed      int
	OfferedValue, EarnedValue             float64 // worth
	SharedTokens, SharedPrefilled         int     // of prompts; of those, read though shared
	Transfers, CrossZoneTransfers, Direct int

	firstTokenTimes []time.Duration // times of the first token
}

// Result is the counts of a policy in a scenario.
type Result struct {
	Policy string
	Counts
}

// EarnedFraction is the part of the worth earned.
func (r *Result) EarnedFraction() float64 { return r.EarnedValue / max(r.OfferedValue, 1) }

// RecomputedFraction is the part of shared tokens that was read.
func (r *Result) RecomputedFraction() float64 {
	return float64(r.SharedPrefilled) / max(float64(r.SharedTokens), 1)
}

// FirstTokenTime returns a quantile of the times of the first token.
func (r *Result) FirstTokenTime(quantile float64) time.Duration {
	if len(r.firstTokenTimes) == 0 {
		return 0
	}
	slices.Sort(r.firstTokenTimes)
	return r.firstTokenTimes[int(quantile*float64(len(r.firstTokenTimes)-1))]
}

// Merge adds the counts of another run.
func (r *Result) Merge(other Result) {
	r.Requests += other.Requests
	r.InTime += other.InTime
	r.Served += other.Served
	r.Failed += other.Failed
	r.OfferedValue += other.OfferedValue
	r.EarnedValue += other.EarnedValue
	r.SharedTokens += other.SharedTokens
	r.SharedPrefilled += other.SharedPrefilled
	r.Transfers += other.Transfers
	r.CrossZoneTransfers += other.CrossZoneTransfers
	r.Direct += other.Direct
	r.firstTokenTimes = append(r.firstTokenTimes, other.firstTokenTimes...)
}

// Fraction returns a count as a part of the requests.
func (r *Result) Fraction(count int) float64 { return float64(count) / max(float64(r.Requests), 1) }
