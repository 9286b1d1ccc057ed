package scheduler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestTransferTime(t *testing.T) {
	tests := []struct {
		name      string
		tokens    int
		crossZone bool
		linkMbps  float64
		want      float64
	}{
		{"within a zone", 5000, false, 100000, 8},
		{"between zones", 5000, true, 100000, 16},
		{"unknown speed of links", 5000, true, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := modelService()
			service.Engine.LinkMbps = test.linkMbps
			qt.Check(t, newServicePool(service).transferTime(test.tokens, test.crossZone), isNear, test.want, 1e-6)
		})
	}
}
