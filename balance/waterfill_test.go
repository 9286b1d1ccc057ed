package balance

import (
	"math"
	"testing"
)

// filledProbabilities returns the probabilities of candidates of equal weight, in the order of levels.
func filledProbabilities(arrivals float64, levels ...float64) []float64 {
	servers := make([]candidate, len(levels))
	for i, l := range levels {
		s := &server{Server: Server{ID: ServerID(i)}}
		servers[i] = candidate{server: s, weight: 1, level: l, maxProbability: 1}
	}
	waterFill(servers, arrivals)
	p := make([]float64, len(levels))
	for _, r := range servers {
		p[r.server.ID] = r.probability
	}
	return p
}

// The expected values are calculated by hand from equation 4: with l the largest count for which the l least
// loaded servers can all be raised to the l-th level,
// P_i = ((L_l - L_i) + (A - sum(L_l - L_j)) / l) / A.
func TestWaterFillMatchesEquation4(t *testing.T) {
	for name, c := range map[string]struct {
		arrivals float64
		levels   []float64
		want     []float64
	}{
		"fresh: all to the least loaded":        {1e-9, []float64{3, 1, 2}, []float64{0, 1, 0}},
		"very old: uniform":                     {1e12, []float64{3, 1, 2, 9}, []float64{.25, .25, .25, .25}},
		"in between, l = 2 of 3":                {3, []float64{1, 2, 9}, []float64{2. / 3, 1. / 3, 0}},
		"arrivals just reach the third":         {4, []float64{1, 2, 4}, []float64{2.5 / 4, 1.5 / 4, 0}},
		"all three, l = n":                      {9, []float64{0, 1, 2}, []float64{4. / 9, 3. / 9, 2. / 9}},
		"ties get equal parts":                  {1, []float64{2, 2, 5}, []float64{.5, .5, 0}},
		"ties get equal parts of few arrivals":  {1e-9, []float64{2, 2, 2, 2}, []float64{.25, .25, .25, .25}},
		"one server":                            {5, []float64{7}, []float64{1}},
		"order of the list makes no difference": {3, []float64{9, 2, 1}, []float64{0, 1. / 3, 2. / 3}},
	} {
		got := filledProbabilities(c.arrivals, c.levels...)
		sum := 0.0
		for i := range got {
			sum += got[i]
			if math.Abs(got[i]-c.want[i]) > 1e-6 {
				t.Errorf("%s: got %v, want %v", name, got, c.want)
				break
			}
		}
		if math.Abs(sum-1) > 1e-6 {
			t.Errorf("%s: probabilities sum to %v", name, sum)
		}
	}
}

func TestWaterFillByWeight(t *testing.T) {
	// Levels are loads divided by weight: a load of 2 at weight 2 equals a load of 1 at weight 1, and the
	// water rises over both. The candidate of weight 2 takes two thirds.
	a, b := &server{}, &server{}
	servers := []candidate{{server: a, weight: 2, level: 1, maxProbability: 1},
		{server: b, weight: 1, level: 1, maxProbability: 1}}
	waterFill(servers, 3)
	for _, r := range servers {
		if want := r.weight / 3; math.Abs(r.probability-want) > 1e-9 {
			t.Errorf("weight %v: probability %v, want %v", r.weight, r.probability, want)
		}
	}
}

func TestWaterFillRespectsMaximums(t *testing.T) {
	servers := []candidate{
		{weight: .2, level: 0, maxProbability: .05},
		{weight: 1, level: 4, maxProbability: 1},
		{weight: 1, level: 5, maxProbability: 1},
	}
	waterFill(servers, 1)
	// The first is capped at 0.05; the rest fits below level 5.
	for i, want := range []float64{.05, .95, 0} {
		if math.Abs(servers[i].probability-want) > 1e-9 {
			t.Errorf("candidate %d: probability %v, want %v", i, servers[i].probability, want)
		}
	}
}
