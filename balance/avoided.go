package balance

import "time"

// Ejected is how many of the listed servers that are up get no traffic now, as the choice of servers itself
// reads it.
func (b *Balancer) Ejected(now time.Duration) int {
	panicking, reachable := b.panicking(now)
	n := 0
	for _, s := range b.servers {
		if s.isEjected(now, panicking, reachable) {
			n++
		}
	}
	return n
}
