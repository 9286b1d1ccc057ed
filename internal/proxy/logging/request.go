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
	RequestLine  = "request"
	CountersLine = "counters"
)

// Requests is the log of requests: one line for a final answer. A nil one is off and costs a comparison.
type Requests struct {
	log    *slog.Logger
	sample float64
	limit  *rate.Limiter
}

// NewRequests returns a log for so large a part of the requests and at most so many lines a second; a
// rate of 0 is no bound.
func NewRequests(log *slog.Logger, sample, perSecond float64) *Requests {
	r := &Requests{log: log, sample: sample, limit: rate.NewLimiter(rate.Inf, 0)}
	if perSecond > 0 {
		r.limit = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return r
}

// Final is what became of one request.
type Final struct {
	Request, Class, Tenant, Server string
	Attempts                       int
	Outcome                        string
	Status                         int
	Took                           time.Duration
}

// Wants draws whether the next request is logged.
func (r *Requests) Wants() bool {
	return r != nil && (r.sample >= 1 || rand.Float64() < r.sample) && r.limit.Allow()
}

// Write logs one answer.
func (r *Requests) Write(f Final) {
	r.log.LogAttrs(context.Background(), slog.LevelInfo, RequestLine,
		slog.String(Request, f.Request), slog.String(Class, f.Class), slog.String(Tenant, f.Tenant),
		slog.String(Server, f.Server), slog.Int(Attempt, f.Attempts), slog.String(Outcome, f.Outcome),
		slog.Int(Status, f.Status), slog.Duration(Took, f.Took))
}
