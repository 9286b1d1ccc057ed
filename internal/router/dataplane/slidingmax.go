package dataplane

import "time"

const (
	// slidingMaxWindow is for how long at least a higher count of proxies is remembered: a cut makes the count
	// fall, while those beyond it go on using their share of the retry budget.
	slidingMaxWindow  = 60 * time.Second
	slidingMaxBuckets = 6
)

// slidingMax is the highest of a figure's values within the last slidingMaxWindow, or a little longer.
type slidingMax struct {
	numbers [slidingMaxBuckets + 1]int64
	values  [slidingMaxBuckets + 1]int
}

// observe takes in a value and returns the highest that is remembered.
func (p *slidingMax) observe(now time.Duration, value int) int {
	number := int64(now/(slidingMaxWindow/slidingMaxBuckets)) + slidingMaxBuckets + 1
	slot := number % int64(len(p.numbers))
	if p.numbers[slot] != number {
		p.numbers[slot], p.values[slot] = number, 0
	}
	p.values[slot] = max(p.values[slot], value)
	highest := 0
	for i := range p.numbers {
		if p.numbers[i] >= number-slidingMaxBuckets {
			highest = max(highest, p.values[i])
		}
	}
	return highest
}
