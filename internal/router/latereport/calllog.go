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
	readRole = "read"
	served   = "served"
)

// message marks the lines of calls.
const message = "front: call"

// longestLine bounds a line in bytes; longer ones are no lines of a proxy.
const longestLine = 1 << 20

// Call is one call to a server, as a proxy logged its end.
type Call struct {
	Try      string  `json:"try"`
	Route    string  `json:"route"`
	Target   float64 `json:"target_ms"` // of the route
	Server   string  `json:"server"`
	Role     string  `json:"role"`
	Outcome  string  `json:"outcome"`
	Shared   string  `json:"shared"` // name of what the prompt shares, 0 for nothing
	Prompt   int     `json:"prompt"` // tokens
	Reads    int     `json:"reads"`  // tokens that the proxy took the server to have to read
	Expected float64 `json:"expected_ms"`
	At       float64 `json:"at_ms"` // after the request's arrival
	Event    float64 `json:"event_ms"`
	Took     float64 `json:"took_ms"`
	Message  string  `json:"message"`
}

// Read returns the calls of a log in their order. Lines of other kinds are passed over, and what stands
// before the JSON object of a line.
func Read(log io.Reader) ([]Call, error) {
	var calls []Call
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		line := lines.Bytes()
		begin := bytes.IndexByte(line, '{')
		if begin < 0 || !bytes.Contains(line, []byte(message)) {
			continue
		}
		var call Call
		if json.Unmarshal(line[begin:], &call) == nil && call.Message == message {
			calls = append(calls, call)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("the log can't be read: %w; give the log of a process, a line each", err)
	}
	return calls, nil
}
