package scheduler

import "cresshub/internal/router/catalog"

// zoneMargin is how many mean service times the mean level of the near writers must exceed the others' by
// before those join them.
const zoneMargin = 0.5

// near returns the writers in the zone of the reader that holds the memory, and all where those are fewer
// than two or busier than the others by more than a margin. Each costs the time of the move.
func (c *Chooser) near(p *pool, all []candidate, chain *prompt, reader *catalog.Server) []candidate {
	zone := c.zone
	if reader != nil {
		zone = reader.Zone
	}
	var inside, outside, in, out float64
	for i := range all {
		x := &all[i]
		x.cost = p.moveTime(chain.tokens, x.Zone != zone)
		if x.Zone == zone {
			inside, in = inside+x.level(), in+1
		} else {
			outside, out = outside+x.level(), out+1
		}
	}
	if in < 2 || out > 0 && inside/in > outside/out+zoneMargin*p.serviceTime(Write, 0) {
		return all
	}
	for i := range all {
		all[i].avoid = all[i].Zone != zone
	}
	return dropAvoided(all)
}
