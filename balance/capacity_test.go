package balance

import (
	"testing"
	"time"
)

// Where many requests share a core, the queue stays empty long after the cores are busy. Latencies of such
// a server must not count as uncontended, or the service time estimate grows with the load.
func TestBusySharedCoresAreNotUncontended(t *testing.T) {
	for inFlight, want := range map[float64]bool{0: true, 1: true, 7: false} {
		b := newBalancer(t, plainSettings(), 0, serverList(1, nil))
		s := b.servers[0]
		s.hasReport, s.inFlight = true, inFlight
		r := &request{Request: Request{ID: "a", Deadline: time.Second}}
		for len(r.attempts) == 0 { // startAttempt may reject the request, as the limit is soft
			b.startAttempt(0, r, nil)
		}
		if r.attempts[0].uncontended != want {
			t.Errorf("%v in flight: uncontended %v", inFlight, r.attempts[0].uncontended)
		}
	}
}

// Short responses, such as those for cached keys, must not raise the estimated concurrency of servers.
func TestShortResponsesDoNotRaiseConcurrency(t *testing.T) {
	b := newBalancer(t, costlyProbeSettings(), 0, serverList(1, nil))
	s := b.servers[0]
	b.serviceTime(0, 0).mean, b.concurrency = 0.060, 2
	for i := range 2000 {
		b.serviceTime(0, 0).mean = 0.060
		x := 0.018 // six requests on two cores, every other one short: 180 ms on average
		if i%2 == 0 {
			x = 0.342
		}
		b.recordServiceTime(0, &attempt{server: s, requestsAhead: 5}, time.Duration(x*1e9))
	}
	if b.concurrency < 1.7 || b.concurrency > 2.3 {
		t.Errorf("concurrency %.2f, want about 2", b.concurrency)
	}
}
