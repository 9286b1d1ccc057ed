package scheduler

import (
	"time"

	"cresshub/balance"
)

// draw selects one candidate at random with the probabilities of Basic LI, which result from water-filling:
// arrivalsMs, in ms of work, is poured over the water levels of the candidates, weighted by their speeds. It
// makes one random draw, or none if there is only one candidate.
func (s *Scheduler) draw(now time.Duration, candidates []candidate, arrivalsMs float64) *candidate {
	if len(candidates) == 1 {
		return &candidates[0]
	}
	s.levels, s.weights = s.levels[:0], s.weights[:0]
	for i := range candidates {
		s.levels = append(s.levels, candidates[i].waterLevel())
		s.weights = append(s.weights, candidates[i].weight(now))
	}
	remaining := s.random.Float64()
	for i, probability := range balance.WaterFill(s.levels, s.weights, arrivalsMs) {
		if remaining -= probability; remaining < 0 {
			return &candidates[i]
		}
	}
	return &candidates[indexOfMin(s.levels)] // rounding left the sum of the probabilities too low
}

// indexOfMin returns the index of the lowest level, the first one of equal levels.
func indexOfMin(levels []float64) int {
	minimum := 0
	for i := range levels {
		if levels[i] < levels[minimum] {
			minimum = i
		}
	}
	return minimum
}
