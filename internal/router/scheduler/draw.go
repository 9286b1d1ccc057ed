package scheduler

import (
	"time"

	"cresshub/balance"
)

// draw takes one candidate at random from the shares of water-filling.
func (c *Chooser) draw(now time.Duration, candidates []candidate, arrive float64) *candidate {
	if len(candidates) == 1 {
		return &candidates[0]
	}
	c.levels, c.weights = c.levels[:0], c.weights[:0]
	for i := range candidates {
		c.levels = append(c.levels, candidates[i].level())
		c.weights = append(c.weights, candidates[i].weight(now))
	}
	at := c.random.Float64()
	for i, share := range balance.Fill(c.levels, c.weights, arrive) {
		if at -= share; at < 0 {
			return &candidates[i]
		}
	}
	return &candidates[lowestOf(c.levels)]
}

func lowestOf(levels []float64) int {
	at := 0
	for i := range levels {
		if levels[i] < levels[at] {
			at = i
		}
	}
	return at
}
