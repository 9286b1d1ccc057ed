// Package stats holds the proxy's counters: requests by how they ended, connections, attempts, probes and
// lists of servers. They are logged on SIGUSR1 and at the exit (Log), and part of them is served to operators
// (WriteVars); the names in both are read by scripts.
//
// All counters may be used from any goroutine. Two read one after the other may differ by what happened
// between.
package stats

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"

	"cresshub/internal/proxy/logging"
)

// Counter is a figure that only rises.
type Counter struct{ n atomic.Int64 }

// Add counts one more. On a nil Counter it does nothing.
func (c *Counter) Add() {
	if c != nil {
		c.n.Add(1)
	}
}

// Load returns the figure.
func (c *Counter) Load() int64 { return c.n.Load() }

// Gauge is a figure that rises and falls.
type Gauge struct{ n atomic.Int64 }

// Add changes the figure by n.
func (g *Gauge) Add(n int64) { g.n.Add(n) }

// Load returns the figure.
func (g *Gauge) Load() int64 { return g.n.Load() }

// Handled counts the requests of one class by the final response that was written: one of a server, a
// rejection by the proxy, or an error after failed attempts.
type Handled struct{ Passed, Dropped, Failed Counter }

// Set holds all counters of the process. The zero Set counts by no class.
type Set struct {
	// Requests of clients: all that were received, and by their end. Invalid ones can't be parsed.
	Received, Served, Refused, Failed, ClientGone, Invalid Counter
	// Connections of clients: all that were accepted, and those of them that were rejected because the budget
	// of descriptors is exhausted.
	AcceptedConns, RejectedConns Counter
	// Attempts and probes at zone servers, by their end.
	Attempts, Probes Results
	// Probes answered without a readable load report.
	ProbesWithoutReport Counter
	// Connections to zone servers that were opened, and requests that went out on an open one.
	Opened, Reused Counter
	// Answers of discovery with a list that could be read, and calls that failed.
	ListsRead, ListsFailed Counter
	// Attempts whose request was written completely to a server.
	RequestsSent Counter
	// Requests received that have not ended yet.
	InProgress Gauge

	classes []string
	handled []Handled
}

// New returns a Set that counts by these classes too.
func New(classes []string) *Set {
	return &Set{classes: classes, handled: make([]Handled, len(classes))}
}

// Class returns the counters of a class by its index; for an unknown one, counters that nobody reads.
func (s *Set) Class(class int) *Handled {
	if class < 0 || class >= len(s.handled) {
		return &Handled{}
	}
	return &s.handled[class]
}

// Results counts by the kind of a result, from 0 to 7.
type Results struct{ counts [8]Counter }

// Add counts one result of a kind.
func (r *Results) Add(kind int) { r.counts[kind].Add() }

// attr is a group of the kinds that occurred, under their names.
func (r *Results) attr(key string, names []string) slog.Attr {
	var attrs []any
	for i := range r.counts {
		if n := r.counts[i].n.Load(); n > 0 {
			name := fmt.Sprint(i)
			if i < len(names) {
				name = names[i]
			}
			attrs = append(attrs, slog.Int64(name, n))
		}
	}
	return slog.Group(key, attrs...)
}

// WriteVars writes the operators' figures in the form of StatsD, one a line as proxy.NAME:VALUE|KIND, with
// the kind c for a count since the start and g for a gauge. The gauges that other packages know are passed
// in.
func (s *Set) WriteVars(w io.Writer, gauges map[string]int) error {
	b := bufio.NewWriter(w)
	line := func(name string, n int64, kind string) {
		_, _ = fmt.Fprintf(b, "proxy.%s:%d|%s\n", name, n, kind) // Flush returns the first error
	}
	for i, class := range s.classes {
		h := &s.handled[i]
		line("handled."+class+".passed", h.Passed.n.Load(), "c")
		line("handled."+class+".dropped", h.Dropped.n.Load(), "c")
		line("handled."+class+".bad_gateway", h.Failed.n.Load(), "c")
	}
	line("upstream_tries", s.RequestsSent.n.Load(), "c")
	line("in_progress", s.InProgress.Load(), "g")
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		line(name, int64(gauges[name]), "g")
	}
	return b.Flush()
}

// Log writes one record with all counters. names are the words for the kinds of results, and why tells what
// the record was written for.
func (s *Set) Log(log *slog.Logger, why string, names []string) {
	counter := func(name string, c *Counter) slog.Attr { return slog.Int64(name, c.n.Load()) }
	log.Info(logging.CountersMessage, "why", why,
		slog.Group("requests", counter("taken", &s.Received), counter("served", &s.Served),
			counter("refused", &s.Refused), counter("failed", &s.Failed),
			counter("gone", &s.ClientGone), counter("invalid", &s.Invalid)),
		slog.Group("clients", counter("accepted", &s.AcceptedConns), counter("turned_away", &s.RejectedConns)),
		s.Attempts.attr("sent", names), s.Probes.attr("probed", names),
		counter("probed_without_report", &s.ProbesWithoutReport),
		slog.Group("connections", counter("opened", &s.Opened), counter("reused", &s.Reused)),
		slog.Group("lists", counter("read", &s.ListsRead), counter("failed", &s.ListsFailed)))
}
