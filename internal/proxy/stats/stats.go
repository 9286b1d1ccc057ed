// Package stats holds the proxy's counters: requests by outcome, connections, attempts, probes and server
// lists. They are logged on SIGUSR1 and when the process exits (Log), and some of them are served to
// operators (WriteVars). Operators' scripts rely on the names in both.
//
// All counters may be used from any goroutine. They are read one by one, so the values of a Set are not a
// consistent snapshot.
package stats

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"

	"cresshub/internal/proxy/logging"
)

// Counter is a number of events since the process started.
type Counter struct{ n atomic.Int64 }

// Inc counts one more event. On a nil Counter it does nothing.
func (c *Counter) Inc() {
	if c != nil {
		c.n.Add(1)
	}
}

// Load returns the number of events so far.
func (c *Counter) Load() int64 { return c.n.Load() }

// Gauge is a number that goes up and down.
type Gauge struct{ n atomic.Int64 }

// Add changes the number by n, which may be negative.
func (g *Gauge) Add(n int64) { g.n.Add(n) }

// Load returns the current number.
func (g *Gauge) Load() int64 { return g.n.Load() }

// ResponseCounters counts the requests of one class by the final response that was written: Passed is a
// server's response, Dropped a rejection by the proxy, and Failed an error, as the request was invalid or its
// attempts failed.
type ResponseCounters struct{ Passed, Dropped, Failed Counter }

// Set holds all counters of the process. The zero Set has no classes.
type Set struct {
	// Requests of clients: Received counts the valid ones, which the next four count by outcome. Invalid counts
	// malformed and otherwise invalid ones, which are not in Received.
	Received, Served, Rejected, Failed, ClientDisconnected, Invalid Counter
	// Client connections: all that were accepted, and those of them that were rejected because the descriptor
	// budget was exhausted.
	AcceptedConns, RejectedConns Counter
	// Attempts at zone servers and health probes of them, by result.
	Attempts, Probes Results
	// Probes answered without a readable load report.
	ProbesWithoutReport Counter
	// Connections opened to zone servers, and requests and probes that reused an idle connection.
	OpenedServerConns, ReusedServerConns Counter
	// Server lists and changes of them received from discovery, and watches that ended.
	ListsRead, ListsFailed Counter
	// Attempts whose request was written completely to a server.
	RequestsSent Counter
	// Stalls of this process, that is, periods in which it did not run.
	Stalls Counter
	// Requests received completely that have no final response yet.
	InProgress Gauge

	classes   []string           // class names
	responses []ResponseCounters // by class, in the order of classes
}

// New returns a Set with ResponseCounters for each of the classes.
func New(classes []string) *Set {
	return &Set{classes: classes, responses: make([]ResponseCounters, len(classes))}
}

// Class returns the counters of the class with this index; for an unknown class, new counters that nobody
// reads.
func (s *Set) Class(class int) *ResponseCounters {
	if class < 0 || class >= len(s.responses) {
		return &ResponseCounters{}
	}
	return &s.responses[class]
}

// resultKinds is the number of results that an attempt or a probe may have; see dispatch.Result.
const resultKinds = 8

// Results counts attempts or probes by their result.
type Results struct{ counts [resultKinds]Counter }

// Add counts one result, which is given as its value, from 0 to resultKinds-1.
func (r *Results) Add(result int) { r.counts[result].Inc() }

// attr returns a log group with the results that occurred, by name. A result without a name gets its value as
// name.
func (r *Results) attr(key string, names []string) slog.Attr {
	var attrs []any
	for result := range r.counts {
		n := r.counts[result].Load()
		if n == 0 {
			continue
		}
		name := strconv.Itoa(result)
		if result < len(names) {
			name = names[result]
		}
		attrs = append(attrs, slog.Int64(name, n))
	}
	return slog.Group(key, attrs...)
}

// The metric types of StatsD.
const (
	statsdCounter = "c"
	statsdGauge   = "g"
)

// WriteVars writes the metrics for operators in the format of StatsD, one per line as proxy.NAME:VALUE|TYPE.
// Counters hold totals since the process started, not increments as in StatsD. gauges are those of other
// packages, by name.
func (s *Set) WriteVars(w io.Writer, gauges map[string]int) error {
	b := bufio.NewWriter(w)
	write := func(name string, value int64, metricType string) {
		_, _ = fmt.Fprintf(b, "proxy.%s:%d|%s\n", name, value, metricType) // Flush returns the first error
	}
	for i, class := range s.classes {
		responses := &s.responses[i]
		write("handled."+class+".passed", responses.Passed.Load(), statsdCounter)
		write("handled."+class+".dropped", responses.Dropped.Load(), statsdCounter)
		write("handled."+class+".bad_gateway", responses.Failed.Load(), statsdCounter)
	}
	write("upstream_tries", s.RequestsSent.Load(), statsdCounter)
	write("in_progress", s.InProgress.Load(), statsdGauge)
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		write(name, int64(gauges[name]), statsdGauge)
	}
	return b.Flush()
}

// Log writes one log record with all counters but RequestsSent, InProgress and those by class. reason says
// why the record is written; resultNames are the names of results, by value.
func (s *Set) Log(log *slog.Logger, reason string, resultNames []string) {
	counter := func(name string, c *Counter) slog.Attr { return slog.Int64(name, c.Load()) }
	log.Info(logging.CountersMessage, "why", reason,
		slog.Group("requests", counter("received", &s.Received), counter("served", &s.Served),
			counter("rejected", &s.Rejected), counter("failed", &s.Failed),
			counter("client_disconnected", &s.ClientDisconnected), counter("invalid", &s.Invalid)),
		slog.Group("clients", counter("accepted", &s.AcceptedConns), counter("rejected", &s.RejectedConns)),
		s.Attempts.attr("sent", resultNames), s.Probes.attr("probed", resultNames),
		counter("probed_without_report", &s.ProbesWithoutReport),
		slog.Group("connections", counter("opened", &s.OpenedServerConns), counter("reused", &s.ReusedServerConns)),
		slog.Group("lists", counter("read", &s.ListsRead), counter("failed", &s.ListsFailed)),
		counter("stalls", &s.Stalls))
}
