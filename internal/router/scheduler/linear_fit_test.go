package scheduler

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLinearFitFindsTheLine(t *testing.T) {
	tests := []struct {
		name                     string
		base, slope, aboveWeight float64
	}{
		{"like the initial guess", 10, 1.0 / 30, 1}, {"three times as fast", 20, 0.01, 1},
		{"three times as slow", 20, 0.1, 1}, {"fast, with queued prefills", 20, 0.01, queuedSampleWeight},
		{"slow, with queued prefills", 20, 0.1, queuedSampleWeight},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			f := newLinearFit(
				initialPrefillSetupMs, initialPrefillMsPerToken, initialPrefillTokens, test.aboveWeight)
			for range 400 {
				x := 500 + 4000*random.Float64()
				f.add(x, test.base+test.slope*x, 1)
			}
			for _, x := range []float64{1000, 2000, 4000} {
				c.Check(f.at(x)/(test.base+test.slope*x), isNear, 1.0, 0.15)
			}
		})
	}
}

func TestLinearFitFollowsTheFastestSamples(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	f := newLinearFit(initialPrefillSetupMs, initialPrefillMsPerToken, initialPrefillTokens, queuedSampleWeight)
	for range 300 {
		x := 500 + 4000*random.Float64()
		queueMs := 0.0
		if random.IntN(2) == 0 {
			queueMs = 300 * random.ExpFloat64()
		}
		f.add(x, 20+x/50+queueMs, 1)
	}
	c.Check(f.at(3000), isNear, 80.0, 16)
}

func TestLinearFitKeepsItsInitialSlopeWithoutSpread(t *testing.T) {
	c := qt.New(t)
	f := newLinearFit(10, 0.1, 100, 1)
	for range 200 {
		f.add(100, 20, 1)
	}
	c.Check(f.at(100), isNear, 20.0, 0.5)
	c.Check(f.at(200) > f.at(100), qt.IsTrue)
}
