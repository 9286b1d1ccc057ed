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

// logLines is a log writer whose lines tests read.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// first returns the fields of the first line with that message.
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

// For a request that was not served, the log records where it was sent, how each call ended, and why no
// further attempt was made. The metrics count its outcome and its calls.
func TestFailedRequestIsLoggedWithItsCalls(t *testing.T) {
	log := &logLines{}
	broken := newFakeServer(t, "a", "lookup", "", closeUnanswered)
	rig := newRig(t, nil, broken)
	rig.proxy.log = zerolog.New(log)
	rig.proxy.observer.setLogger(rig.proxy.log)
	response := rig.dial().do("POST", "/unsafe/x", "try-1", "")
	rig.Assert(response.Status, qt.Equals, 502)
	line := log.first(rig.C, "front: request not served")
	rig.Check(line["try"], qt.Equals, "try-1")
	rig.Check(line["route"], qt.Equals, "unsafe")
	rig.Check(line["reason"], qt.Equals, "may_have_run")
	calls := line["calls"].([]any)
	rig.Assert(calls, qt.HasLen, 1)
	call := calls[0].(map[string]any)
	rig.Check(call["server"], qt.Equals, "a")
	rig.Check(call["outcome"], qt.Equals, "broken")
	rig.Check(call["execution"], qt.Equals, "may_have_run")
	page := &metrics.Page{}
	rig.proxy.WriteMetrics(page)
	for _, line := range []string{
		`cresshub_requests_unserved_total{outcome="failed",reason="may_have_run"} 1`,
		`cresshub_server_calls_total{role="serve",outcome="broken"} 1`,
		`cresshub_request_duration_seconds_count 1`,
	} {
		rig.Check(string(page.Text()), qt.Contains, line+"\n")
	}
}

// The logged reason is that of the last attempt. A failed prefill is not the reason if the request continued
// without it.
func TestLoggedReasonIsTheFinalOne(t *testing.T) {
	log := &logLines{}
	prefiller := newFakeServer(t, "r", "language", catalog.Prefill, respondStatus(503, notRunHeader+": full"))
	decoder := newFakeServer(t, "w", "language", catalog.Decode, closeUnanswered)
	rig := newRig(t, nil, prefiller, decoder)
	rig.proxy.log = zerolog.New(log)
	rig.proxy.observer.setLogger(rig.proxy.log)
	rig.Assert(rig.dial().do("POST", "/modelfirm/x", "try-1", "").Status, qt.Equals, 502)
	line := log.first(rig.C, "front: request not served")
	rig.Check(line["reason"], qt.Equals, "may_have_run")
	rig.Check(line["calls"], qt.HasLen, 2)
}
