package logging

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// Messages to which RepeatRate doesn't apply: records of requests have a limit of their own, and counters are
// logged only on demand and at exit.
const (
	RequestMessage  = "request"
	CountersMessage = "counters"
)

// RequestLog writes one record for each of a sample of requests. A nil RequestLog is disabled and costs one
// comparison per request.
type RequestLog struct {
	log    *slog.Logger
	sample float64
	limit  *rate.Limiter
}

// NewRequestLog returns a log of a fraction, sample, of all requests, with at most perSecond records per
// second; a perSecond of 0 is no limit.
func NewRequestLog(log *slog.Logger, sample, perSecond float64) *RequestLog {
	r := &RequestLog{log: log, sample: sample, limit: rate.NewLimiter(rate.Inf, 0)}
	if perSecond > 0 {
		r.limit = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return r
}

// RequestEntry is the record of one request. Its fields are written under the attributes of the same names.
type RequestEntry struct {
	Request, Class, Tenant, Server string
	Attempts                       int
	Outcome                        string
	Status                         int           // of the final response; 0 if there was none
	Took                           time.Duration // from the request's last byte to the end of its response
}

// Allow decides at random and by the rate limit whether the next request is logged.
func (r *RequestLog) Allow() bool {
	return r != nil && (r.sample >= 1 || rand.Float64() < r.sample) && r.limit.Allow()
}

// Write logs one request that Allow chose.
func (r *RequestLog) Write(entry RequestEntry) {
	r.log.LogAttrs(context.Background(), slog.LevelInfo, RequestMessage,
		slog.String(Request, entry.Request), slog.String(Class, entry.Class), slog.String(Tenant, entry.Tenant),
		slog.String(Server, entry.Server), slog.Int(Attempt, entry.Attempts), slog.String(Outcome, entry.Outcome),
		slog.Int(Status, entry.Status), slog.Duration(Took, entry.Took))
}
