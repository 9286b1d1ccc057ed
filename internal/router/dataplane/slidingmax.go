package dataplane

import "time"

const (
	// slidingMaxWindow is for how long at least a higher count of proxies is remembered: a partition makes
	// the count fall, while those beyond it go on using their share of the retry budget.
	slidingMaxWindow  = 60 * time.Second
	slidingMaxBuckets = 6
)

// slidingMax is the highest of a figure's values within the last slidingMaxWindow, or a little longer.
type slidingMax struct {
	numbers [slidingMaxBuckets + 1]int64
	values  [slidingMaxBuckets + 1]int
}

// observe adds a value and returns the highest within the window.
func (m *slidingMax) observe(now time.Duration, value int) int {
	number := int64(now/(slidingMaxWindow/slidingMaxBuckets)) + slidingMaxBuckets + 1
	slot := number % int64(len(m.numbers))
	if m.numbers[slot] != number {
		m.numbers[slot], m.values[slot] = number, 0
	}
	m.values[slot] = max(m.values[slot], value)
	highest := 0
	for i := range m.numbers {
		if m.numbers[i] >= number-slidingMaxBuckets {
			highest = max(highest, m.values[i])
		}
	}
	return highest
}
