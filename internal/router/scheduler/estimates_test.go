package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPrefillWorkOfPeersAtDecodeServers(t *testing.T) {
	p := newServicePool(modelService())
	p.directPrefillMs, p.directCalls = movingMean{30, 1}, movingMean{0.5, 1}
	tests := []struct{ peerCalls, want float64 }{{0, 0}, {0.5, 30}, {4.5, 270}}
	for _, test := range tests {
		qt.Check(t, p.peerDirectPrefillMs(test.peerCalls), isNear, test.want, 1e-6)
	}
}

func TestUtilizationFollowsReports(t *testing.T) {
	c := qt.New(t)
	scheduler := modelScheduler(1, 1, 1)
	scheduler.Split(0, promptRequest("a", 0))
	p := scheduler.pools["model"]
	p.prefillUtilization, p.serveUtilization = movingMean{}, movingMean{}
	for i := range 4 { // the prefill server has other calls in every second report
		scheduler.ObserveLoad(second, "r0", Load{Running: i % 2 * 3, Slots: 32})
		scheduler.ObserveLoad(second, "w0", Load{Running: 8, Slots: 32})
	}
	c.Check(p.prefillUtilization.value, isNear, 0.5, 1e-9)
	c.Check(p.serveUtilization.value, isNear, 0.25, 1e-9)
}
