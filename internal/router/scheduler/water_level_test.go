package scheduler

import (
	"math"
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func testServer(others float64, reportedAt time.Duration) *serverState {
	s := newServerState(0, &catalog.Server{ID: "a", Slots: 10, Role: catalog.Decode})
	s.reportedOthers, s.baselineOthers = others, movingMean{others, 1}
	s.reportedAt, s.hasReport = reportedAt, true
	return s
}

func TestOthersDecayTowardsTheBaseline(t *testing.T) {
	const service, parallel, average = 100.0, 1.0, 2.0
	usual := (average*baselinePrior + 8*1) / (baselinePrior + 1)
	tau := decayServiceTimes * (1 + 8.0) * service
	tests := []struct {
		age  time.Duration
		want float64
	}{
		{0, 8},
		{duration(tau), usual + (8-usual)/math.E},
		{duration(2 * tau), usual + (8-usual)/math.E/math.E},
		{time.Hour, usual},
	}
	for _, test := range tests {
		t.Run(test.age.String(), func(t *testing.T) {
			got := testServer(8, second).estimatedOthers(second+test.age, average, parallel, service)
			qt.Check(t, got, isNear, test.want, 1e-6)
		})
	}
}

func TestServerWithoutReportHasTheMeanOfTheOthers(t *testing.T) {
	c := qt.New(t)
	unknown := newServerState(0, &catalog.Server{ID: "b"})
	all := []*serverState{testServer(2, 0), testServer(4, 0), unknown}
	c.Check(meanReportedOthers(all), qt.Equals, 3.0)
	c.Check(unknown.estimatedOthers(second, meanReportedOthers(all), 1, 100), qt.Equals, 3.0)
	c.Check(meanReportedOthers([]*serverState{unknown}), qt.Equals, 0.0)
}

func TestOwnCallsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	s := testServer(0, 0)
	early, late := &Call{startedAt: second}, &Call{startedAt: 3 * second}
	s.beginCall(early)
	s.beginCall(late)
	s.recordReport(2*second, Load{Running: 3, Waiting: 1, Slots: 10})
	c.Check(s.reportedOthers, qt.Equals, 3.0, qt.Commentf("four reported, one of them this proxy's"))
	s.recordReport(4*second, Load{Running: 1, Slots: 10})
	c.Check(s.reportedOthers, qt.Equals, 0.0, qt.Commentf("fewer reported than this proxy has"))
	s.recordReport(3*second, Load{Running: 9, Slots: 10})
	c.Check(s.reportedOthers, qt.Equals, 0.0, qt.Commentf("an older report"))
	s.endCall(5*second, early)
	c.Check(s.calls, qt.HasLen, 1)
}

func TestOwnPrefillWorkShrinksWhileItRuns(t *testing.T) {
	s := testServer(0, 0)
	first, second, third := &Call{prefillMs: 100}, &Call{prefillMs: 200}, &Call{prefillMs: 100}
	for _, call := range []*Call{first, second, third} {
		s.beginCall(call)
	}
	tests := []struct {
		name  string
		now   time.Duration
		ended *Call
		want  float64
	}{
		{"at once", 0, nil, 400},
		{"after a while", 60 * time.Millisecond, nil, 340},
		{"no less than a quarter", 900 * time.Millisecond, nil, 100},
		{"one has ended", time.Second, first, 300},
		{"the next runs", 1100 * time.Millisecond, nil, 200},
		{"it has ended", 1200 * time.Millisecond, second, 100},
		{"all have ended", 1300 * time.Millisecond, third, 0},
		{"long after", time.Minute, nil, 0},
	}
	for _, test := range tests {
		if test.ended != nil {
			s.endCall(test.now, test.ended)
		}
		qt.Check(t, s.remainingPrefillMs(test.now), isNear, test.want, 1e-6, qt.Commentf(test.name))
	}
}

