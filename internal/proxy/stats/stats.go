// Package stats holds the proxy's counters: requests by outcome, connections, attempts, probes and lists of
// servers. They are logged on SIGUSR1 and at the exit (Log), and part of them is served to operators
// (WriteVars). Scripts read the names in both.
//
// All counters may be used from any goroutine. They are read one by one, so a set of them is no snapshot of
// one moment.
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

// Counter is a number of events since the start.
type Counter struct{ n atomic.Int64 }

// Inc counts one more. On a nil Counter it does nothing.
func (c *Counter) Inc() {
	if c != nil {
		c.n.Add(1)
	}
}

// Load returns the number of events so far.
func (c *Counter) Load() int64 { return c.n.Load() }

// Gauge is a present number of something.
type Gauge struct{ n atomic.Int64 }

// Add changes the number by n, which may be negative.
func (g *Gauge) Add(n int64) { g.n.Add(n) }

// Load returns the present number.
func (g *Gauge) Load() int64 { return g.n.Load() }

// ResponseCounters counts the requests of one class by the final response that was written: one of a server, a
// rejection by the proxy, or an error after failed attempts.
type ResponseCounters struct{ Passed, Dropped, Failed Counter }

// Set holds all counters of the process. The zero Set has no classes.
type Set struct {
	// Valid requests of clients, and those of them with each outcome; and beside them the malformed or
	// otherwise invalid ones.
	Received, Served, Rejected, Failed, ClientDisconnected, Invalid Counter
	// Connections of clients: all that were accepted, and those of them that were rejected because the budget
	// of descriptors is exhausted.
	AcceptedConns, RejectedConns Counter
	// Attempts and probes at zone servers, by result.
	Attempts, Probes Results
	// Probes answered without a readable load report.
	ProbesWithoutReport Counter
	// Connections to zone servers that were opened, and requests and probes sent over an idle one.
	OpenedServerConns, ReusedServerConns Counter
	// Lists and changes received from discovery, and watches that ended.
	ListsRead, ListsFailed Counter
	// Attempts whose request was written completely to a server.
	RequestsSent Counter
	// Stalls of this process: times in which it did not run.
	Stalls Counter
	// Requests received that have no final response yet.
	InProgress Gauge

	classes []string           // names
	handled []ResponseCounters // by class, in the order of classes
}

// New returns a Set that counts by these classes too.
func New(classes []string) *Set {
	return &Set{classes: classes, handled: make([]ResponseCounters, len(classes))}
}

// Class returns the counters of a class by its index; for an unknown one, new counters that nobody reads.
func (s *Set) Class(class int) *ResponseCounters {
	if class < 0 || class >= len(s.handled) {
		return &ResponseCounters{}
	}
	return &s.handled[class]
}

// resultKinds is the number of results that an attempt or a probe may have; see package dispatch.
const resultKinds = 8

// Results counts attempts or probes by their result.
type Results struct{ counts [resultKinds]Counter }

// Add counts one result, by its value from 0 to resultKinds-1.
func (r *Results) Add(result int) { r.counts[result].Inc() }

// attr is a group of the results that occurred, under their names; one without a name has its value.
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

// The types of metrics in StatsD.
const (
	statsdCounter = "c"
	statsdGauge   = "g"
)

// WriteVars writes the operators' metrics in the form of StatsD, one a line as proxy.NAME:VALUE|TYPE.
// Counters count from the start. gauges are those that other packages know, by name.
func (s *Set) WriteVars(w io.Writer, gauges map[string]int) error {
	b := bufio.NewWriter(w)
	write := func(name string, value int64, metricType string) {
		_, _ = fmt.Fprintf(b, "proxy.%s:%d|%s\n", name, value, metricType) // Flush returns the first error
	}
	for i, class := range s.classes {
		handled := &s.handled[i]
		write("handled."+class+".passed", handled.Passed.Load(), statsdCounter)
		write("handled."+class+".dropped", handled.Dropped.Load(), statsdCounter)
		write("handled."+class+".bad_gateway", handled.Failed.Load(), statsdCounter)
	}
	write("upstream_tries", s.RequestsSent.Load(), statsdCounter)
	write("in_progress", s.InProgress.Load(), statsdGauge)
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		write(name, int64(gauges[name]), statsdGauge)
	}
	return b.Flush()
}

// Log writes one record with all counters. why says what the record is written for; resultNames are the names
// of results, by value.
func (s *Set) Log(log *slog.Logger, why string, resultNames []string) {
	counter := func(name string, c *Counter) slog.Attr { return slog.Int64(name, c.Load()) }
	log.Info(logging.CountersMessage, "why", why,
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
