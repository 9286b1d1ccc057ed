package routertrial

import (
	"bytes"
	"fmt"

	"cresshub/internal/testbed/routerstandin"
)

// namedLog takes the log of a machine's process, a line with each Write. It looks for faults of the program
// in each line, and copies the line to the log of the trial, where there is one, with the time of the trial
// and the machine's name before it. It ignores errors of that log, so that a full disk of the trial does not
// disturb the processes.
type namedLog struct {
	fleet *Fleet
	name  string
}

// logOf returns where the log of a machine's process goes.
func (f *Fleet) logOf(name string) *namedLog { return &namedLog{fleet: f, name: name} }

// Write implements io.Writer.
func (l *namedLog) Write(line []byte) (int, error) {
	l.fleet.recordFaultIn(l.name, line)
	if l.fleet.options.Log == nil {
		return len(line), nil
	}
	l.fleet.logMu.Lock()
	defer l.fleet.logMu.Unlock()
	_, _ = fmt.Fprintf(l.fleet.options.Log, "%8.3f s %s %s", l.fleet.elapsed().Seconds(), l.name, line)
	return len(line), nil
}

// The messages with which a process logs a fault of the program itself. They repeat the router's own, which
// the tests compare with its source.
const (
	// clientPanicMessage begins the message of a panic while a client's request is served.
	clientPanicMessage = "front: panic while serving a client"
	// handlerPanicMessage is the message of a panic in the handler of a call at the control address.
	handlerPanicMessage = "agent: handler panicked"
	// invariantMessage begins the message of a violated invariant.
	invariantMessage = "invariant "
)

// faultPatterns occur in log lines that report a fault of the program itself.
var faultPatterns = [][]byte{
	[]byte(`"message":"` + invariantMessage),
	[]byte(clientPanicMessage),
	[]byte(handlerPanicMessage),
}

// recordFaultIn records a violation for a log line that reports a fault of the program itself.
func (f *Fleet) recordFaultIn(name string, line []byte) {
	for _, pattern := range faultPatterns {
		if bytes.Contains(line, pattern) {
			f.Observations.RecordViolation(routerstandin.RuleInvariant, "%s: %s", name, bytes.TrimSpace(line))
		}
	}
}
