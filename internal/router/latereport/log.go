// Package latereport determines why responses of model services were late, from the lines that proxies log at
// debug level for each call to a model server. Operators run it as `cresshub-fleet late`, experiments call
// its functions; no process of the fleet depends on it.
//
// A request takes one or more calls: usually a prefill call, which processes the prompt, and a decode call,
// which generates the response. Failed calls may precede either. ParseLog returns the calls of a log, and
// Summarize groups those of one or several proxies by request and attributes each late response to the part
// of the request that took most of its time. Neither has side effects beyond reading the log.
package latereport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// The role and the outcome of calls that the summary distinguishes, as they are logged. Earlier releases
// logged the role of prefill calls as legacyRolePrefill.
const (
	rolePrefill       = "prefill"
	legacyRolePrefill = "read"
	outcomeServed     = "served"
)

// noSharedPrefix is the SharedPrefix of a prompt that shares no prefix with others.
const noSharedPrefix = "0"

// callMessage is the message of the log lines that report calls.
const callMessage = "front: call"

// maxLineBytes is the maximum length of a line of the log.
const maxLineBytes = 1 << 20

// Call is a call to a model server, as the proxy logged it when it ended. Times are in milliseconds.
type Call struct {
	AttemptID     string  `json:"try"` // of the request, as the client numbers its attempts
	Route         string  `json:"route"`
	TargetMs      float64 `json:"target_ms"` // latency target of the route, 0 for none
	Server        string  `json:"server"`
	Role          string  `json:"role"`
	Outcome       string  `json:"outcome"`
	SharedPrefix  string  `json:"shared"` // identifies the prefix that prompts share, or noSharedPrefix
	PromptTokens  int     `json:"prompt"`
	PrefillTokens int     `json:"prefill_tokens"` // that the proxy expected not to be in the server's cache
	ExpectedMs    float64 `json:"expected_ms"`
	StartMs       float64 `json:"at_ms"`    // since the arrival of the request
	FirstEventMs  float64 `json:"event_ms"` // since the start of the call, 0 for a response without events
	DurationMs    float64 `json:"took_ms"`
	Message       string  `json:"message"`
}

// legacyCall has the fields that earlier releases logged under other names.
type legacyCall struct {
	PrefillTokens int `json:"reads"`
}

// parseCall parses the log line of a call, of this release or an earlier one. It returns false for any other
// line.
func parseCall(line []byte) (Call, bool) {
	var call Call
	if json.Unmarshal(line, &call) != nil || call.Message != callMessage {
		return Call{}, false
	}
	var legacy legacyCall
	if json.Unmarshal(line, &legacy) == nil && legacy.PrefillTokens > 0 {
		call.PrefillTokens = legacy.PrefillTokens
	}
	if call.Role == legacyRolePrefill {
		call.Role = rolePrefill
	}
	return call, true
}

// ParseLog returns the calls of a log in its order. It skips all other lines, and any text before the JSON
// object of a line. Its error wraps that of the reader, or bufio.ErrTooLong.
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
		return nil, fmt.Errorf("the log can't be read: %w; give the log of a process, with one entry per line", err)
	}
	return calls, nil
}
