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
	Format  string     // "text" or "json"
	Level   slog.Level // least that is written
	Repeat  float64    // lines a second with the same words; 0 is no bound
	Backlog int        // bytes kept while the reader stalls
}

// Logger is a logger with what is needed to change and to end it.
type Logger struct {
	*slog.Logger
	level  slog.LevelVar
	repeat *repeats
	out    *logwriter.Writer
}

// New returns a logger that writes to w from a goroutine of its own. Close ends it.
func New(w io.Writer, o Options) *Logger {
	l := &Logger{repeat: newRepeats(), out: logwriter.New(w, o.Backlog, lostLine(o.Format == "json"))}
	options := &slog.HandlerOptions{Level: &l.level}
	var h slog.Handler = slog.NewTextHandler(l.out, options)
	if o.Format == "json" {
		options.ReplaceAttr = withUnit
		h = slog.NewJSONHandler(l.out, options)
	}
	l.Logger = slog.New(&limited{h, l.repeat})
	l.Set(o.Level, o.Repeat)
	return l
}

// lostLine returns what lays out the line that tells of lost ones.
func lostLine(json bool) func(lost int64) string {
	form := "level=WARN msg=%q %s=%d\n"
	if json {
		form = "{\"level\":\"WARN\",\"msg\":%q,%q:%d}\n"
	}
	return func(lost int64) string { return fmt.Sprintf(form, "log lines lost, nobody read them", Lost, lost) }
}

// withUnit has a time written in JSON as in text, with its unit: a bare number of nanoseconds says nothing of
// what it counts.
func withUnit(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().String())
	}
	return a
}

// Set changes the level and the bound on lines that repeat.
func (l *Logger) Set(level slog.Level, repeat float64) {
	l.level.Set(level)
	l.repeat.set(repeat)
}

// Close writes what is left, for at most so long.
func (l *Logger) Close(wait time.Duration) {
	if n := l.repeat.pending(); n > 0 {
		l.Info("lines left out at the end", Dropped, n)
	}
	l.out.Close(wait)
}

// ParseLevel reads one of the words for a level; any other is info.
func ParseLevel(word string) slog.Level {
	var l slog.Level
	if l.UnmarshalText([]byte(word)) != nil {
		return slog.LevelInfo
	}
	return l
}

// limited leaves lines out that repeat too often.
type limited struct {
	slog.Handler
	repeat *repeats
}

func (h *limited) Handle(ctx context.Context, r slog.Record) error {
	dropped, ok := h.repeat.take(r.Message, r.Time)
	if !ok {
		return nil
	}
	if dropped > 0 {
		r.AddAttrs(slog.Int64(Dropped, dropped))
	}
	return h.Handler.Handle(ctx, r)
}

func (h *limited) WithAttrs(as []slog.Attr) slog.Handler {
	return &limited{h.Handler.WithAttrs(as), h.repeat}
}

func (h *limited) WithGroup(name string) slog.Handler {
	return &limited{h.Handler.WithGroup(name), h.repeat}
}

// repeats counts lines by their words. Words are constants of the program, so there are few; the bound
// is for the case that somebody forgets.
type repeats struct {
	mu   sync.Mutex
	rate float64
	by   map[string]*bucket
}

const maxWords = 512

// bucket holds what is left of a message's lines: rate a second, as many at once.
type bucket struct {
	left    float64
	at      time.Time
	dropped int64
}

func newRepeats() *repeats { return &repeats{by: map[string]*bucket{}} }

func (r *repeats) set(rate float64) {
	r.mu.Lock()
	r.rate = rate
	r.mu.Unlock()
}

// take tells whether a line may be written, and how many were left out before it.
func (r *repeats) take(words string, now time.Time) (dropped int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate <= 0 || words == RequestLine || words == CountersLine {
		return 0, true
	}
	b := r.by[words]
	if b == nil {
		if len(r.by) >= maxWords {
			clear(r.by)
		}
		b = &bucket{left: max(r.rate, 1), at: now}
		r.by[words] = b
	}
	b.left = min(b.left+r.rate*now.Sub(b.at).Seconds(), max(r.rate, 1))
	b.at = now
	if b.left < 1 {
		b.dropped++
		return 0, false
	}
	b.left--
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}

// pending is how many lines were left out and not told yet.
func (r *repeats) pending() (n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.by {
		n += b.dropped
	}
	return n
}
