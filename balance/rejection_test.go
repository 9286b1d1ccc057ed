package balance

import (
	"fmt"
	"testing"
	"time"
)

// If the reported queues take up much of a latency target and such a queue delay was observed, all requests
// are rejected, however many arrive. If only the reports show it, few are.
func TestOverloadRejectsAllRequests(t *testing.T) {
	for _, overload := range []bool{true, false} {
		b := newBalancer(t, plainSettings(), 0, serverList(4, nil))
		for _, s := range b.servers {
			s.hasReport, s.inFlight = true, 9
		}
		if overload {
			b.queueDelay = 0.2
		}
		accepted := 0
		for i := range 200 {
			if sendRequest(b, 0, fmt.Sprint(i), 0) != 0 {
				accepted++
			}
		}
		if overload && accepted > 0 || !overload && accepted < 150 {
			t.Errorf("overload %v: %d of 200 accepted", overload, accepted)
		}
	}
}

// Delays at a single server, which the reports of the others don't confirm, are no reason to reject
// requests for the others.
func TestOneUnhealthyServerIsNotAnOverload(t *testing.T) {
	for inFlight, want := range map[float64]bool{0: false, 20: true} {
		b := newBalancer(t, plainSettings(), 0, serverList(4, nil))
		for _, s := range b.servers {
			s.hasReport, s.inFlight = true, inFlight
		}
		b.queueDelay = 0.2
		if got := b.fleetQueueDelay(0) > 0.1; got != want {
			t.Errorf("%v in flight at every server: queue delay %v s", inFlight, b.fleetQueueDelay(0))
		}
		r, a := &request{}, &attempt{server: b.servers[0], freshReport: true}
		for range 20 {
			b.updateForecastMissRate(r, a, time.Second, Done)
		}
		if b.reportLag() != 0 {
			t.Errorf("one slow server raised the report lag to %v s", b.reportLag())
		}
	}
}

// A balancer that probes servers one at a time must not reject requests because of the delay of one
// unhealthy server.
func TestCostlyProbesRejectByReportedDelay(t *testing.T) {
	b := newBalancer(t, costlyProbeSettings(), 0, serverList(60, nil))
	rejected := 0
	for i := range 300 {
		latency := 50 * time.Millisecond
		if i%10 == 0 {
			latency = 900 * time.Millisecond
		}
		if to, _ := requestWithProbes(b, time.Duration(i+1)*time.Second, i, i, 0, latency); to == 0 {
			rejected++
		}
	}
	if rejected > 3 {
		t.Errorf("%d of 300 rejected though every server probed was idle", rejected)
	}
}

// A rejection has a retry delay of at most MaxRetryAfter where clients receive it; a failure has none.
func TestRejectionSendsRetryAfter(t *testing.T) {
	for _, c := range []struct {
		name       string
		sends      bool
		queueDelay float64
		mayHaveRun bool
		kind       ActionKind
		min, max   time.Duration
	}{
		{"no queue delay", true, 0, false, Reject, 0, 0},
		{"queue delay", true, 0.1, false, Reject, 200 * time.Millisecond, 600 * time.Millisecond},
		{"overload", true, 30, false, Reject, time.Second, time.Second},
		{"not sent to clients", false, 30, false, Reject, 0, 0},
		{"failed", true, 30, true, Fail, 0, 0},
	} {
		settings := Settings{SendsRetryAfter: c.sends, MaxRetryAfter: time.Second,
			Classes: []Class{{LatencyTarget: time.Second, Deadline: time.Second, Effect: AtMostOnce}}}
		b, err := New(settings, 0)
		if err != nil {
			t.Fatal(err)
		}
		b.queueDelay = c.queueDelay
		r := &request{Request: Request{ID: "x"}, attempts: []attempt{{mayHaveRun: c.mayHaveRun}}}
		a := b.rejectOrFail(0, r, nil)[0]
		if a.Kind != c.kind || a.Wait < c.min || a.Wait > c.max {
			t.Errorf("%s: %v after %v", c.name, a.Kind, a.Wait)
		}
	}
}
