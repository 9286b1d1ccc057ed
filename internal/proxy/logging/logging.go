// Package logging provides the proxy's logger: log/slog in text or JSON, with a common set of attribute
// names, a rate limit on records with the same message, and a writer that never blocks on the reader of the
// log: beyond a backlog, records are dropped and counted.
//
// Loggers and request logs may be used from any goroutine.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"cresshub/internal/logwriter"
)

// Names of attributes, the same in every record. Operators' scripts parse them.
const (
	Name    = "name"    // name of this instance
	Request = "request" // id of a request
	Class   = "class"
	Tenant  = "tenant"
	Server  = "server"  // name of a zone server
	Attempt = "attempt" // number of attempts made
	Outcome = "outcome"
	Took    = "took" // time from a request's arrival to its response
	Status  = "status"
	Address = "address"
	Err     = "err"
	Dropped = "dropped" // records with the same message dropped since the last one
	Lost    = "lost"    // records lost because the log was not read in time
)

// formatJSON is the value of Options.Format for JSON; any other value means text.
const formatJSON = "json"

// Options configure a logger. SetLimits changes Level and RepeatRate while the logger is in use.
type Options struct {
	Format     string     // "text" or "json"
	Level      slog.Level // lowest level that is written
	RepeatRate float64    // records per second with the same message; 0 is no limit
	Backlog    int        // bytes buffered while the log is not read
}

// Logger is a slog.Logger whose limits can be changed and that has to be closed.
type Logger struct {
	*slog.Logger
	level   slog.LevelVar
	repeats *repeatLimiter
	writer  *logwriter.Writer
}

// New returns a logger that writes to w from a goroutine of its own, which Close stops.
func New(w io.Writer, o Options) *Logger {
	asJSON := o.Format == formatJSON
	l := &Logger{repeats: newRepeatLimiter(), writer: logwriter.New(w, o.Backlog, lostRecord(asJSON))}
	options := &slog.HandlerOptions{Level: &l.level}
	var handler slog.Handler = slog.NewTextHandler(l.writer, options)
	if asJSON {
		options.ReplaceAttr = durationsAsText
		handler = slog.NewJSONHandler(l.writer, options)
	}
	l.Logger = slog.New(&limitedHandler{handler, l.repeats})
	l.SetLimits(o.Level, o.RepeatRate)
	return l
}

// lostRecord returns the function that formats the record with the number of lost records.
func lostRecord(asJSON bool) func(lost int64) string {
	format := "level=WARN msg=%q %s=%d\n"
	if asJSON {
		format = "{\"level\":\"WARN\",\"msg\":%q,%q:%d}\n"
	}
	return func(lost int64) string {
		return fmt.Sprintf(format, "log lines lost, nobody read them", Lost, lost)
	}
}

// durationsAsText replaces durations, which JSON would encode as numbers of nanoseconds, by text with a unit.
func durationsAsText(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().String())
	}
	return a
}

// SetLimits changes the lowest level and the limit of records per second with the same message.
func (l *Logger) SetLimits(level slog.Level, repeatRate float64) {
	l.level.Set(level)
	l.repeats.setRate(repeatRate)
}

// Close waits until the buffered records are written, at most for the timeout, and stops the writer.
func (l *Logger) Close(timeout time.Duration) {
	if n := l.repeats.unreportedDrops(); n > 0 {
		l.Info("log: lines dropped at the end", Dropped, n)
	}
	l.writer.Close(timeout)
}

// ParseLevel returns the level with a name; it is info for an unknown name.
func ParseLevel(name string) slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(name)) != nil {
		return slog.LevelInfo
	}
	return level
}
