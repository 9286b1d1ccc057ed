package dataplane

import (
	"sync"
	"time"

	"cresshub/internal/router/agentsettings"
)

// slackMargin is for how much longer than the window the shared slack is left alone after the start. A proxy
// that was killed may have used its share right before, and it does not know the others yet.
const slackMargin = time.Second

// budgets holds the retry budget of each service. It is safe for concurrent use.
type budgets struct {
	bounds agentsettings.Bounds

	mu       sync.Mutex
	proxies  peak
	services map[string]*budget
}

func newBudgets(bounds agentsettings.Bounds) *budgets {
	return &budgets{bounds: bounds, services: map[string]*budget{}}
}

// request counts a client's request for a service.
func (b *budgets) request(now time.Duration, service string, proxies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.proxies.note(now, proxies)
	b.of(service).request(now, b.bounds.RetryWindow)
}

// take takes so many repeats, all or none.
func (b *budgets) take(now time.Duration, service string, proxies, repeats int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).take(now, b.allowance(now, proxies), repeats)
}

// has tells whether one more repeat may be taken now.
func (b *budgets) has(now time.Duration, service string, proxies int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).has(now, b.allowance(now, proxies))
}

// charge counts a repeat that has happened already.
func (b *budgets) charge(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).charge(now, b.bounds.RetryWindow, 1)
}

func (b *budgets) allowance(now time.Duration, proxies int) allowance {
	a := allowance{
		window: b.bounds.RetryWindow, ratio: b.bounds.RetryRatio, slack: b.bounds.RetrySlack,
		proxies: b.proxies.note(now, proxies),
	}
	if now < b.bounds.RetryWindow+slackMargin {
		a.slack = 0
	}
	return a
}

func (b *budgets) of(service string) *budget {
	if b.services[service] == nil {
		b.services[service] = &budget{}
	}
	return b.services[service]
}
