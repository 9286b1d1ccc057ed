package scheduler

import (
	"time"

	"cresshub/balance"
)

// draw takes one candidate at random from the shares of water-filling.
func (s *Scheduler) draw(now time.Duration, candidates []candidate, arrivalsMs float64) *candidate {
	if len(candidates) == 1 {
		return &candidates[0]
	}
	s.levels, s.weights = s.levels[:0], s.weights[:0]
	for i := range candidates {
		s.levels = append(s.levels, candidates[i].waterLevel())
		s.weights = append(s.weights, candidates[i].weight(now))
	}
	at := s.random.Float64()
	for i, share := range balance.WaterFill(s.levels, s.weights, arrivalsMs) {
		if at -= share; at < 0 {
			return &candidates[i]
		}
	}
	return &candidates[indexOfMin(s.levels)]
}

func indexOfMin(levels []float64) int {
	at := 0
	for i := range levels {
		if levels[i] < levels[at] {
			at = i
		}
	}
	return at
}
