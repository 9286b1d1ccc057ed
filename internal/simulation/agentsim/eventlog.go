package agentsim

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// maxLines bounds the log; the oldest lines go first.
const maxLines = 600

// eventLog retains the latest lines of the logs of the processes and the test, and which servers were marked
// as lost though they were serving.
type eventLog struct {
	fleet *Fleet

	mu    sync.Mutex
	lines []string
	lost  []lostReport // bounded by the length of a test
}

// lostReport is that a machine marked a server as lost that was serving and that it reached.
type lostReport struct {
	at                      time.Duration
	machine, server, reason string
}

// add adds a line with the present time.
func (l *eventLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf("%9.3f %s", l.fleet.Now().Seconds(), line))
	l.lines = l.lines[max(0, len(l.lines)-maxLines):]
}

// String returns all lines.
func (l *eventLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}

// addLogLine adds a line of a machine's log, and records where it says that a serving server was marked as
// lost.
func (l *eventLog) addLogLine(machine *Machine, line []byte) {
	l.add(machine.Name + ": " + strings.TrimSpace(string(line)))
	var event struct{ ID, Message, Reason string }
	if json.Unmarshal(line, &event) != nil || event.Message != "directory: marked lost" {
		return
	}
	server := l.fleet.serverByID(event.ID)
	if server != nil && server.Serving() && l.fleet.Network.Reaches(machine.IP, server.IP) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lost = append(l.lost, lostReport{l.fleet.Now(), machine.Name, event.ID, event.Reason})
	}
}

// lostSince returns the reports since a time, a line each.
func (l *eventLog) lostSince(since time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lost []string
	for _, report := range l.lost {
		if report.at >= since {
			lost = append(lost, fmt.Sprintf("%v: %s marked %s: %s", report.at, report.machine, report.server,
				report.reason))
		}
	}
	return lost
}

// machineLog is the log of one process.
type machineLog struct {
	machine *Machine
	process *process
}

// Write implements io.Writer. What a killed process still writes is discarded.
func (w *machineLog) Write(line []byte) (int, error) {
	if !w.process.dead.Load() {
		w.machine.fleet.log.addLogLine(w.machine, line)
	}
	return len(line), nil
}
