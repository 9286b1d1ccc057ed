package routertrial

import (
	"bytes"
	"context"
	"strconv"
)

// ServerVerdicts are what the processes that run at the end of a soak have held against model servers since
// their start. Where no fault hits a server, all of it is wrong.
type ServerVerdicts struct {
	MarkedLost int `json:"marked_lost"`
	Ejected    int `json:"ejected"`
	TimedOut   int `json:"timed_out"` // calls
}

// The metrics that the verdicts are read from, and labels that their lines have.
const (
	lostMetric     = "cresshub_marked_lost_total{"
	lostServer     = `kind="server"`
	ejectedMetric  = "cresshub_ejections_total"
	callsMetric    = "cresshub_server_calls_total{"
	timedOutServer = `outcome="timed_out"`
)

// serverVerdicts sums up the metrics of all machines that answer.
func (s *soak) serverVerdicts(ctx context.Context) (sum ServerVerdicts) {
	for _, m := range s.Machines {
		page := m.get(ctx, "/metrics")
		sum.MarkedLost += sumOfMetric(page, lostMetric, lostServer)
		sum.Ejected += sumOfMetric(page, ejectedMetric, "")
		sum.TimedOut += sumOfMetric(page, callsMetric, timedOutServer)
	}
	return sum
}

// sumOfMetric sums up the lines of a page that begin with a metric and have a label.
func sumOfMetric(page []byte, metric, label string) (sum int) {
	for line := range bytes.Lines(page) {
		line = bytes.TrimSpace(line)
		if !bytes.HasPrefix(line, []byte(metric)) || !bytes.Contains(line, []byte(label)) {
			continue
		}
		value := line[bytes.LastIndexByte(line, ' ')+1:]
		if n, err := strconv.Atoi(string(value)); err == nil {
			sum += n
		}
	}
	return sum
}
