package dataplane

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"cresshub/internal/metrics"
	"cresshub/internal/router/catalog"
)

// logLines is a log that tests read.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// first returns the fields of the first line with a message.
func (l *logLines) first(c *qt.C, message string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		fields := map[string]any{}
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil)
		if fields["message"] == message {
			return fields
		}
	}
	c.Fatalf("no line %q in:\n%s", message, l.text.String())
	return nil
}

// TestFailedRequestIsLoggedWithItsCalls: log and metrics say of a request that was not served where it was
// sent, how each call ended, and why nothing more was tried.
func TestFailedRequestIsLoggedWithItsCalls(t *testing.T) {
	log := &logLines{}
	broken := newServer(t, "a", "lookup", "", breakOff)
	r := newRig(t, nil, broken)
	r.proxy.log = zerolog.New(log)
	r.proxy.observer.setLogger(r.proxy.log)
	answer := r.dial().ask("POST", "/unsafe/x", "try-1", "")
	r.Assert(answer.Status, qt.Equals, 502)
	line := log.first(r.C, "front: request not served")
	r.Check(line["try"], qt.Equals, "try-1")
	r.Check(line["route"], qt.Equals, "unsafe")
	r.Check(line["reason"], qt.Equals, "may_have_run")
	calls := line["calls"].([]any)
	r.Assert(calls, qt.HasLen, 1)
	call := calls[0].(map[string]any)
	r.Check(call["server"], qt.Equals, "a")
	r.Check(call["outcome"], qt.Equals, "broken")
	r.Check(call["fate"], qt.Equals, "may_have_run")
	page := &metrics.Page{}
	r.proxy.WriteMetrics(page)
	for _, figure := range []string{
		`cresshub_requests_unserved_total{ending="failed",reason="may_have_run"} 1`,
		`cresshub_server_calls_total{role="serve",outcome="broken"} 1`,
		`cresshub_request_duration_seconds_count 1`,
	} {
		r.Check(string(page.Text()), qt.Contains, figure+"\n")
	}
}

// TestLoggedReasonIsTheFinalOne: that no server could prefill the prompt is not why the request ends, where
// it went on without.
func TestLoggedReasonIsTheFinalOne(t *testing.T) {
	log := &logLines{}
	reader := newServer(t, "r", "language", catalog.Prefill, status(503, notRunHeader+": full"))
	writer := newServer(t, "w", "language", catalog.Decode, breakOff)
	r := newRig(t, nil, reader, writer)
	r.proxy.log = zerolog.New(log)
	r.proxy.observer.setLogger(r.proxy.log)
	r.Assert(r.dial().ask("POST", "/modelfirm/x", "try-1", "").Status, qt.Equals, 502)
	line := log.first(r.C, "front: request not served")
	r.Check(line["reason"], qt.Equals, "may_have_run")
	r.Check(line["calls"], qt.HasLen, 2)
}
