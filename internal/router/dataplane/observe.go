package dataplane

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/metrics"
	"cresshub/internal/router/scheduler"
)

// ending is what became of a request in the end.
type ending string

// The endings of a request.
const (
	endingServed        ending = "served"         // the whole answer of a server
	endingServerFailure ending = "server_failure" // a server's own 5xx
	endingRefused       ending = "refused"        // 503: it has not run
	endingFailed        ending = "failed"         // 502
	endingTimedOut      ending = "timed_out"      // 504
	endingCut           ending = "cut"            // the connection ends inside the answer
	endingClientLeft    ending = "client_left"
)

func endingOf(status int) ending {
	switch status {
	case 503:
		return endingRefused
	case 504:
		return endingTimedOut
	}
	return endingFailed
}

// mostRefusalLines and mostFailureLines are how many lines a second tell of requests that were not served;
// the figures count all of them.
const (
	mostRefusalLines = 2
	mostFailureLines = 8
)

// observer counts what became of requests and logs those that were not served.
type observer struct {
	refusals, failures zerolog.Logger // bounded in their lines

	unserved  metrics.CounterFamily // by ending and reason
	rejected  metrics.CounterFamily // requests that no delivery was begun for, by reason
	durations metrics.Histogram
}

func (o *observer) use(log zerolog.Logger) {
	o.refusals = log.Sample(&zerolog.BurstSampler{Burst: mostRefusalLines, Period: time.Second})
	o.failures = log.Sample(&zerolog.BurstSampler{Burst: mostFailureLines, Period: time.Second})
}

// observe counts the end of a request, and logs one that was not served with all its calls.
func (f *Front) observe(d *delivery, end ending, status int) {
	held := time.Since(d.request.arrived)
	f.observer.durations.Observe(held)
	if end == endingServed {
		return
	}
	reason := d.trace.reasonOf(d)
	f.observer.unserved.With(metrics.Label{Name: "ending", Value: string(end)},
		metrics.Label{Name: "reason", Value: string(reason)}).Add(1)
	var event *zerolog.Event
	switch end {
	case endingClientLeft:
		event = f.log.Debug()
	case endingRefused:
		event = f.observer.refusals.Info()
	default:
		event = f.observer.failures.Warn()
	}
	if !event.Enabled() {
		return
	}
	q := d.request
	event.Str("try", q.tryID).Str("route", q.route.Name).Str("service", q.service.Name).
		Int64("version", q.config.Version).Str("ending", string(end)).Str("reason", string(reason)).
		Int("status", status).Dur("held_ms", held).Dur("left_ms", d.left()).Int("tries", d.trace.reached).
		Int("repeats_paid", d.attempts.paid).Array("calls", &d.trace).Msg("front: request not served")
}

// noteRefusal counts an own answer to a request that no delivery was begun for.
func (f *Front) noteRefusal(q *request, r *refusal) {
	if r.reason == "" {
		return
	}
	f.observer.rejected.With(metrics.Label{Name: "reason", Value: r.reason}).Add(1)
	tryID := ""
	if q != nil {
		tryID = q.tryID
	}
	f.observer.refusals.Info().Str("try", tryID).Int("status", r.status).Str("reason", r.reason).
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
func (f *Front) WriteMetrics(page *metrics.Page) {
	for _, figure := range f.statFigures() {
		page.Counter(figure.name, figure.help, figure.value)
	}
	page.Family("cresshub_requests_unserved_total", "Requests without the whole answer of a server.",
		&f.observer.unserved)
	page.Family("cresshub_requests_not_taken_total", "Requests answered without asking a server.",
		&f.observer.rejected)
	f.calls.write(page)
	page.Histogram("cresshub_request_duration_seconds", "From a request's arrival to the end of its answer.",
		&f.observer.durations)
	f.mu.Lock()
	clients := len(f.clients)
	f.mu.Unlock()
	page.Gauge("cresshub_clients", "Connections of clients.", float64(clients))
	page.Gauge("cresshub_clients_most", "Connections of clients that are taken at most.",
		float64(f.descriptorShare()))
	page.Gauge("cresshub_server_connections", "Connections to servers, idle ones included.",
		float64(f.pool.count()))
	page.Gauge("cresshub_body_bytes", "Memory that bodies take.", float64(f.bodies.Used()))
	page.Flag("cresshub_draining", "Whether clients are sent away.", f.draining.Load())
	f.budgets.write(page, f.now(), f.state.Proxies())
}

// statFigure is one of the plain counts.
type statFigure struct {
	name, help string
	value      int64
}

func (f *Front) statFigures() []statFigure {
	s := f.Stats()
	return []statFigure{
		{"cresshub_clients_total", "Connections accepted from clients.", s.Clients},
		{"cresshub_clients_turned_away_total", "Connections closed at once, as there were too many.",
			s.ClientsTurnedAway},
		{"cresshub_requests_total", "Requests read whole.", s.Requests},
		{"cresshub_requests_malformed_total", "Requests that could not be taken.", s.Malformed},
		{"cresshub_answers_passed_total", "Answers of servers passed on whole.", s.Passed},
		{"cresshub_answers_cut_total", "Answers that ended inside.", s.Cut},
		{"cresshub_repeats_total", "Calls that the retry budget paid for.", s.Repeats},
		{"cresshub_streams_resumed_total", "Streams taken up at another server.", s.Resumed},
		{"cresshub_prompts_split_total", "Prompts read by one server for another.", s.Splits},
		{"cresshub_prompts_split_lost_total", "Prompts whose reading failed.", s.SplitsLost},
		{"cresshub_surplus_answers_total", "Answers of servers to another request.", s.Surplus},
		{"cresshub_server_connections_opened_total", "Connections opened to servers.", s.Dialled},
		{"cresshub_server_connections_reused_total", "Calls on a connection used before.", s.Reused},
	}
}

// write writes what each service's retry budget has left.
func (b *budgets) write(page *metrics.Page, now time.Duration, proxies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	allowed := b.allowance(now, proxies)
	for service, budget := range b.services {
		left := budget.allowed(now, allowed) - float64(budget.repeats(now, allowed.window))
		page.Gauge("cresshub_retry_budget_left", "Repeats that a service may get now from this process.", left,
			metrics.Label{Name: "service", Value: service})
	}
	page.Gauge("cresshub_retry_budget_proxies", "Processes that the shared slack is divided by.",
		float64(allowed.proxies), metrics.Label{Name: "window_seconds",
			Value: strconv.Itoa(int(allowed.window.Seconds()))})
}

// count returns how many connections to servers there are.
func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
