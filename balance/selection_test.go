package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestDrawFollowsProbabilities(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(3, nil))
	b.candidates = []candidate{{server: b.servers[0], probability: .5}, {server: b.servers[1], probability: .3},
		{server: b.servers[2], probability: .2}}
	const n = 20000
	var got [4]float64
	for range n {
		got[b.draw().server.ID] += 1. / n
	}
	for i, want := range []float64{.5, .3, .2} { // 0.014 is four standard deviations
		if math.Abs(got[i+1]-want) > 0.014 {
			t.Errorf("server %d: probability %v, want %v", i+1, got[i+1], want)
		}
	}
}

func TestServersWithoutReportsAreSelectedUniformly(t *testing.T) {
	b := newBalancer(t, plainSettings(), 0, serverList(4, nil))
	servers := b.eligible(0, &request{})
	waterFill(b.candidates, b.weighCandidates(0, &request{}, servers, fleetCapacity{4, 4}, false))
	for _, x := range b.candidates {
		if math.Abs(x.probability-.25) > 1e-6 {
			t.Errorf("probability %v, want 0.25", x.probability)
		}
	}
}

// All balancers of a fleet act alike, so a server in slow start gets the same fraction of all arrivals as
// of one balancer's. It must get less than CollapseMultiple times its present capacity even after it reported
// an empty queue, with arrivals at 2.5 times the fleet's capacity and a fifth more for retries.
func TestSlowStartKeepsServerFromCollapse(t *testing.T) {
	for _, start := range []float64{0.16, 0.31} {
		for _, multiple := range []float64{3, 4} {
			settings := plainSettings()
			settings.SlowStartMin, settings.CollapseMultiple = start, multiple
			now := 100 * time.Second
			for _, starting := range []int{1, 2, 8, 16} {
				b := newBalancer(t, settings, now, serverList(16, func(i int, s *Server) {
					if i < starting {
						s.Started = now - time.Second
					}
				}))
				for i, s := range b.servers {
					s.hasReport, s.reportedAt, s.inFlight = true, now, 40
					if i < starting {
						s.inFlight = 0
					}
				}
				servers := b.eligible(now, &request{})
				capacityNow := 0.0
				for _, s := range servers {
					capacityNow += b.slowStartFactor(now, s)
				}
				capacity := fleetCapacity{16, capacityNow}
				waterFill(b.candidates, b.weighCandidates(now, &request{}, servers, capacity, false))
				for _, x := range b.candidates {
					if warm := b.slowStartFactor(now, x.server); warm < 1 {
						if rate := x.probability * 16 * 2.5 * (1 + retryBudgetRatio); rate >= multiple*warm {
							t.Errorf("start %v, multiple %v, %d in slow start: %.2f times its present capacity",
								start, multiple, starting, rate/warm)
						}
					}
				}
			}
		}
	}
}

// Within reportTTL the age of reports has no effect: the least loaded of the probed servers is selected.
// Beyond it the selection probabilities even out.
func TestSelectionEvensOutBeyondReportTTL(t *testing.T) {
	for age, maxCount := range map[time.Duration]int{reportTTL: 0, 100 * reportTTL: 200} {
		b := newBalancer(t, plainSettings(), time.Second, serverList(2, nil))
		got := 0
		for i := range 400 {
			for j, s := range b.servers {
				s.hasReport, s.inFlight, s.reportedAt, s.sentSinceReport = true, float64(4*j), time.Second, 0
			}
			id, now := fmt.Sprint(i), time.Second+age
			to := sendRequest(b, now, id, 1)
			if to == 2 {
				got++
			}
			b.Outcome(now, Outcome{ID: id, Server: to, Result: Skipped, Final: true}, nil)
		}
		if got > maxCount || maxCount > 0 && got < 100 {
			t.Errorf("report age %v: %d of 400 requests went to the server with more in flight", age, got)
		}
	}
}

// Servers in slow start, which probes show idle, get no more requests than their present capacity, even
// where no other servers are left.
func TestProbedServersInSlowStartStayWithinCapacity(t *testing.T) {
	for _, n := range []int{36, 60} {
		now, fraction := 100*time.Second, 0.0
		b := newBalancer(t, costlyProbeSettings(), 0, serverList(60, func(i int, s *Server) {
			if i < n {
				s.Started = now
			}
		}))
		for i := range 6000 {
			at := now + time.Duration(i)*time.Microsecond
			if to, _ := requestWithProbes(b, at, i, i, 0, 0); to >= 1 && int(to) <= n {
				fraction += 1. / 6000
			}
		}
		// If arrivals equal the full capacity of all 60, this fraction loads each to its present capacity.
		if expected := float64(n) * 0.12 / 60; fraction > 1.2*expected || fraction < expected/4 {
			t.Errorf("%d servers in slow start got %.3f of requests, want about %.3f", n, fraction, expected)
		}
	}
}
