package scheduler

import (
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestFullServers(t *testing.T) {
	const serviceMs = 100.0
	reported := func(otherCalls float64, age time.Duration) *candidate {
		return &candidate{serverState: testServer(otherCalls, 10*second-age)}
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
		{"full by a fresh report", reported(10, 90*time.Millisecond), true},
		{"full by an old report", reported(10, 5*second), false},
		{"it has just rejected a request", rejecting, true},
		{"own calls take all slots", own, true},
	}
	for _, test := range tests {
		qt.Check(t, test.c.full(10*second, serviceMs), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
