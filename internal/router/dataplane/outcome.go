package dataplane

import (
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/http1"
	"cresshub/internal/metrics"
)

// requestOutcome is how a request ended: the value of "outcome" in metrics and logs. docs/fleet-operating.md
// explains the values to operators.
type requestOutcome string

// The outcomes of a request.
const (
	outcomeServed             requestOutcome = "served"         // a server's complete response was forwarded
	outcomeServerFailure      requestOutcome = "server_failure" // a server's own 5xx was forwarded
	outcomeRejected           requestOutcome = "rejected"       // local reply 503: the request has not run
	outcomeFailed             requestOutcome = "failed"         // local reply 502
	outcomeTimedOut           requestOutcome = "timed_out"      // local reply 504
	outcomeTruncated          requestOutcome = "truncated"      // the connection ended within the response
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

// maxRejectionLogsPerSecond and maxFailureLogsPerSecond bound how many requests that were not served are
// logged. The metrics count all of them.
const (
	maxRejectionLogsPerSecond = 2
	maxFailureLogsPerSecond   = 8
)

// observer counts the outcomes of requests and logs requests that were not served. It is safe for concurrent
// use.
type observer struct {
	rejectionLog, failureLog zerolog.Logger // rate-limited

	unserved     metrics.CounterFamily // by outcome and reason
	notForwarded metrics.CounterFamily // requests answered without a round trip, by reason
	durations    metrics.Histogram
}

func (o *observer) setLogger(log zerolog.Logger) {
	o.rejectionLog = log.Sample(&zerolog.BurstSampler{Burst: maxRejectionLogsPerSecond, Period: time.Second})
	o.failureLog = log.Sample(&zerolog.BurstSampler{Burst: maxFailureLogsPerSecond, Period: time.Second})
}

// recordOutcome counts how a request ended. A request that was not served is logged with all its failed
// calls.
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

// recordLocalReply counts and logs a local reply to a request for which no round trip was started.
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
