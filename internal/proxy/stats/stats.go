// Package stats counts what the program takes in, sends and answers.
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

// Counter is one figure; it only rises.
type Counter struct{ n atomic.Int64 }

// Add counts one more; nil counts nothing.
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

// Handled counts the requests of one class by the final answer that was written.
type Handled struct{ Passed, Dropped, Failed Counter }

// Set holds all figures of the process. Every request taken in is answered in one of the ways below or
// its client goes away. New makes one that counts by class too.
type Set struct {
	// Requests of clients, by their end; Received counts them all.
	Received, Served, Refused, Failed, ClientGone, Invalid Counter
	// Connections of clients, and those of them that were turned away for want of descriptors.
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

// New returns a Set at 0 that counts by these classes too.
func New(classes []string) *Set {
	return &Set{classes: classes, handled: make([]Handled, len(classes))}
}

// Class returns the figures of a class; of one that is not known, figures that nobody reads.
func (s *Set) Class(class int) *Handled {
	if class < 0 || class >= len(s.handled) {
		return &Handled{}
	}
	return &s.handled[class]
}

// Results counts by the place of a result in a short list.
type Results struct{ counts [8]Counter }

// Add counts one end of that kind.
func (r *Results) Add(kind int) { r.counts[kind].Add() }

func (r *Results) attr(names []string) slog.Attr {
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
	return slog.Group("", attrs...)
}

// WriteVars writes the operators' figures, one a line as name:value|kind, c for a count since the start and
// g for what is true now; gauges are those that others know.
func (s *Set) WriteVars(w io.Writer, gauges map[string]int) error {
	b := bufio.NewWriter(w)
	line := func(name string, n int64, kind string) { fmt.Fprintf(b, "proxy.%s:%d|%s\n", name, n, kind) }
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

// Log prints all figures; names are the words for the kinds of results.
func (s *Set) Log(log *slog.Logger, why string, names []string) {
	counter := func(name string, c *Counter) slog.Attr { return slog.Int64(name, c.n.Load()) }
	sent, probed := s.Attempts.attr(names), s.Probes.attr(names)
	sent.Key, probed.Key = "sent", "probed"
	log.Info(logging.CountersMessage, "why", why,
		slog.Group("requests", counter("taken", &s.Received), counter("served", &s.Served),
			counter("refused", &s.Refused), counter("failed", &s.Failed),
			counter("gone", &s.ClientGone), counter("invalid", &s.Invalid)),
		slog.Group("clients", counter("accepted", &s.AcceptedConns), counter("turned_away", &s.RejectedConns)),
		sent, probed, counter("probed_without_report", &s.ProbesWithoutReport),
		slog.Group("connections", counter("opened", &s.Opened), counter("reused", &s.Reused)),
		slog.Group("lists", counter("read", &s.ListsRead), counter("failed", &s.ListsFailed)))
}