func TestQueueEstimates(t *testing.T) {
	p := newServicePool(modelService())
	p.prefillTime, p.timePerToken = newLinearFit(10, 0.02, 1000, 1), newLinearFit(5, 0.5, 10, 1)
	p.prefillTokens, p.outputTokens = movingMean{2000, 1}, movingMean{20, 1}
	const now = second
	reading, running := testServer(2, now), testServer(4, now)
	late, direct := testServer(0, now), testServer(0, now)
	reading.beginCall(&Call{prefillMs: 80, startedAt: now})
	reading.ownPrefillAt = now
	running.beginCall(&Call{startedAt: now})
	late.lateness = lateness{50, now}
	direct.beginCall(&Call{prefillMs: 70, startedAt: now})
	direct.ownPrefillAt = now
	tests := []struct {
		name string
		role Role
		s    *serverState
		want float64
	}{
		{"prefill: own work and others' calls", Prefill, reading, 80 + 2*(10+0.02*2000)},
		{"decode: calls over slots, each as slow as they are many", Decode, running, 20 * (5 + 0.5*5) * 5 / 10},
		{"decode: lateness", Decode, late, 50},
		{"decode: prefills there do not count", Decode, direct, 20 * (5 + 0.5*1) / 10},
		{"serve: prefills there do", Serve, direct, 70 + 20*(5+0.5*1)/10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := candidate{serverState: test.s}
			p.estimateQueue(now, test.role, 0, &x)
			qt.Check(t, x.queueMs, isNear, test.want, 1e-6)
		})
	}
}

func TestQueueEstimateWithoutModel(t *testing.T) {
	p := newServicePool(plainService())
	p.plainTime = movingMean{40, 1}
	x := candidate{serverState: testServer(5, second)}
	p.estimateQueue(second, Serve, 0, &x)
	qt.Check(t, x.queueMs, isNear, 40.0*5/10, 1e-6)
}

func TestDirectPrefillsOfPeers(t *testing.T) {
	p := newServicePool(modelService())
	p.directPrefillMs, p.directCalls = movingMean{30, 1}, movingMean{0.5, 1}
	tests := []struct{ others, want float64 }{{0, 0}, {0.5, 30}, {4.5, 270}}
	for _, test := range tests {
		qt.Check(t, p.peerDirectPrefillMs(test.others), isNear, test.want, 1e-6)
	}
}

func TestTransferTime(t *testing.T) {
	tests := []struct {
		name     string
		tokens   int
		between  bool
		megabits float64
		want     float64
	}{
		{"within a zone", 5000, false, 100000, 8},
		{"between zones", 5000, true, 100000, 16},
		{"unknown links", 5000, true, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := modelService()
			service.Engine.LinkMbps = test.megabits
			qt.Check(t, newServicePool(service).transferTime(test.tokens, test.between), isNear, test.want, 1e-6)
		})
	}
}

func TestFullServers(t *testing.T) {
	const service = 100.0
	reported := func(busy float64, age time.Duration) *candidate {
		return &candidate{serverState: testServer(busy, 10*second-age)}
	}
	rejecting := reported(0, 0)
	rejecting.outliers.fullUntil = 10*second + 1
	own := &candidate{serverState: newServerState(0, &catalog.Server{ID: "a", Slots: 1})}
	own.beginCall(&Call{})
	tests := []struct {
		name string
		c    *candidate
		want bool
	}{
		{"free", reported(9, 0), false},
		{"full just now", reported(10, 90*time.Millisecond), true},
		{"full long ago", reported(10, 5*second), false},
		{"it has just rejected a request", rejecting, true},
		{"own calls take all slots", own, true},
	}
	for _, test := range tests {
		qt.Check(t, test.c.full(10*second, service), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

func TestWeights(t *testing.T) {
	tests := []struct {
		name string
		s    *serverState
		now  time.Duration
		want float64
	}{
		{"listed long ago", &serverState{speed: 1.5}, time.Minute, 1.5},
		{"just listed", &serverState{speed: 1, listedAt: time.Minute}, time.Minute, slowStartMinWeight},
		{"half way", &serverState{speed: 1, listedAt: time.Minute}, time.Minute + slowStartWindow/2,
			(1 + slowStartMinWeight) / 2},
		{"warming up", &serverState{speed: 1, warmAt: 2 * time.Minute}, time.Minute, warmUpWeight},
	}
	for _, test := range tests {
		qt.Check(t, test.s.weight(test.now), isNear, test.want, 1e-6, qt.Commentf(test.name))
	}
}
