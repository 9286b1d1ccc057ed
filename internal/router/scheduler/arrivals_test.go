package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestMeanReportAgeIsBounded(t *testing.T) {
	const serviceMs = 100.0
	now := 10 * second
	reportedAgo := func(age time.Duration) candidate { return candidate{serverState: testServer(0, now-age)} }
	unknown := candidate{serverState: &serverState{}}
	tests := []struct {
		name string
		all  []candidate
		want float64
	}{
		{"none", nil, 0},
		{"just reported", []candidate{reportedAgo(0), reportedAgo(0)}, 0},
		{"the mean of the ages", []candidate{
			reportedAgo(20 * time.Millisecond), reportedAgo(60 * time.Millisecond),
		}, 40},
		{"at most maxAgeServiceTimes service times", []candidate{reportedAgo(5 * second), reportedAgo(0)},
			maxAgeServiceTimes * serviceMs / 2},
		{"a server without a report has the maximum age", []candidate{unknown}, maxAgeServiceTimes * serviceMs},
	}
	for _, test := range tests {
		qt.Check(t, meanReportAge(now, serviceMs, test.all), isNear, test.want, 1e-6, qt.Commentf(test.name))
	}
}

func TestAssumedUtilizationIsAnOverestimate(t *testing.T) {
	tests := []struct{ observed, want float64 }{
		{0, minUtilization}, {0.1, minUtilization}, {0.6, 0.6 * utilizationMargin}, {0.9, 1}, {1, 1},
	}
	for _, test := range tests {
		qt.Check(t, assumedUtilization(&movingMean{test.observed, 1}), isNear, test.want, 1e-9)
	}
}

func TestArrivalsAreAgeTimesUtilizationTimesServers(t *testing.T) {
	p := newServicePool(plainService())
	p.plainServiceTime, p.serveUtilization = movingMean{100, 1}, movingMean{0.6, 1}
	now := 10 * second
	reported := candidate{serverState: testServer(0, now-50*time.Millisecond)}
	qt.Check(t, expectedArrivals(now, p, Serve, []candidate{reported, reported}, 2), isNear, 50*0.75*2, 1e-6)
	qt.Check(t, expectedArrivals(now, p, Serve, []candidate{reported, reported}, 1), isNear, 50*0.75, 1e-6)
}
