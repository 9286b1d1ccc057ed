package balance

import "time"

// Avoided is how many of the listed servers that are up get no traffic now, as the choice of servers itself
// reads it.
func (b *Balancer) Avoided(now time.Duration) int {
	panicking, near := b.panicking(now)
	n := 0
	for _, s := range b.servers {
		if s.avoided(now, panicking, near) {
			n++
		}
	}
	return n
}
