package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// syncBuffer is a log that a test may read while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func (s *syncBuffer) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.b.String()), "\n")
}

// Records with the same message are limited, whatever their attributes; the next one has the number of those
// that were dropped, and Close reports the rest. Other messages are not affected.
func TestRepeatedRecordsAreLimitedAndDropsCounted(t *testing.T) {
	var out syncBuffer
	l := New(&out, Options{Format: "json", RepeatRate: 3, Backlog: 1 << 20})
	for i := range 1000 {
		l.With("a", i).Warn("again", "n", i)
	}
	l.Error("other")
	l.Close(time.Minute)
	written, dropped, other := 0, 0, 0
	for _, line := range out.lines() {
		var r struct {
			Msg     string
			Dropped int
		}
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(line, err)
		}
		dropped += r.Dropped
		switch r.Msg {
		case "again":
			written++
		case "other":
			other++
		}
	}
	// More records are written if the machine stalls for seconds; each is either written or counted as dropped.
	if written+dropped != 1000 || written > 100 || other != 1 {
		t.Errorf("%d written, %d dropped, %d others", written, dropped, other)
	}
}

func TestLevelChangesWhileTheLoggerIsInUse(t *testing.T) {
	var out syncBuffer
	l := New(&out, Options{Format: "text", Level: ParseLevel("warn"), Backlog: 1 << 20})
	l.Info("one")
	l.SetLimits(ParseLevel("debug"), 0)
	l.Debug("two")
	l.SetLimits(ParseLevel("error"), 0)
	l.Warn("three")
	l.Close(time.Minute)
	if got := fmt.Sprint(out.lines()); strings.Contains(got, "one") || !strings.Contains(got, "two") ||
		strings.Contains(got, "three") {
		t.Error(got)
	}
}

func TestStalledReaderBlocksNoCallerAndLostRecordsAreCounted(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	l := New(w, Options{Format: "text", Backlog: 8 << 10})
	const records = 20000 // about 1 MB, and a pipe holds 64 KiB
	for i := range records {
		l.Info("fact", "n", i) // would block forever if it waited for the reader
	}
	l.Close(time.Millisecond) // does not wait for the reader either
	done := make(chan string)
	go func() {
		var b bytes.Buffer
		b.ReadFrom(r)
		done <- b.String()
	}()
	<-l.writer.Done()
	w.Close()
	text := <-done
	lost := 0
	for line := range strings.Lines(text) {
		if _, n, ok := strings.Cut(line, Lost+"="); ok {
			count := 0
			fmt.Sscan(n, &count)
			lost += count
		}
	}
	if got := strings.Count(text, "msg=fact"); got+lost != records || lost == 0 {
		t.Errorf("%d records written and %d reported as lost, of %d", got, lost, records)
	}
}

func TestDurationsAreWrittenWithAUnit(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var out syncBuffer
		l := New(&out, Options{Format: format, Backlog: 1 << 20})
		NewRequestLog(l.Logger, 1, 0).Write(RequestEntry{Took: 1500 * time.Microsecond})
		l.Close(time.Minute)
		if got := out.lines()[0]; !strings.Contains(got, "1.5ms") {
			t.Errorf("%s: %s", format, got)
		}
	}
}

func TestRequestLogAppliesSampleAndRate(t *testing.T) {
	if (*RequestLog)(nil).Allow() {
		t.Error("a disabled request log allows a record")
	}
	var out syncBuffer
	l := New(&out, Options{Format: "text", RepeatRate: 1, Backlog: 1 << 20})
	all := NewRequestLog(l.Logger, 1, 0)
	for range 50 {
		if !all.Allow() {
			t.Fatal("a record is dropped with sample 1 and no rate limit")
		}
		all.Write(RequestEntry{Request: "id", Class: "lookup", Server: "zone-1", Attempts: 2, Outcome: "served",
			Status: 200, Took: 1500 * time.Microsecond})
	}
	l.Close(time.Minute)
	want := `msg=request request=id class=lookup tenant="" server=zone-1 attempt=2 outcome=served ` +
		`status=200 took=1.5ms`
	if got := out.lines(); len(got) != 50 || !strings.HasSuffix(got[0], want) {
		t.Errorf("%d records, the first %q", len(got), got[0])
	}
	limited, none := NewRequestLog(slog.New(slog.DiscardHandler), 1, 1), NewRequestLog(nil, 0, 0)
	allowed := 0
	for range 1000 {
		if limited.Allow() {
			allowed++
		}
		if none.Allow() {
			t.Fatal("sample 0 allows a record")
		}
	}
	if allowed == 0 || allowed > 100 { // the rate is one per second
		t.Errorf("%d records allowed", allowed)
	}
}
