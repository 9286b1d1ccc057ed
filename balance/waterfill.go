package balance

import (
	"cmp"
	"slices"
)

// WaterFill returns for each server the probability with which it is selected for the next request, by
// equation 4 of Dahlin, "Interpreting Stale Load Information", extended by weights. Each server is a vessel
// as wide as its weight and filled up to its level. The arrivals are poured over the vessels and fill the
// lowest first; the fraction of the arrivals that a server takes is its probability. A level is requests in
// flight divided by weight, arrivals are a number of requests, and a weight is a server's speed relative to
// the others.
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
	// minArrivals is the lower bound of the arrivals, a divisor. With so few arrivals the candidate of the
	// lowest level gets all of them.
	minArrivals = 1e-9
	// minRemaining is the fraction of the arrivals below which the remainder is only a rounding error.
	minRemaining = 1e-12
)

// waterFill sorts the candidates by level and sets their probabilities as WaterFill does. A probability
// above its maximum is reduced to the maximum, and the excess is spread over the other candidates.
func waterFill(candidates []candidate, arrivals float64) {
	slices.SortStableFunc(candidates, func(x, y candidate) int { return cmp.Compare(x.level, y.level) })
	arrivals = max(arrivals, minArrivals)
	remaining := 1.0 // the fraction of the arrivals that no capped candidate takes
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

// waterSurface returns the level up to which a volume of arrivals, in requests, fills the candidates that
// are not capped. The candidates must be sorted by level.
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
