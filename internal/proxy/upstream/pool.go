// Package upstream carries attempts and health checks (probes) to zone servers over HTTP/1.1 and keeps the
// connections for reuse.
//
// A Pool may be used from any goroutine. Each connection has a goroutine of its own, which dials and runs one
// exchange after the other. Between two exchanges it blocks in a read, so that it notices when the server
// closes the connection. A connection is thus dialling, in an exchange, streaming the rest of a response to
// the holder of its Stream, or idle. Only idle ones are in the pool's lists; reuseIdle takes one from its
// list and passes it the next attempt.
//
// An attempt that was not written completely never ran, and its result says so (Rejected, NoConnection,
// Skipped): only then may the caller send a request again that must not run twice. The division of work
// between pool, connections and attempts follows net/http's Transport and Caddy's reverse proxy.
package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"cresshub/internal/bodybudget"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/stallclock"
)

// Directory resolves the ids of servers to addresses.
type Directory interface {
	// Address returns the address at which a server listens, and false if it is not in service.
	Address(dispatch.ServerID) (string, bool)
}

// Limits are the pool's timeouts and waiting times. SetLimits changes them while the pool is in use.
type Limits struct {
	// DialTimeout bounds the time for a connection to be established.
	DialTimeout time.Duration
	// MaxIdle is the longest time that a connection may be idle and still be reused; after it, it closes.
	MaxIdle time.Duration
	// DuplicateGuard is how long a connection must have been idle after a request before it is reused, because
	// the server may send a late duplicate of its last response. After a probe there is no such wait.
	DuplicateGuard time.Duration
	// ProbeTimeout bounds the time of a probe from its start to the end of the response.
	ProbeTimeout time.Duration
	// BufferTime is how long after its head a response that arrives with pauses is buffered before the rest is
	// streamed.
	BufferTime time.Duration
	// StallTimeout bounds the time in which a body that is streamed, in either direction, makes no progress.
	StallTimeout time.Duration
}

// Pool holds the connections to all zone servers.
type Pool struct {
	directory    Directory
	clock        *stallclock.Clock
	limits       atomic.Pointer[Limits]
	budget       *descriptors.Budget
	stats        *stats.Set
	reportFormat reportFormat
	bodies       *bodybudget.Budget

	mu   sync.Mutex
	idle map[dispatch.ServerID][]*conn // idle connections by server, the most recently used last
}

// New returns a pool without connections. report lists the names that the settings give to the values of a
// load report, in the order of Outcome.Load. The clock may be nil.
func New(directory Directory, clock *stallclock.Clock, limits Limits, report []string,
	budget *descriptors.Budget, bodies *bodybudget.Budget, counters *stats.Set) *Pool {
	p := &Pool{
		directory: directory, clock: clock, budget: budget, stats: counters, reportFormat: newReportFormat(report),
		bodies: bodies, idle: map[dispatch.ServerID][]*conn{},
	}
	p.SetLimits(limits)
	budget.SetReclaim(descriptors.Servers, p.closeOldestIdle)
	return p
}

// SetLimits changes the limits. A wait that has begun keeps the limit that it began with.
func (p *Pool) SetLimits(l Limits) { p.limits.Store(&l) }

// Start begins the attempt and returns; a.Done is called once, from another goroutine.
func (p *Pool) Start(a *Attempt) {
	done := a.Done
	a.Done = func(o Outcome) {
		a.cancel()
		p.stats.Attempts.Add(int(o.Result))
		done(o)
	}
	p.start(a)
}

// Probe requests a server's load report and returns at once. done is called once, from another goroutine,
// with the time that has elapsed since the call of Probe; load is nil without a valid report.
func (p *Pool) Probe(
	server dispatch.ServerID, done func(result dispatch.Result, elapsed time.Duration, load []float64),
) {
	start := time.Now()
	a := &Attempt{Server: server, probe: true, Deadline: start.Add(p.limits.Load().ProbeTimeout)}
	a.Done = func(o Outcome) {
		a.cancel()
		p.stats.Probes.Add(int(o.Result))
		p.countMissingReport(o)
		p.Release(&o)
		done(o.ReportedResult(), time.Since(start), o.Load)
	}
	p.start(a)
}

// countMissingReport counts probes whose response has no valid load report. The balancer loads a server that
// never sends one without regard to its queue.
func (p *Pool) countMissingReport(outcome Outcome) {
	if outcome.Result == dispatch.Served && outcome.Load == nil && p.reportFormat.size > 0 {
		p.stats.ProbesWithoutReport.Inc()
	}
}

// start runs the attempt on an idle connection if one may be reused, otherwise on a new one.
func (p *Pool) start(a *Attempt) {
	a.initContext()
	address, ok := p.directory.Address(a.Server)
	if !ok {
		go a.Done(Outcome{Result: dispatch.Rejected})
		return
	}
	if p.reuseIdle(a, address) {
		p.stats.ReusedServerConns.Inc()
		return
	}
	go (&conn{pool: p, server: a.Server, address: address}).run(a)
}

// Release returns the outcome's memory to the budget for bodies and closes its Stream. If the stream was not
// read to its end, its connection is closed. A second call is a no-op.
func (p *Pool) Release(o *Outcome) {
	p.bodies.Release(o.reserved)
	o.reserved = 0
	if o.Stream != nil {
		o.Stream.finish()
	}
}
