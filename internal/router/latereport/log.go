// Package latereport finds out why responses of model services were late, from the lines that proxies log for
// each call to a model server at debug level. Operators use it by `cresshub-fleet late`, experiments by its
// functions; no process of the fleet depends on it.
//
// A request takes one or more calls: usually a prefill call, which reads the prompt, and a decode call, which
// makes the response; before and between them may be calls that failed. ParseLog returns the calls of a log,
// and Summarize groups those of one or several proxies by request and attributes each late response to the
// part that took most of its time. Both are pure functions.
package latereport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// The role and the outcome of calls that the summary distinguishes, as they are logged. Processes of earlier
// releases logged prefill as earlierRolePrefill.
const (
	rolePrefill        = "prefill"
	earlierRolePrefill = "read"
	outcomeServed      = "served"
)

// noSharedPrefix is the SharedPrefix of a prompt that shares none.
const noSharedPrefix = "0"

// callMessage is the message of the log lines of calls.
const callMessage = "front: call"

// maxLineBytes bounds a line of the log.
const maxLineBytes = 1 << 20

// Call is a call to a model server, as the proxy logged its end. Times are in milliseconds.
type Call struct {
	AttemptID     string  `json:"try"` // of the request, as the client numbers its attempts
	Route         string  `json:"route"`
	TargetMs      float64 `json:"target_ms"` // latency target of the route, 0 for none
	Server        string  `json:"server"`
	Role          string  `json:"role"`
	Outcome       string  `json:"outcome"`
	SharedPrefix  string  `json:"shared"` // identifies the prefix that prompts share, or noSharedPrefix
	PromptTokens  int     `json:"prompt"`
	PrefillTokens int     `json:"prefill_tokens"` // that the proxy expected the server not to have cached
	ExpectedMs    float64 `json:"expected_ms"`
	StartMs       float64 `json:"at_ms"`    // since the arrival of the request
	FirstEventMs  float64 `json:"event_ms"` // since the start of the call, 0 for a response without events
	DurationMs    float64 `json:"took_ms"`
	Message       string  `json:"message"`
}

// earlierCall has what processes of earlier releases logged under other names.
type earlierCall struct {
	PrefillTokens int `json:"reads"`
}

// parseCall reads the line of a call, of this release or an earlier one; false if it is none.
func parseCall(line []byte) (Call, bool) {
	var call Call
	if json.Unmarshal(line, &call) != nil || call.Message != callMessage {
		return Call{}, false
	}
	var earlier earlierCall
	if json.Unmarshal(line, &earlier) == nil && earlier.PrefillTokens > 0 {
		call.PrefillTokens = earlier.PrefillTokens
	}
	if call.Role == earlierRolePrefill {
		call.Role = rolePrefill
	}
	return call, true
}

// ParseLog returns the calls of a log in their order. It skips all other lines, and whatever precedes the
// JSON object of a line. Its error is that of the reader, or bufio.ErrTooLong.
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
		if call, ok := parseCall(line[start:]); ok {
			calls = append(calls, call)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("the log can't be read: %w; give the log of a process, a line each", err)
	}
	return calls, nil
}
