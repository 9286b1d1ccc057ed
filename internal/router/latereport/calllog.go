// Package latereport reads the log lines that proxies write of each call to a model server, and tells why
// answers were late. It is for operators and experiments; no process of the fleet uses it.
package latereport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// The roles and the outcome of calls that the summary tells apart.
const (
	rolePrefill   = "read"
	outcomeServed = "served"
)

// callMessage marks the lines of calls.
const callMessage = "front: call"

// maxLineBytes bounds a line in bytes; longer ones are no lines of a proxy.
const maxLineBytes = 1 << 20

// Call is one call to a server, as a proxy logged its end.
type Call struct {
	AttemptID     string  `json:"try"`
	Route         string  `json:"route"`
	TargetMs      float64 `json:"target_ms"` // of the route
	Server        string  `json:"server"`
	Role          string  `json:"role"`
	Outcome       string  `json:"outcome"`
	SharedPrefix  string  `json:"shared"` // name of what the prompt shares, 0 for nothing
	PromptTokens  int     `json:"prompt"` // tokens
	PrefillTokens int     `json:"reads"`  // tokens that the proxy took the server to have to read
	ExpectedMs    float64 `json:"expected_ms"`
	StartMs       float64 `json:"at_ms"` // after the request's arrival
	FirstEventMs  float64 `json:"event_ms"`
	DurationMs    float64 `json:"took_ms"`
	Message       string  `json:"message"`
}

// ParseLog returns the calls of a log in their order. Lines of other kinds are passed over, and what stands
// before the JSON object of a line.
func ParseLog(log io.Reader) ([]Call, error) {
	var calls []Call
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 || !bytes.Contains(line, []byte(callMessage)) {
			continue
		}
		var call Call
		if json.Unmarshal(line[start:], &call) == nil && call.Message == callMessage {
			calls = append(calls, call)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("the log can't be read: %w; give the log of a process, a line each", err)
	}
	return calls, nil
}
