package routertrial

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"cresshub/internal/router/controlclient"
	"cresshub/internal/testbed/routerstandin"
)

const (
	metricsInterval = 400 * time.Millisecond
	callTimeout     = time.Second
)

// readConfigurations reads the configuration from random machines, faulty or not, and checks what they show.
func (s *soak) readConfigurations(ctx context.Context) {
	for routerstandin.Sleep(ctx, readInterval) {
		s.readFrom(ctx, s.Machines[rand.IntN(len(s.Machines))])
	}
}

// readFrom reads from one machine, and reports whether it showed a configuration.
func (s *soak) readFrom(ctx context.Context, m *Machine) bool {
	asked := time.Now()
	answer := m.get(ctx, "/api/config")
	if answer == nil {
		return false
	}
	s.Observations.CheckRead(m.Name, asked, answer)
	return true
}

// get returns the body of a GET at a machine's control address, nil unless it is answered with 200.
func (m *Machine) get(ctx context.Context, path string) []byte {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := controlclient.Do(bounded, m.Control, controlclient.Call{Method: "GET", Target: path})
	if err != nil || answer.Status != 200 {
		return nil
	}
	return answer.Body
}

// readBackEverywhere checks that each machine shows the newest configuration at the end.
func (s *soak) readBackEverywhere(ctx context.Context) error {
	for _, m := range s.Machines {
		err := s.await(ctx, m.Name+" shows the configuration", recoveryBound, func() string {
			if !s.readFrom(ctx, m) {
				return "no clear answer"
			}
			return ""
		})
		if err != nil {
			s.Observations.RecordViolation(routerstandin.RuleConfig, "%v", err)
			return err
		}
	}
	return s.Operator.ReadBack(ctx)
}

// watchMetrics looks for broken invariants in the metrics of all machines.
func (s *soak) watchMetrics(ctx context.Context) {
	for routerstandin.Sleep(ctx, metricsInterval) {
		for _, m := range s.Machines {
			s.checkInvariantMetrics(m, m.get(ctx, "/metrics"))
		}
	}
}

// violationsMetric begins the lines of the metric that counts broken invariants, one for each check.
const violationsMetric = "cresshub_invariant_violations_total{"

// checkInvariantMetrics records a violation for each broken invariant that a page of metrics counts, and for
// a page without the counts: if the metric got another name, nobody would notice a violation. A machine that
// did not answer has no page, which breaks no rule here.
func (f *Fleet) checkInvariantMetrics(m *Machine, page []byte) {
	if page == nil {
		return
	}
	checks := 0
	for line := range bytes.Lines(page) {
		line = bytes.TrimSpace(line)
		if !bytes.HasPrefix(line, []byte(violationsMetric)) {
			continue
		}
		checks++
		if !bytes.HasSuffix(line, []byte(" 0")) {
			f.Observations.RecordViolation(routerstandin.RuleInvariant, "%s reports %s", m.Name, line)
		}
	}
	if checks == 0 {
		f.Observations.RecordViolation(routerstandin.RuleInvariant, "%s does not report %s...}", m.Name,
			violationsMetric)
	}
}

// maxIdleGoroutines is how many goroutines an idle process may have.
const maxIdleGoroutines = 200

// checkLeaks checks that each process has released the memory, connections and goroutines of requests. The
// load must have ended.
func (s *soak) checkLeaks(ctx context.Context) error {
	for _, client := range s.clients {
		client.Close()
	}
	for _, m := range s.Machines {
		err := s.await(ctx, m.Name+" gives back what it took", recoveryBound, func() string {
			return leaked(m.get(ctx, "/metrics"))
		})
		if err != nil {
			s.Observations.RecordViolation(routerstandin.RuleFault, "%v", err)
			return err
		}
	}
	return nil
}

// leaked returns which metric of a page shows a leak, "" for none.
func leaked(page []byte) string {
	for name, limit := range map[string]float64{
		"cresshub_body_bytes": 0, "cresshub_clients": 0, "cresshub_goroutines": maxIdleGoroutines,
	} {
		value, ok := metricValue(page, name)
		if !ok || value > limit {
			return fmt.Sprintf("%s is %v, %v is the most", name, value, limit)
		}
	}
	return ""
}

// metricValue returns a metric without labels.
func metricValue(page []byte, name string) (value float64, ok bool) {
	for line := range bytes.Lines(page) {
		text, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte(name+" "))
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(string(text), 64)
		return value, err == nil
	}
	return 0, false
}
