package dataplane

import (
	"strconv"
	"sync/atomic"
	"time"

	"cresshub/internal/metrics"
	"cresshub/internal/router/scheduler"
)

// callCounts counts calls to servers by role and outcome.
type callCounts struct {
	byOutcome [len(roleNames)][len(outcomeNames)]atomic.Int64
}

func (c *callCounts) count(role scheduler.Role, outcome scheduler.Outcome) {
	c.byOutcome[role][outcome].Add(1)
}

func (c *callCounts) write(page *metrics.Page) {
	for role := range c.byOutcome {
		for outcome := range c.byOutcome[role] {
			n := c.byOutcome[role][outcome].Load()
			if n == 0 {
				continue
			}
			page.Counter("cresshub_server_calls_total", "Calls to servers that have ended, by role and outcome.", n,
				metrics.Label{Name: "role", Value: roleNames[role]},
				metrics.Label{Name: "outcome", Value: outcomeNames[outcome]})
		}
	}
}

// WriteMetrics writes the metrics of the data plane to the page.
func (p *Proxy) WriteMetrics(page *metrics.Page) {
	for _, metric := range p.counterMetrics() {
		page.Counter(metric.name, metric.help, metric.value)
	}
	page.Family("cresshub_requests_unserved_total",
		"Requests that got no complete response of a server, by outcome and reason.",
		&p.observer.unserved)
	page.Family("cresshub_requests_not_taken_total", "Requests answered without a call to a server, by reason.",
		&p.observer.notForwarded)
	p.callCounts.write(page)
	page.Counter("cresshub_ejections_total", "Ejections of servers for their failures.", p.chooser.ejections())
	page.Histogram("cresshub_request_duration_seconds",
		"Time from a request's arrival to the end of its response.",
		&p.observer.durations)
	p.mu.Lock()
	clients := len(p.clients)
	p.mu.Unlock()
	page.Gauge("cresshub_clients", "Open client connections.", float64(clients))
	page.Gauge("cresshub_clients_most", "Limit of open client connections.",
		float64(p.connectionLimit()))
	page.Gauge("cresshub_server_connections", "Open connections to servers, idle ones included.",
		float64(p.pool.openCount()))
	page.Gauge("cresshub_body_bytes", "Memory that buffered bodies take.", float64(p.bodies.Used()))
	page.Flag("cresshub_draining", "Whether this process is draining its clients.", p.draining.Load())
	p.budgets.write(page, p.now(), p.state.Proxies())
}

// counterMetric is a counter without labels.
type counterMetric struct {
	name, help string
	value      int64
}

func (p *Proxy) counterMetrics() []counterMetric {
	stats := p.Stats()
	return []counterMetric{
		{"cresshub_clients_total", "Connections accepted from clients.", stats.Clients},
		{"cresshub_clients_turned_away_total", "Client connections closed at once because of the limit.",
			stats.ClientsRejected},
		{"cresshub_requests_total", "Requests read completely.", stats.Requests},
		{"cresshub_requests_malformed_total", "Requests rejected while they were read.", stats.Malformed},
		{"cresshub_answers_passed_total", "Responses of servers forwarded completely.", stats.Forwarded},
		{"cresshub_answers_cut_total", "Responses truncated after their head was sent.", stats.Truncated},
		{"cresshub_repeats_total", "Retries, each paid from the retry budget.", stats.Retries},
		{"cresshub_streams_resumed_total", "Streams resumed at another server.", stats.Resumed},
		{"cresshub_prompts_split_total", "Prompts prefilled by one server for another.", stats.Prefills},
		{"cresshub_prompts_split_lost_total", "Prompts whose prefill failed.", stats.PrefillsFailed},
		{"cresshub_surplus_answers_total", "Responses of servers that carried another request's id.",
			stats.Surplus},
		{"cresshub_server_connections_opened_total", "Connections opened to servers.", stats.Dialled},
		{"cresshub_server_connections_reused_total", "Calls to servers on a reused connection.", stats.Reused},
	}
}

// write writes how many retries each service's budget has left.
func (b *retryBudgets) write(page *metrics.Page, now time.Duration, proxies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	allowed := b.allowance(now, proxies)
	for service, budget := range b.services {
		left := budget.limit(now, allowed) - float64(budget.retries(now, allowed.window))
		page.Gauge("cresshub_retry_budget_left", "Retries that this process may make now, by service.", left,
			metrics.Label{Name: "service", Value: service})
	}
	page.Gauge("cresshub_retry_budget_proxies",
		"Processes among which the shared part of the retry budget is divided.",
		float64(allowed.proxies), metrics.Label{Name: "window_seconds",
			Value: strconv.Itoa(int(allowed.window.Seconds()))})
}

// openCount returns how many connections to servers are open, including those that are being dialled.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
