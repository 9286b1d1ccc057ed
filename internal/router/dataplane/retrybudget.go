package dataplane

import "time"

// budgetBuckets is how many spans the retry window is counted in.
const budgetBuckets = 20

// The parts of the allowance that the proxies together use. What is left covers requests that die before they
// are counted, proxies that count each other late, and spans that do not meet the window's edges.
const (
	ratioFraction = 0.8
	slackFraction = 0.6
)

// allowance is what the rules let the service have in repeats.
type allowance struct {
	window  time.Duration
	ratio   float64 // repeats for each request
	slack   float64 // repeats besides, in a window, for all proxies together
	proxies int     // the proxies that share the slack
}

// retryBudget counts one service's requests and repeats over a sliding window. Times are on a steady clock.
type retryBudget struct {
	buckets [budgetBuckets + 1]budgetBucket
}

type budgetBucket struct {
	number   int64 // of the span since the clock began
	requests int
	retries  int
}

// recordRequest counts a client's request.
func (b *retryBudget) recordRequest(now, window time.Duration) { b.bucket(now, window).requests++ }

// recordRetries counts a repeat, whether or not it is within the allowance.
func (b *retryBudget) recordRetries(now, window time.Duration, retries int) {
	b.bucket(now, window).retries += retries
}

// take counts so many repeats if all of them are within the allowance, else none.
func (b *retryBudget) take(now time.Duration, allowed allowance, retries int) bool {
	if retries <= 0 {
		return true
	}
	if float64(b.retries(now, allowed.window)+retries) > b.allowed(now, allowed) {
		return false
	}
	b.recordRetries(now, allowed.window, retries)
	return true
}

// available tells whether one more repeat is within the allowance.
func (b *retryBudget) available(now time.Duration, allowed allowance) bool {
	return float64(b.retries(now, allowed.window)+1) <= b.allowed(now, allowed)
}

func (b *retryBudget) allowed(now time.Duration, a allowance) float64 {
	requests := float64(b.requests(now, a.window))
	return ratioFraction*a.ratio*requests + slackFraction*a.slack/float64(max(a.proxies, 1))
}

// requests counts no more than the window holds: the spans that lie in it whole, and the present one.
func (b *retryBudget) requests(now, window time.Duration) (sum int) {
	oldest := bucketNumber(now, window) - budgetBuckets + 1
	for _, s := range b.buckets {
		if s.number >= oldest {
			sum += s.requests
		}
	}
	return sum
}

// retries counts no less than the window holds: also the span that lies in it in part.
func (b *retryBudget) retries(now, window time.Duration) (sum int) {
	oldest := bucketNumber(now, window) - budgetBuckets
	for _, s := range b.buckets {
		if s.number >= oldest {
			sum += s.retries
		}
	}
	return sum
}

func (b *retryBudget) bucket(now, window time.Duration) *budgetBucket {
	number := bucketNumber(now, window)
	s := &b.buckets[number%int64(len(b.buckets))]
	if s.number != number {
		*s = budgetBucket{number: number}
	}
	return s
}

// bucketNumber begins above the numbers that a zero budget's slots bear.
func bucketNumber(now, window time.Duration) int64 {
	width := max(window/budgetBuckets, time.Millisecond)
	return int64(now/width) + 2*budgetBuckets
}
