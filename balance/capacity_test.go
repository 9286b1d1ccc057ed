package balance

import (
	"testing"
	"time"
)

// Where many requests share a core nothing is queued long after the cores are busy; such latencies must not
// count as uncontended, or the service time grows with load.
func TestSharedCoresAreNotUncontended(t *testing.T) {
	for inFlight, want := range map[float64]bool{0: true, 1: true, 7: false} {
		b := newBalancer(t, plainSettings(), 0, fleet(1, nil))
		s := b.servers[0]
		s.hasReport, s.inFlight = true, inFlight
		r := &request{Request: Request{ID: "a", Deadline: time.Second}}
		for len(r.attempts) == 0 { // the limit of rejection is soft
			b.startAttempt(0, r, nil)
		}
		if r.attempts[0].uncontended != want {
			t.Errorf("%v in flight: uncontended %v", inFlight, r.attempts[0].uncontended)
		}
	}
}

// Short responses, as of cached keys, must not make servers look as if they worked on more at once.
func TestConcurrencyIsNotTheMeanOfInverses(t *testing.T) {
	b := newBalancer(t, costlyProbeSettings(), 0, fleet(1, nil))
	s := b.servers[0]
	b.serviceTime(0, 0).mean, b.concurrency = 0.060, 2
	for i := range 2000 {
		b.serviceTime(0, 0).mean = 0.060
		x := 0.018 // of six on two cores every other is short: 180 ms on average
		if i%2 == 0 {
			x = 0.342
		}
		b.recordServiceTime(0, &attempt{server: s, requestsAhead: 5}, time.Duration(x*1e9))
	}
	if b.concurrency < 1.7 || b.concurrency > 2.3 {
		t.Errorf("concurrency %.2f, want about 2", b.concurrency)
	}
}
