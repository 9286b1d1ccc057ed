package dataplane

import "time"

const (
	// peakSpan is for how long at least a higher count of proxies is remembered: a cut makes the count fall,
	// while those beyond it go on using their share of the retry budget.
	peakSpan  = 60 * time.Second
	peakSlots = 6
)

// peak is the highest of a figure's values within the last peakSpan, or a little longer.
type peak struct {
	numbers [peakSlots + 1]int64
	values  [peakSlots + 1]int
}

// note takes in a value and returns the highest that is remembered.
func (p *peak) note(now time.Duration, value int) int {
	number := int64(now/(peakSpan/peakSlots)) + peakSlots + 1
	at := number % int64(len(p.numbers))
	if p.numbers[at] != number {
		p.numbers[at], p.values[at] = number, 0
	}
	p.values[at] = max(p.values[at], value)
	highest := 0
	for i := range p.numbers {
		if p.numbers[i] >= number-peakSlots {
			highest = max(highest, p.values[i])
		}
	}
	return highest
}
