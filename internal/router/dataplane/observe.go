package dataplane

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/metrics"
	"cresshub/internal/router/scheduler"
)

// requestOutcome is what became of a request in the end.
type requestOutcome string

// The endings of a request.
const (
	outcomeServed             requestOutcome = "served"         // the whole answer of a server
	outcomeServerFailure      requestOutcome = "server_failure" // a server's own 5xx
	outcomeRejected           requestOutcome = "refused"        // 503: it has not run
	outcomeFailed             requestOutcome = "failed"         // 502
	outcomeTimedOut           requestOutcome = "timed_out"      // 504
	outcomeTruncated          requestOutcome = "cut"            // the connection ends inside the answer
	outcomeClientDisconnected requestOutcome = "client_left"
)

func outcomeOfStatus(status int) requestOutcome {
	switch status {
	case 503:
		return outcomeRejected
	case 504:
		return outcomeTimedOut
	}
	return outcomeFailed
}

// maxRejectionLogs and maxFailureLogs are how many lines a second tell of requests that were not served;
// the figures count all of them.
const (
	maxRejectionLogs = 2
	maxFailureLogs   = 8
)

// observer counts what became of requests and logs those that were not served.
type observer struct {
	rejectionLog, failureLog zerolog.Logger // bounded in their lines

	unserved     metrics.CounterFamily // by ending and reason
	notForwarded metrics.CounterFamily // requests that no delivery was begun for, by reason
	durations    metrics.Histogram
}

func (o *observer) setLogger(log zerolog.Logger) {
	o.rejectionLog = log.Sample(&zerolog.BurstSampler{Burst: maxRejectionLogs, Period: time.Second})
	o.failureLog = log.Sample(&zerolog.BurstSampler{Burst: maxFailureLogs, Period: time.Second})
}

// observe counts the end of a request, and logs one that was not served with all its calls.
func (p *Proxy) observe(rt *roundTrip, outcome requestOutcome, status int) {
	elapsed := time.Since(rt.request.arrived)
	p.observer.durations.Observe(elapsed)
	if outcome == outcomeServed {
		return
	}
	reason := rt.trace.finalReason(rt)
	p.observer.unserved.With(metrics.Label{Name: "ending", Value: string(outcome)},
		metrics.Label{Name: "reason", Value: string(reason)}).Add(1)
	var event *zerolog.Event
	switch outcome {
	case outcomeClientDisconnected:
		event = p.log.Debug()
	case outcomeRejected:
		event = p.observer.rejectionLog.Info()
	default:
		event = p.observer.failureLog.Warn()
	}
	if !event.Enabled() {
		return
	}
	q := rt.request
	event.Str("try", q.tryID).Str("route", q.route.Name).Str("service", q.service.Name).
		Int64("version", q.config.Version).Str("ending", string(outcome)).Str("reason", string(reason)).
		Int("status", status).Dur("held_ms", elapsed).Dur("left_ms", rt.timeLeft()).Int("tries", rt.trace.attempts).
		Int("repeats_paid", rt.attempts.paidRetries).Array("calls", &rt.trace).Msg("front: request not served")
}

// recordLocalReply counts an own answer to a request that no delivery was begun for.
func (p *Proxy) recordLocalReply(q *request, reply *localReplyError) {
	if reply.reason == "" {
		return
	}
	p.observer.notForwarded.With(metrics.Label{Name: "reason", Value: reply.reason}).Add(1)
	tryID := ""
	if q != nil {
		tryID = q.tryID
	}
	p.observer.rejectionLog.Info().Str("try", tryID).Int("status", reply.status).Str("reason", reply.reason).
		Msg("front: request not taken")
}

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
			page.Counter("cresshub_server_calls_total", "Calls to servers that have ended.", n,
				metrics.Label{Name: "role", Value: roleNames[role]},
				metrics.Label{Name: "outcome", Value: outcomeNames[outcome]})
		}
	}
}

// WriteMetrics writes the figures of the data plane.
func (p *Proxy) WriteMetrics(page *metrics.Page) {
	for _, figure := range p.counterMetrics() {
		page.Counter(figure.name, figure.help, figure.value)
	}
	page.Family("cresshub_requests_unserved_total", "Requests without the whole answer of a server.",
		&p.observer.unserved)
	page.Family("cresshub_requests_not_taken_total", "Requests answered without asking a server.",
		&p.observer.notForwarded)
	p.callCounts.write(page)
	page.Histogram("cresshub_request_duration_seconds", "From a request's arrival to the end of its answer.",
		&p.observer.durations)
	p.mu.Lock()
	clients := len(p.clients)
	p.mu.Unlock()
	page.Gauge("cresshub_clients", "Connections of clients.", float64(clients))
	page.Gauge("cresshub_clients_most", "Connections of clients that are taken at most.",
		float64(p.connectionLimit()))
	page.Gauge("cresshub_server_connections", "Connections to servers, idle ones included.",
		float64(p.pool.openCount()))
	page.Gauge("cresshub_body_bytes", "Memory that bodies take.", float64(p.bodies.Used()))
	page.Flag("cresshub_draining", "Whether clients are sent away.", p.draining.Load())
	p.budgets.write(page, p.now(), p.state.Proxies())
}

// counterMetric is one of the plain counts.
type counterMetric struct {
	name, help string
	value      int64
}

func (p *Proxy) counterMetrics() []counterMetric {
	s := p.Stats()
	return []counterMetric{
		{"cresshub_clients_total", "Connections accepted from clients.", s.Clients},
		{"cresshub_clients_turned_away_total", "Connections closed at once, as there were too many.",
			s.ClientsRejected},
		{"cresshub_requests_total", "Requests read whole.", s.Requests},
		{"cresshub_requests_malformed_total", "Requests that could not be taken.", s.Malformed},
		{"cresshub_answers_passed_total", "Answers of servers passed on whole.", s.Forwarded},
		{"cresshub_answers_cut_total", "Answers that ended inside.", s.Truncated},
		{"cresshub_repeats_total", "Calls that the retry budget paid for.", s.Retries},
		{"cresshub_streams_resumed_total", "Streams taken up at another server.", s.Resumed},
		{"cresshub_prompts_split_total", "Prompts read by one server for another.", s.Prefills},
		{"cresshub_prompts_split_lost_total", "Prompts whose reading failed.", s.PrefillsFailed},
		{"cresshub_surplus_answers_total", "Answers of servers to another request.", s.Surplus},
		{"cresshub_server_connections_opened_total", "Connections opened to servers.", s.Dialled},
		{"cresshub_server_connections_reused_total", "Calls on a connection used before.", s.Reused},
	}
}

// write writes what each service's retry budget has left.
func (b *retryBudgets) write(page *metrics.Page, now time.Duration, proxies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	allowed := b.allowance(now, proxies)
	for service, budget := range b.services {
		left := budget.allowed(now, allowed) - float64(budget.retries(now, allowed.window))
		page.Gauge("cresshub_retry_budget_left", "Repeats that a service may get now from this process.", left,
			metrics.Label{Name: "service", Value: service})
	}
	page.Gauge("cresshub_retry_budget_proxies", "Processes that the shared slack is divided by.",
		float64(allowed.proxies), metrics.Label{Name: "window_seconds",
			Value: strconv.Itoa(int(allowed.window.Seconds()))})
}

// openCount returns how many connections to servers there are.
func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
