package routertrial

import (
	"bytes"
	"fmt"
	"io"

	"cresshub/internal/testbed/routerstandin"
)

// logOf returns where the log of a machine's process goes, nil for nowhere.
func (f *Fleet) logOf(name string) io.Writer {
	if f.options.Log == nil && !f.options.FaultInjection {
		return nil
	}
	return &namedLog{fleet: f, name: name}
}

// namedLog prefixes each line with the time of the trial and the name of a machine. Each Write is a line. It
// ignores errors of the log, so that a full disk of the trial does not disturb the processes.
type namedLog struct {
	fleet *Fleet
	name  string
}

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

// faultPatterns occur in log lines that report a fault of the program itself.
var faultPatterns = [][]byte{[]byte(`"message":"invariant `), []byte(panicMessage)}

// panicMessage begins the message with which the data plane logs a panic.
const panicMessage = "front: panic while serving a client"

// recordFaultIn records a log line that reports a fault of the program itself.
func (f *Fleet) recordFaultIn(name string, line []byte) {
	for _, pattern := range faultPatterns {
		if bytes.Contains(line, pattern) {
			f.Observations.RecordViolation(routerstandin.RuleInvariant, "%s: %s", name, bytes.TrimSpace(line))
		}
	}
}
