// Package logging makes the program's logger: log/slog, in text or JSON, with one vocabulary of
// attributes, a bound on lines that repeat, and a writer that never makes the program wait for whoever
// reads its log.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"cresshub/internal/logwriter"
)

// The names of attributes. A line says the same thing by the same name wherever it comes from.
const (
	Name    = "name"    // of this instance
	Request = "request" // id of a request
	Class   = "class"
	Tenant  = "tenant"
	Server  = "server"  // name of a zone server
	Attempt = "attempt" // number of attempts made
	Outcome = "outcome"
	Took    = "took" // time from a request's arrival to its answer
	Status  = "status"
	Address = "address"
	Err     = "err"
	Dropped = "dropped" // lines with the same words left out since the last one
	Lost    = "lost"    // lines lost because nobody read the log
)

// Options are how a logger writes. Level and Repeat may change while it is in use, by Set.
type Options struct {
	Format     string     // "text" or "json"
	Level      slog.Level // least that is written
	RepeatRate float64    // lines a second with the same words; 0 is no bound
	Backlog    int        // bytes kept while the reader stalls
}

// Logger is a logger with what is needed to change and to end it.
type Logger struct {
	*slog.Logger
	level   slog.LevelVar
	repeats *repeatLimiter
	writer  *logwriter.Writer
}

// New returns a logger that writes to w from a goroutine of its own. Close ends it.
func New(w io.Writer, o Options) *Logger {
	l := &Logger{repeats: newRepeatLimiter(),
		writer: logwriter.New(w, o.Backlog, lostRecord(o.Format == "json"))}
	options := &slog.HandlerOptions{Level: &l.level}
	var h slog.Handler = slog.NewTextHandler(l.writer, options)
	if o.Format == "json" {
		options.ReplaceAttr = durationsAsText
		h = slog.NewJSONHandler(l.writer, options)
	}
	l.Logger = slog.New(&limitedHandler{h, l.repeats})
	l.SetLimits(o.Level, o.RepeatRate)
	return l
}

// lostRecord returns what lays out the line that tells of lost ones.
func lostRecord(json bool) func(lost int64) string {
	form := "level=WARN msg=%q %s=%d\n"
	if json {
		form = "{\"level\":\"WARN\",\"msg\":%q,%q:%d}\n"
	}
	return func(lost int64) string { return fmt.Sprintf(form, "log lines lost, nobody read them", Lost, lost) }
}

// durationsAsText has a time written in JSON as in text, with its unit: a bare number of nanoseconds says
// nothing of what it counts.
func durationsAsText(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().String())
	}
	return a
}

// SetLimits changes the level and the bound on lines that repeat.
func (l *Logger) SetLimits(level slog.Level, repeat float64) {
	l.level.Set(level)
	l.repeats.setRate(repeat)
}

// Close writes what is left, for at most so long.
func (l *Logger) Close(wait time.Duration) {
	if n := l.repeats.pending(); n > 0 {
		l.Info("lines left out at the end", Dropped, n)
	}
	l.writer.Close(wait)
}

// ParseLevel reads one of the words for a level; any other is info.
func ParseLevel(word string) slog.Level {
	var l slog.Level
	if l.UnmarshalText([]byte(word)) != nil {
		return slog.LevelInfo
	}
	return l
}

// limitedHandler leaves lines out that repeat too often.
type limitedHandler struct {
	slog.Handler
	repeats *repeatLimiter
}

func (h *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	dropped, ok := h.repeats.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int64(Dropped, dropped))
	}
	return h.Handler.Handle(ctx, r)
}

func (h *limitedHandler) WithAttrs(as []slog.Attr) slog.Handler {
	return &limitedHandler{h.Handler.WithAttrs(as), h.repeats}
}

func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{h.Handler.WithGroup(name), h.repeats}
}

// repeatLimiter counts lines by their words. Words are constants of the program, so there are few; the bound
// is for the case that somebody forgets.
type repeatLimiter struct {
	mu      sync.Mutex
	rate    float64
	buckets map[string]*bucket
}

const maxMessages = 512

// bucket holds what is left of a message's lines: rate a second, as many at once.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	dropped    int64
}

func newRepeatLimiter() *repeatLimiter { return &repeatLimiter{buckets: map[string]*bucket{}} }

func (r *repeatLimiter) setRate(rate float64) {
	r.mu.Lock()
	r.rate = rate
	r.mu.Unlock()
}

// allow tells whether a line may be written, and how many were left out before it.
func (r *repeatLimiter) allow(message string, now time.Time) (dropped int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate <= 0 || message == RequestMessage || message == CountersMessage {
		return 0, true
	}
	b := r.buckets[message]
	if b == nil {
		if len(r.buckets) >= maxMessages {
			clear(r.buckets)
		}
		b = &bucket{tokens: max(r.rate, 1), refilledAt: now}
		r.buckets[message] = b
	}
	b.tokens = min(b.tokens+r.rate*now.Sub(b.refilledAt).Seconds(), max(r.rate, 1))
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return 0, false
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}

// pending is how many lines were left out and not told yet.
func (r *repeatLimiter) pending() (n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.buckets {
		n += b.dropped
	}
	return n
}
