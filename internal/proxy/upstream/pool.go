// Package upstream carries attempts and health checks (probes) to zone servers over HTTP/1.1 and keeps the
// connections for reuse.
//
// A Pool is used from any goroutine. Each connection has a goroutine of its own, which dials, runs one
// exchange after the other and between two of them waits in Read, so that it notices when the server closes.
// A connection is thus dialling, in an exchange, streaming the rest of a response to whoever holds its
// Stream, or idle. Only idle ones are in the pool's list; reuseIdle takes one from it and passes it the next
// attempt.
//
// An attempt of which no byte was written provably never ran, and its result says so (Rejected, NoConnection,
// Skipped): only then may the caller send a request again that must not run twice. The split of the work
// follows net/http's Transport and Caddy's reverse proxy.
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

// Directory resolves servers.
type Directory interface {
	// Address is where a server listens; false if it is not in service.
	Address(dispatch.ServerID) (string, bool)
}

// Limits are the pool's time-outs; they may change while it is in use.
type Limits struct {
	// DialTimeout bounds the time for a connection to be established.
	DialTimeout time.Duration
	// MaxIdle is how long a connection may have been idle to be used again.
	MaxIdle time.Duration
	// DuplicateGuard is how long a connection must have been idle to be used for a request after another one:
	// a server may send a late duplicate of its last response. After a probe there is no such wait.
	DuplicateGuard time.Duration
	// ProbeTimeout bounds a probe from its start to the end of the response.
	ProbeTimeout time.Duration
	// BufferTime is how long a response of unknown length is buffered before it is streamed.
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
	idle map[dispatch.ServerID][]*conn // by server, in the order of their last use
}

// New returns a pool without connections. report names the values of a load report, by the words of the
// settings, in the order in which they are reported. The clock may be nil.
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

// SetLimits changes the limits; waits that have begun end by the earlier ones.
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

// Probe asks a server for its load report and returns; done is called once, from another goroutine, with the
// time that passed since the call of Probe. load is nil if no report came.
func (p *Pool) Probe(
	server dispatch.ServerID, done func(result dispatch.Result, took time.Duration, load []float64),
) {
	began := time.Now()
	a := &Attempt{Server: server, probe: true, Deadline: began.Add(p.limits.Load().ProbeTimeout)}
	a.Done = func(o Outcome) {
		a.cancel()
		p.stats.Probes.Add(int(o.Result))
		p.countMissingReport(o)
		p.Release(&o)
		done(o.ReportedResult(), time.Since(began), o.Load)
	}
	p.start(a)
}

// countMissingReport counts probes that were answered without a readable load report. A server that never
// sends one is loaded without regard to its queue.
func (p *Pool) countMissingReport(outcome Outcome) {
	if outcome.Result == dispatch.Served && outcome.Load == nil && p.reportFormat.size > 0 {
		p.stats.ProbesWithoutReport.Add()
	}
}

// start runs the attempt on an idle connection or else on a new one.
func (p *Pool) start(a *Attempt) {
	a.initContext()
	address, ok := p.directory.Address(a.Server)
	if !ok {
		go a.Done(Outcome{Result: dispatch.Rejected})
		return
	}
	if p.reuseIdle(a, address) {
		p.stats.Reused.Add()
		return
	}
	go (&conn{pool: p, server: a.Server, address: address}).run(a)
}

// Release returns the memory that an outcome has taken from the budget for bodies, and closes its Stream; a
// stream that was not read to its end is aborted. A second call is a no-op.
func (p *Pool) Release(o *Outcome) {
	p.bodies.Release(o.reserved)
	o.reserved = 0
	if o.Stream != nil {
		o.Stream.finish()
	}
}
