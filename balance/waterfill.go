package balance

// WaterFill returns for each server the probability with which it takes the next request, by equation 4 of
// the paper with weights: arrivals rise like water over the levels, lowest first, and a server's share is
// what it takes of them. Levels and arrive are in one unit; a weight is a server's speed relative to the
// others.
func WaterFill(levels, weights []float64, arrivals float64) []float64 {
	servers := make([]candidate, len(levels))
	for i := range servers {
		servers[i] = candidate{level: levels[i], weight: weights[i], maxProbability: 1, index: i}
	}
	waterFill(servers, arrivals)
	probabilities := make([]float64, len(servers))
	for _, c := range servers {
		probabilities[c.index] = c.probability
	}
	return probabilities
}
