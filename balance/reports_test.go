package balance

import (
	"testing"
	"time"
)

// Latencies far beyond the forecasts from fresh reports, on all servers, raise the lag of all reports.
func TestMissedForecastsRaiseReportLag(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(4, nil))
	r := &request{}
	for i := range 40 {
		a := &attempt{server: b.servers[i%4], freshReport: true}
		b.updateForecastMissRate(r, a, 30*time.Millisecond, Done)
	}
	if b.reportLag() != 0 {
		t.Fatalf("lag %v s while latencies match the forecasts", b.reportLag())
	}
	for i := range 20 {
		b.updateForecastMissRate(r, &attempt{server: b.servers[i%4], freshReport: true}, time.Second, Done)
	}
	if b.reportLag() < 1 {
		t.Errorf("lag %v s after 20 missed forecasts, want over 1", b.reportLag())
	}
}

// A probe costs the server work, so none is sent within reportTTL of a report.
func TestReportIsFreshWithinTTL(t *testing.T) {
	settings := plainSettings()
	settings.MayProbe = true
	for after, want := range map[time.Duration]int{reportTTL: 0, reportTTL + 1: 1} {
		b := newBalancer(t, settings, 0, serverList(1, nil))
		b.recordReport(time.Second, b.servers[0], []float64{0, 0, 0})
		probes := 0
		for _, a := range b.Request(time.Second+after, Request{ID: "a", Deadline: time.Minute}, nil) {
			if a.Kind == Probe {
				probes++
			}
		}
		if probes != want {
			t.Errorf("%d probes with a report of %v ago, want %d", probes, after, want)
		}
	}
}
