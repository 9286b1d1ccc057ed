package balance

import (
	"cmp"
	"slices"
)

// WaterFill returns for each server the probability with which it takes the next request, by equation 4 of
// Dahlin, "Interpreting Stale Load Information", with weights. The servers are vessels, as wide as their
// weight and filled up to their level; the arrivals are poured over them and fill the lowest first. The
// part of the arrivals that a server takes is its probability. Levels are in requests by weight, arrivals
// in requests, and a weight is a server's speed relative to the others.
func WaterFill(levels, weights []float64, arrivals float64) []float64 {
	candidates := make([]candidate, len(levels))
	for i := range candidates {
		candidates[i] = candidate{level: levels[i], weight: weights[i], maxProbability: 1, index: i}
	}
	waterFill(candidates, arrivals)
	probabilities := make([]float64, len(candidates))
	for _, c := range candidates {
		probabilities[c.index] = c.probability
	}
	return probabilities
}

const (
	// minArrivals bounds a divisor. With hardly any arrivals the lowest candidate gets all.
	minArrivals = 1e-9
	// minRemaining is the part of the arrivals below which nothing is left to spread but a rounding error.
	minRemaining = 1e-12
)

// waterFill sorts the candidates by level and sets their probabilities as WaterFill does. A probability above
// its maximum is cut to that, and what is cut off is poured over the other candidates.
func waterFill(candidates []candidate, arrivals float64) {
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.level, y.level) })
	arrivals = max(arrivals, minArrivals)
	remaining := 1.0 // the part of the arrivals that no capped candidate takes
	for capExceeded := true; capExceeded && remaining > minRemaining; {
		volume := arrivals * remaining
		surface := waterSurface(candidates, volume)
		fraction := remaining
		capExceeded = false
		for i := range candidates {
			c := &candidates[i]
			if c.capped {
				continue
			}
			c.probability = fraction * max(0, c.weight*(surface-c.level)/volume)
			if c.probability > c.maxProbability {
				c.probability, c.capped, capExceeded = c.maxProbability, true, true
				remaining -= c.maxProbability
			}
		}
	}
}

// waterSurface is the level up to which a volume of arrivals fills the candidates that are not capped. The
// candidates are sorted by level; volume is in requests.
func waterSurface(candidates []candidate, volume float64) float64 {
	weight, load, surface := 0.0, 0.0, 0.0
	for i := range candidates {
		c := &candidates[i]
		if weight > 0 && c.level*weight-load >= volume {
			break // the volume does not reach this level
		}
		if !c.capped {
			weight += c.weight
			load += c.weight * c.level
			surface = (volume + load) / weight
		}
	}
	return surface
}
