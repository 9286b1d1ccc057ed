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

// syncBuffer is a log that a test reads while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (p *syncBuffer) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.b.Write(b)
}

func (p *syncBuffer) lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Split(strings.TrimSpace(p.b.String()), "\n")
}

// Records with the same message are limited, whatever their attributes; the next one has the number of those
// that were dropped, and Close reports the rest. Other messages are not affected.
func TestRepeatsAreBoundedAndCounted(t *testing.T) {
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
	// A machine that stalls for seconds lets some more through; all are accounted for.
	if written+dropped != 1000 || written > 100 || other != 1 {
		t.Errorf("%d written, %d left out, %d others", written, dropped, other)
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

func TestStalledReaderDelaysNobodyAndLossesAreCounted(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	l := New(w, Options{Format: "text", Backlog: 8 << 10})
	const lines = 20000 // about 1 MB, and a pipe holds 64 KiB
	for i := range lines {
		l.Info("fact", "n", i) // would block for ever if it waited
	}
	l.Close(time.Millisecond) // nor does the end wait
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
			k := 0
			fmt.Sscan(n, &k)
			lost += k
		}
	}
	if got := strings.Count(text, "msg=fact"); got+lost != lines || lost == 0 {
		t.Errorf("%d written and %d told as lost of %d", got, lost, lines)
	}
}

func TestDurationsCarryTheirUnit(t *testing.T) {
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

func TestRequestLogKeepsToItsSampleAndRate(t *testing.T) {
	if (*RequestLog)(nil).Allow() {
		t.Error("one that is off wants a line")
	}
	var out syncBuffer
	l := New(&out, Options{Format: "text", RepeatRate: 1, Backlog: 1 << 20})
	all := NewRequestLog(l.Logger, 1, 0)
	for range 50 {
		if !all.Allow() {
			t.Fatal("a line is left out")
		}
		all.Write(RequestEntry{Request: "id", Class: "lookup", Server: "zone-1", Attempts: 2, Outcome: "served",
			Status: 200, Took: 1500 * time.Microsecond})
	}
	l.Close(time.Minute)
	want := `msg=request request=id class=lookup tenant="" server=zone-1 attempt=2 outcome=served ` +
		`status=200 took=1.5ms`
	if got := out.lines(); len(got) != 50 || !strings.HasSuffix(got[0], want) {
		t.Errorf("%d lines, %q", len(got), got[0])
	}
	few, none := NewRequestLog(slog.New(slog.DiscardHandler), 1, 1), NewRequestLog(nil, 0, 0)
	wanted := 0
	for range 1000 {
		if few.Allow() {
			wanted++
		}
		if none.Allow() {
			t.Fatal("a part of 0 takes one")
		}
	}
	if wanted == 0 || wanted > 100 { // one a second
		t.Errorf("%d wanted", wanted)
	}
}
