package balance

import (
	"testing"
	"time"
)

// Where probes are queued like requests, waiting for a probe takes as long as being served.
func TestRequestsDoNotWaitForSlowProbes(t *testing.T) {
	settings := plainSettings()
	settings.MayProbe = true
	for probeTime, want := range map[float64]bool{0.001: false, 0.2: true} {
		b := newBalancer(t, settings, 0, serverList(3, nil))
		b.probeTime = probeTime
		probes, sent := 0, false
		for _, a := range b.Request(time.Second, Request{ID: "a", Deadline: time.Minute}, nil) {
			sent = sent || a.Kind == Send
			if a.Kind == Probe {
				probes++
			}
		}
		if sent != want || probes == 0 {
			t.Errorf("probes take %v s: sent at once %v, %d probes", probeTime, sent, probes)
		}
	}
}

func TestCostlyProbesAreSentOneByOne(t *testing.T) {
	for inFlight, want := range map[float64][2]float64{0: {0.25, 0.5}, 4: {1.5, 2}} { // probes per request
		b := newBalancer(t, costlyProbeSettings(), 0, serverList(60, nil))
		probes, sent := 0, 0
		for i := range 400 { // no report is fresh; requests rejected before a probe don't count
			if to, asked := requestWithProbes(b, time.Duration(i+1)*time.Second, i, i, inFlight, 0); to != 0 {
				probes, sent = probes+asked, sent+1
			}
		}
		if got := float64(probes) / float64(sent); sent == 0 || got < want[0] || got > want[1] {
			t.Errorf("%v in flight per server: %v probes per request, of %d sent, want %v", inFlight, got, sent, want)
		}
	}
}
