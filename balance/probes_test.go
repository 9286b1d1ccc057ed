package balance

import (
	"testing"
	"time"
)

// Where probes are queued like requests, to wait for them takes as long as to be served.
func TestSlowProbesAreNotWaitedFor(t *testing.T) {
	settings := plainSettings()
	settings.MayProbe = true
	for probeTime, want := range map[float64]bool{0.001: false, 0.2: true} {
		b := newBalancer(t, settings, 0, fleet(3, nil))
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

func TestCostlyProbesGoOneByOne(t *testing.T) {
	for inFlight, want := range map[float64][2]float64{0: {0.25, 0.5}, 4: {1.5, 2}} { // probes a request
		b := newBalancer(t, costlyProbeSettings(), 0, fleet(60, nil))
		probes, sent := 0, 0
		for i := range 400 { // each finds no fresh report; what is rejected before a probe is left out
			if to, asked := requestWithProbes(b, time.Duration(i+1)*time.Second, i, i, inFlight, 0); to != 0 {
				probes, sent = probes+asked, sent+1
			}
		}
		if got := float64(probes) / float64(sent); sent == 0 || got < want[0] || got > want[1] {
			t.Errorf("%v in flight at servers: %v probes for each of %d sent, want %v", inFlight, got, sent, want)
		}
	}
}
