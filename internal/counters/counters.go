// Package counters counts what the program takes in, sends and answers.
package counters

import (
	"fmt"
	"log/slog"
	"sync/atomic"

	"cresshub/internal/logging"
)

// Counter is one figure; it only rises.
type Counter struct{ n atomic.Int64 }

// Add counts one more.
func (c *Counter) Add() { c.n.Add(1) }

// Set holds all figures of the process. Every request taken in is answered in one of the ways below or
// its client goes away.
type Set struct {
	Taken, Served, Refused, Failed, Gone, Invalid Counter // requests of clients
	Accepted, TurnedAway                          Counter // connections of clients
	Sent, Probed                                  Results // attempts and probes, by their end
	Blind                                         Counter // probes served without a readable load report
	Opened, Reused                                Counter // connections to zone servers
	Lists, ListsFailed                            Counter // answers of discovery
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
