package dataplane

import (
	"sync"
	"time"

	"cresshub/internal/router/agentsettings"
)

// budgetBuckets is how many buckets the retry window is counted in.
const budgetBuckets = 20

const (
	// The fractions of the allowance that the proxies together use. What is left covers requests that are
	// lost before they are counted, proxies that count each other late, and buckets that do not meet the
	// edges of the window.
	ratioFraction = 0.8
	slackFraction = 0.6
)

// allowance is how many retries the settings allow a service.
type allowance struct {
	window  time.Duration
	ratio   float64 // retries for each request
	slack   float64 // retries besides, in a window, for all proxies together
	proxies int     // the proxies that share the slack
}

// retryBudget counts one service's requests and retries over a sliding window. Times are on a steady clock.
type retryBudget struct {
	buckets [budgetBuckets + 1]budgetBucket
}

type budgetBucket struct {
	number   int64 // of the bucket since the clock began
	requests int
	retries  int
}

// recordRequest counts a client's request.
func (b *retryBudget) recordRequest(now, window time.Duration) { b.bucket(now, window).requests++ }

// recordRetries counts retries, whether or not they are within the allowance.
func (b *retryBudget) recordRetries(now, window time.Duration, retries int) {
	b.bucket(now, window).retries += retries
}

// take counts so many retries if all of them are within the allowance, else none.
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

// limit is how many retries there may be in the window that ends now.
func (b *retryBudget) limit(now time.Duration, allowance allowance) float64 {
	requests := float64(b.requests(now, allowance.window))
	slack := slackFraction * allowance.slack / float64(max(allowance.proxies, 1))
	return ratioFraction*allowance.ratio*requests + slack
}

// requests counts no more than the window holds: the buckets that lie in it entirely, and the present one.
func (b *retryBudget) requests(now, window time.Duration) (sum int) {
	oldest := bucketNumber(now, window) - budgetBuckets + 1
	for _, bucket := range b.buckets {
		if bucket.number >= oldest {
			sum += bucket.requests
		}
	}
	return sum
}

// retries counts no less than the window holds: also the bucket that lies in it partly.
func (b *retryBudget) retries(now, window time.Duration) (sum int) {
	oldest := bucketNumber(now, window) - budgetBuckets
	for _, bucket := range b.buckets {
		if bucket.number >= oldest {
			sum += bucket.retries
		}
	}
	return sum
}

func (b *retryBudget) bucket(now, window time.Duration) *budgetBucket {
	number := bucketNumber(now, window)
	bucket := &b.buckets[number%int64(len(b.buckets))]
	if bucket.number != number {
		*bucket = budgetBucket{number: number}
	}
	return bucket
}

// bucketNumber begins above the numbers that a zero budget's buckets have.
func bucketNumber(now, window time.Duration) int64 {
	width := max(window/budgetBuckets, time.Millisecond)
	return int64(now/width) + 2*budgetBuckets
}

// slackMargin is added to the window to give the time after the start in which the shared slack is not used.
// The process before this one may have used its part of the slack just before it was killed, and this one
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

// recordRequest counts a client's request for a service.
func (b *retryBudgets) recordRequest(now time.Duration, service string, proxies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxProxies.observe(now, proxies)
	b.forService(service).recordRequest(now, b.bounds.RetryWindow)
}

// take takes so many retries, all or none.
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
