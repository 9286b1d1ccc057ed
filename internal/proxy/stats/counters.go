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
	Taken, Served, Refused, Failed, Gone, Invalid Counter // requests of clients
	Accepted, TurnedAway                          Counter // connections of clients
	Sent, Probed                                  Results // attempts and probes, by their end
	Blind                                         Counter // probes served without a readable load report
	Opened, Reused                                Counter // connections to zone servers
	Lists, ListsFailed                            Counter // answers of discovery
	Tries                                         Counter // attempts written whole to a server
	InProgress                                    Gauge   // requests taken and not yet ended

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
type Results struct{ by [8]Counter }

// Add counts one end of that kind.
func (r *Results) Add(kind int) { r.by[kind].Add() }

func (r *Results) log(names []string) slog.Attr {
	var as []any
	for i := range r.by {
		if n := r.by[i].n.Load(); n > 0 {
			name := fmt.Sprint(i)
			if i < len(names) {
				name = names[i]
			}
			as = append(as, slog.Int64(name, n))
		}
	}
	return slog.Group("", as...)
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
	line("upstream_tries", s.Tries.n.Load(), "c")
	line("in_progress", s.InProgress.Load(), "g")
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		line(name, int64(gauges[name]), "g")
	}
	return b.Flush()
}

// Log prints all figures; names are the words for the kinds of results.
func (s *Set) Log(log *slog.Logger, why string, names []string) {
	num := func(name string, c *Counter) slog.Attr { return slog.Int64(name, c.n.Load()) }
	sent, probed := s.Sent.log(names), s.Probed.log(names)
	sent.Key, probed.Key = "sent", "probed"
	log.Info(logging.CountersLine, "why", why,
		slog.Group("requests", num("taken", &s.Taken), num("served", &s.Served), num("refused", &s.Refused),
			num("failed", &s.Failed), num("gone", &s.Gone), num("invalid", &s.Invalid)),
		slog.Group("clients", num("accepted", &s.Accepted), num("turned_away", &s.TurnedAway)),
		sent, probed, num("probed_without_report", &s.Blind),
		slog.Group("connections", num("opened", &s.Opened), num("reused", &s.Reused)),
		slog.Group("lists", num("read", &s.Lists), num("failed", &s.ListsFailed)))
}
