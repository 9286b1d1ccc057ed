package dataplane

import (
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/http1"
	"cresshub/internal/metrics"
)

// requestOutcome is how a request ended; metrics and logs have it as "outcome". docs/fleet-operating.md
// explains the values to operators.
type requestOutcome string

// The outcomes of a request.
const (
	outcomeServed             requestOutcome = "served"         // the complete response of a server
	outcomeServerFailure      requestOutcome = "server_failure" // a server's own 5xx
	outcomeRejected           requestOutcome = "rejected"       // 503: it has not run
	outcomeFailed             requestOutcome = "failed"         // 502
	outcomeTimedOut           requestOutcome = "timed_out"      // 504
	outcomeTruncated          requestOutcome = "truncated"      // the connection ends within the response
	outcomeClientDisconnected requestOutcome = "client_disconnected"
)

func outcomeOfStatus(status int) requestOutcome {
	switch status {
	case http1.StatusServiceUnavailable:
		return outcomeRejected
	case http1.StatusGatewayTimeout:
		return outcomeTimedOut
	}
	return outcomeFailed
}

// maxRejectionLogs and maxFailureLogs are how many requests that were not served are logged a second; the
// metrics count all of them.
const (
	maxRejectionLogs = 2
	maxFailureLogs   = 8
)

// observer counts what became of requests and logs those that were not served. It is safe for concurrent
// use.
type observer struct {
	rejectionLog, failureLog zerolog.Logger // limited to so many lines a second

	unserved     metrics.CounterFamily // by outcome and reason
	notForwarded metrics.CounterFamily // requests without a round trip, by reason
	durations    metrics.Histogram
}

func (o *observer) setLogger(log zerolog.Logger) {
	o.rejectionLog = log.Sample(&zerolog.BurstSampler{Burst: maxRejectionLogs, Period: time.Second})
	o.failureLog = log.Sample(&zerolog.BurstSampler{Burst: maxFailureLogs, Period: time.Second})
}

// recordOutcome counts how a request ended, and logs one that was not served, with all its failed calls.
func (p *Proxy) recordOutcome(rt *roundTrip, outcome requestOutcome, status int) {
	elapsed := time.Since(rt.request.arrived)
	p.observer.durations.Observe(elapsed)
	if outcome == outcomeServed {
		return
	}
	reason := rt.trace.finalReason(rt)
	p.observer.unserved.With(metrics.Label{Name: "outcome", Value: string(outcome)},
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
	req := rt.request
	event.Str("try", req.tryID).Str("route", req.route.Name).Str("service", req.service.Name).
		Int64("version", req.config.Version).Str("outcome", string(outcome)).Str("reason", string(reason)).
		Int("status", status).Dur("held_ms", elapsed).Dur("left_ms", rt.timeLeft()).
		Int("attempts", rt.trace.attempts).Int("retries_paid", rt.attempts.paidRetries).
		Array("calls", &rt.trace).Msg("front: request not served")
}

// recordLocalReply counts a local reply to a request that no round trip was begun for.
func (p *Proxy) recordLocalReply(req *request, reply *localReplyError) {
	if reply.reason == "" {
		return
	}
	p.observer.notForwarded.With(metrics.Label{Name: "reason", Value: reply.reason}).Add(1)
	tryID := ""
	if req != nil {
		tryID = req.tryID
	}
	p.observer.rejectionLog.Info().Str("try", tryID).Int("status", reply.status).Str("reason", reply.reason).
		Msg("front: request rejected")
}
