package routersim

import (
	"slices"
	"time"
)

// Counts is what a run counts.
type Counts struct {
	Requests, InTime, Served, Failed int
	Owed, Earned                     float64 // worth
	SharedTokens, SharedRead         int     // of prompts; of those, read though shared
	Moves, FarMoves, Direct          int

	firsts []time.Duration // times of the first token
}

// Result is the counts of a policy in a scenario.
type Result struct {
	Policy string
	Counts
}

// Share is the part of the worth earned.
func (r *Result) Share() float64 { return r.Earned / max(r.Owed, 1) }

// Reread is the part of shared tokens that was read.
func (r *Result) Reread() float64 { return float64(r.SharedRead) / max(float64(r.SharedTokens), 1) }

// First returns a quantile of the times of the first token.
func (r *Result) First(quantile float64) time.Duration {
	if len(r.firsts) == 0 {
		return 0
	}
	slices.Sort(r.firsts)
	return r.firsts[int(quantile*float64(len(r.firsts)-1))]
}

// Merge adds the counts of another run.
func (r *Result) Merge(other Result) {
	r.Requests += other.Requests
	r.InTime += other.InTime
	r.Served += other.Served
	r.Failed += other.Failed
	r.Owed += other.Owed
	r.Earned += other.Earned
	r.SharedTokens += other.SharedTokens
	r.SharedRead += other.SharedRead
	r.Moves += other.Moves
	r.FarMoves += other.FarMoves
	r.Direct += other.Direct
	r.firsts = append(r.firsts, other.firsts...)
}

// Of returns a count as a part of the requests.
func (r *Result) Of(count int) float64 { return float64(count) / max(float64(r.Requests), 1) }
