package logging

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// The messages of lines that are asked for one by one, and so have no bound on their repeats: in the log of
// requests, which has one of its own, and the counters.
const (
	RequestMessage  = "request"
	CountersMessage = "counters"
)

// RequestLog is the log of requests: one line for a final answer. A nil one is off and costs a comparison.
type RequestLog struct {
	log    *slog.Logger
	sample float64
	limit  *rate.Limiter
}

// NewRequestLog returns a log for so large a part of the requests and at most so many lines a second; a
// rate of 0 is no bound.
func NewRequestLog(log *slog.Logger, sample, perSecond float64) *RequestLog {
	r := &RequestLog{log: log, sample: sample, limit: rate.NewLimiter(rate.Inf, 0)}
	if perSecond > 0 {
		r.limit = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return r
}

// RequestEntry is what became of one request.
type RequestEntry struct {
	Request, Class, Tenant, Server string
	Attempts                       int
	Outcome                        string
	Status                         int
	Took                           time.Duration
}

// Allow draws whether the next request is logged.
func (r *RequestLog) Allow() bool {
	return r != nil && (r.sample >= 1 || rand.Float64() < r.sample) && r.limit.Allow()
}

// Write logs one answer.
func (r *RequestLog) Write(entry RequestEntry) {
	r.log.LogAttrs(context.Background(), slog.LevelInfo, RequestMessage,
		slog.String(Request, entry.Request), slog.String(Class, entry.Class), slog.String(Tenant, entry.Tenant),
		slog.String(Server, entry.Server), slog.Int(Attempt, entry.Attempts), slog.String(Outcome, entry.Outcome),
		slog.Int(Status, entry.Status), slog.Duration(Took, entry.Took))
}
