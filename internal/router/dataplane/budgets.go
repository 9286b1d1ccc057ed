package dataplane

import (
	"sync"
	"time"

	"cresshub/internal/router/agentsettings"
)

// slackMargin is for how much longer than the window the shared slack is left alone after the start. A proxy
// that was killed may have used its share right before, and it does not know the others yet.
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

// take takes so many repeats, all or none.
func (b *retryBudgets) take(now time.Duration, service string, proxies, retries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).take(now, b.allowance(now, proxies), retries)
}

// available tells whether one more repeat may be taken now.
func (b *retryBudgets) available(now time.Duration, service string, proxies int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).available(now, b.allowance(now, proxies))
}

// charge counts a repeat that has happened already.
func (b *retryBudgets) charge(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).recordRetries(now, b.bounds.RetryWindow, 1)
}

func (b *retryBudgets) allowance(now time.Duration, proxies int) allowance {
	a := allowance{
		window: b.bounds.RetryWindow, ratio: b.bounds.RetryRatio, slack: b.bounds.RetrySlack,
		proxies: b.maxProxies.observe(now, proxies),
	}
	if now < b.bounds.RetryWindow+slackMargin {
		a.slack = 0
	}
	return a
}

func (b *retryBudgets) forService(service string) *retryBudget {
	if b.services[service] == nil {
		b.services[service] = &retryBudget{}
	}
	return b.services[service]
}
