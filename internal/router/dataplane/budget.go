package dataplane

import "time"

// budgetSlots is how many spans the retry window is counted in.
const budgetSlots = 20

// The parts of the allowance that the proxies together use. What is left covers requests that die before they
// are counted, proxies that count each other late, and spans that do not meet the window's edges.
const (
	ratioPart = 0.8
	slackPart = 0.6
)

// allowance is what the rules let the service have in repeats.
type allowance struct {
	window  time.Duration
	ratio   float64 // repeats for each request
	slack   float64 // repeats besides, in a window, for all proxies together
	proxies int     // the proxies that share the slack
}

// budget counts one service's requests and repeats over a sliding window. Times are on a steady clock.
type budget struct {
	slots [budgetSlots + 1]budgetSlot
}

type budgetSlot struct {
	number   int64 // of the span since the clock began
	requests int
	repeats  int
}

// request counts a client's request.
func (b *budget) request(now, window time.Duration) { b.slot(now, window).requests++ }

// charge counts a repeat, whether or not it is within the allowance.
func (b *budget) charge(now, window time.Duration, repeats int) {
	b.slot(now, window).repeats += repeats
}

// take counts so many repeats if all of them are within the allowance, else none.
func (b *budget) take(now time.Duration, allowed allowance, repeats int) bool {
	if repeats <= 0 {
		return true
	}
	if float64(b.repeats(now, allowed.window)+repeats) > b.allowed(now, allowed) {
		return false
	}
	b.charge(now, allowed.window, repeats)
	return true
}

// has tells whether one more repeat is within the allowance.
func (b *budget) has(now time.Duration, allowed allowance) bool {
	return float64(b.repeats(now, allowed.window)+1) <= b.allowed(now, allowed)
}

func (b *budget) allowed(now time.Duration, a allowance) float64 {
	requests := float64(b.requests(now, a.window))
	return ratioPart*a.ratio*requests + slackPart*a.slack/float64(max(a.proxies, 1))
}

// requests counts no more than the window holds: the spans that lie in it whole, and the present one.
func (b *budget) requests(now, window time.Duration) (sum int) {
	oldest := spanNumber(now, window) - budgetSlots + 1
	for _, s := range b.slots {
		if s.number >= oldest {
			sum += s.requests
		}
	}
	return sum
}

// repeats counts no less than the window holds: also the span that lies in it in part.
func (b *budget) repeats(now, window time.Duration) (sum int) {
	oldest := spanNumber(now, window) - budgetSlots
	for _, s := range b.slots {
		if s.number >= oldest {
			sum += s.repeats
		}
	}
	return sum
}

func (b *budget) slot(now, window time.Duration) *budgetSlot {
	number := spanNumber(now, window)
	s := &b.slots[number%int64(len(b.slots))]
	if s.number != number {
		*s = budgetSlot{number: number}
	}
	return s
}

// spanNumber begins above the numbers that a zero budget's slots bear.
func spanNumber(now, window time.Duration) int64 {
	span := max(window/budgetSlots, time.Millisecond)
	return int64(now/span) + 2*budgetSlots
}
