package dataplane

import "time"

const (
	// slidingMaxWindow is the least time for which a higher number of proxies is remembered. A network
	// partition lowers the number, while the proxies on the other side continue to use their share of the
	// retry budget.
	slidingMaxWindow  = 60 * time.Second
	slidingMaxBuckets = 6
)

// slidingMax tracks the maximum of the values observed within the last slidingMaxWindow. It keeps a value for
// up to one bucket longer.
type slidingMax struct {
	numbers [slidingMaxBuckets + 1]int64 // number of the bucket in each slot
	values  [slidingMaxBuckets + 1]int   // maximum of each bucket
}

// observe adds a value and returns the maximum within the window.
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
