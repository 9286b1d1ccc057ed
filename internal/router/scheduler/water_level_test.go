package scheduler

import (
	"math"
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

// testServer returns a server with 10 slots that reported otherCalls calls of other proxies.
func testServer(otherCalls float64, reportedAt time.Duration) *serverState {
	s := newServerState(0, &catalog.Server{ID: "a", Slots: 10, Role: catalog.Decode})
	s.reportedOtherCalls, s.baselineOtherCalls = otherCalls, movingMean{otherCalls, 1}
	s.reportedAt, s.hasReport = reportedAt, true
	return s
}

func TestEstimatedOtherCallsDecayTowardsTheBaseline(t *testing.T) {
	const serviceMs, slots, meanOtherCalls = 100.0, 1.0, 2.0
	baseline := (meanOtherCalls*baselinePrior + 8*1) / (baselinePrior + 1)
	tauMs := decayServiceTimes * (1 + 8.0) * serviceMs
	tests := []struct {
		age  time.Duration
		want float64
	}{
		{0, 8},
		{duration(tauMs), baseline + (8-baseline)/math.E},
		{duration(2 * tauMs), baseline + (8-baseline)/math.E/math.E},
		{time.Hour, baseline},
	}
	for _, test := range tests {
		t.Run(test.age.String(), func(t *testing.T) {
			got := testServer(8, second).estimatedOtherCalls(second+test.age, meanOtherCalls, slots, serviceMs)
			qt.Check(t, got, isNear, test.want, 1e-6)
		})
	}
}

func TestServerWithoutReportHasTheMeanOfReportedServers(t *testing.T) {
	c := qt.New(t)
	unknown := newServerState(0, &catalog.Server{ID: "b"})
	all := []*serverState{testServer(2, 0), testServer(4, 0), unknown}
	c.Check(meanReportedOtherCalls(all), qt.Equals, 3.0)
	c.Check(unknown.estimatedOtherCalls(second, meanReportedOtherCalls(all), 1, 100), qt.Equals, 3.0)
	c.Check(meanReportedOtherCalls([]*serverState{unknown}), qt.Equals, 0.0)
}

func TestQueueEstimates(t *testing.T) {
	p := newServicePool(modelService())
	p.prefillTime, p.timePerToken = newLinearFit(10, 0.02, 1000, 1), newLinearFit(5, 0.5, 10, 1)
	p.prefillTokens, p.outputTokens = movingMean{2000, 1}, movingMean{20, 1}
	const now = second
	prefilling, decoding := testServer(2, now), testServer(4, now)
	late, direct := testServer(0, now), testServer(0, now)
	prefilling.beginCall(&Call{prefillMs: 80, startedAt: now})
	prefilling.ownPrefillAt = now
	decoding.beginCall(&Call{startedAt: now})
	late.lateness = lateness{50, now}
	direct.beginCall(&Call{prefillMs: 70, startedAt: now})
	direct.ownPrefillAt = now
	tests := []struct {
		name string
		role Role
		s    *serverState
		want float64
	}{
		{"prefill: own work and other proxies' calls", Prefill, prefilling, 80 + 2*(10+0.02*2000)},
		{"decode: calls over slots, each slower with more calls", Decode, decoding, 20 * (5 + 0.5*5) * 5 / 10},
		{"decode: lateness", Decode, late, 50},
		{"decode: direct prefills do not count", Decode, direct, 20 * (5 + 0.5*1) / 10},
		{"serve: direct prefills count", Serve, direct, 70 + 20*(5+0.5*1)/10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := candidate{serverState: test.s}
			p.estimateQueue(now, test.role, 0, &c)
			qt.Check(t, c.queueMs, isNear, test.want, 1e-6)
		})
	}
}

func TestQueueEstimateWithoutModel(t *testing.T) {
	p := newServicePool(plainService())
	p.plainServiceTime = movingMean{40, 1}
	c := candidate{serverState: testServer(5, second)}
	p.estimateQueue(second, Serve, 0, &c)
	qt.Check(t, c.queueMs, isNear, 40.0*5/10, 1e-6)
}
