package dataplane

import (
	"sync"
	"time"

	"cresshub/internal/router/agentsettings"
)

// budgetBuckets is the number of buckets that the retry window is divided into.
const budgetBuckets = 20

const (
	// The fractions of the allowance that all proxies together may use. The rest is a margin for requests that
	// are lost before they are counted, for proxies that notice each other late, and for buckets that do not
	// align with the edges of the window.
	ratioFraction = 0.8
	slackFraction = 0.6
)

// allowance is how many retries the settings allow for a service.
type allowance struct {
	window  time.Duration
	ratio   float64 // retries per request
	slack   float64 // additional retries per window, for all proxies together
	proxies int     // the number of proxies that share the slack
}

// retryBudget counts one service's requests and retries over a sliding window. Times are on a monotonic
// clock.
type retryBudget struct {
	buckets [budgetBuckets + 1]budgetBucket
}

type budgetBucket struct {
	number   int64 // bucketNumber of the time that the bucket covers
	requests int
	retries  int
}

// recordRequest counts a client's request.
func (b *retryBudget) recordRequest(now, window time.Duration) { b.bucket(now, window).requests++ }

// recordRetries counts retries without checking the allowance.
func (b *retryBudget) recordRetries(now, window time.Duration, retries int) {
	b.bucket(now, window).retries += retries
}

// take counts the retries if all of them are within the allowance. Otherwise it counts none and returns
// false.
func (b *retryBudget) take(now time.Duration, allowed allowance, retries int) bool {
	if retries <= 0 {
		return true
	}
	if float64(b.retries(now, allowed.window)+retries) > b.limit(now, allowed) {
		return false
	}
	b.recordRetries(now, allowed.window, retries)
	return true
}

// available reports whether one more retry is within the allowance.
func (b *retryBudget) available(now time.Duration, allowed allowance) bool {
	return float64(b.retries(now, allowed.window)+1) <= b.limit(now, allowed)
}

// limit returns how many retries are allowed in the window that ends now.
func (b *retryBudget) limit(now time.Duration, allowance allowance) float64 {
	requests := float64(b.requests(now, allowance.window))
	slack := slackFraction * allowance.slack / float64(max(allowance.proxies, 1))
	return ratioFraction*allowance.ratio*requests + slack
}

// requests returns the requests in the window, rounded down: it adds up the buckets that lie in the window
// completely, and the current one.
func (b *retryBudget) requests(now, window time.Duration) (sum int) {
	oldest := bucketNumber(now, window) - budgetBuckets + 1
	for _, bucket := range b.buckets {
		if bucket.number >= oldest {
			sum += bucket.requests
		}
	}
	return sum
}

// retries returns the retries in the window, rounded up: it also adds the oldest bucket, of which only a part
// lies in the window.
func (b *retryBudget) retries(now, window time.Duration) (sum int) {
	oldest := bucketNumber(now, window) - budgetBuckets
	for _, bucket := range b.buckets {
		if bucket.number >= oldest {
			sum += bucket.retries
		}
	}
	return sum
}

// bucket returns the current bucket. It clears one that was last used for an earlier time.
func (b *retryBudget) bucket(now, window time.Duration) *budgetBucket {
	number := bucketNumber(now, window)
	bucket := &b.buckets[number%int64(len(b.buckets))]
	if bucket.number != number {
		*bucket = budgetBucket{number: number}
	}
	return bucket
}

// bucketNumber returns the number of the bucket for a time. Numbers start high enough that the buckets of a
// zero retryBudget, which have number 0, never lie in the window.
func bucketNumber(now, window time.Duration) int64 {
	width := max(window/budgetBuckets, time.Millisecond)
	return int64(now/width) + 2*budgetBuckets
}

// slackMargin plus the retry window is the time after the start of the process in which the shared slack is
// not used. The previous process may have used its share of the slack just before it was killed, and this one
// does not know the other proxies yet.
const slackMargin = time.Second

// retryBudgets holds the retry budget of each service. It is safe for concurrent use.
type retryBudgets struct {
	bounds agentsettings.Bounds

	mu         sync.Mutex
	maxProxies slidingMax
	services   map[string]*retryBudget
}

func newRetryBudgets(bounds agentsettings.Bounds) *retryBudgets {
	return &retryBudgets{bounds: bounds, services: map[string]*retryBudget{}}
}

// recordRequest counts a client's request to a service.
func (b *retryBudgets) recordRequest(now time.Duration, service string, proxies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxProxies.observe(now, proxies)
	b.forService(service).recordRequest(now, b.bounds.RetryWindow)
}

// take takes the retries from the service's budget if it allows all of them. Otherwise it takes none and
// returns false.
func (b *retryBudgets) take(now time.Duration, service string, proxies, retries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).take(now, b.allowance(now, proxies), retries)
}

// available reports whether one more retry may be taken now.
func (b *retryBudgets) available(now time.Duration, service string, proxies int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).available(now, b.allowance(now, proxies))
}

// allowance returns the allowance of each service at this time. mu is locked.
func (b *retryBudgets) allowance(now time.Duration, proxies int) allowance {
	allowance := allowance{
		window: b.bounds.RetryWindow, ratio: b.bounds.RetryRatio, slack: b.bounds.RetrySlack,
		proxies: b.maxProxies.observe(now, proxies),
	}
	if now < b.bounds.RetryWindow+slackMargin {
		allowance.slack = 0
	}
	return allowance
}

func (b *retryBudgets) forService(service string) *retryBudget {
	if b.services[service] == nil {
		b.services[service] = &retryBudget{}
	}
	return b.services[service]
}
