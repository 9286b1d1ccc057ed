package scheduler

import (
	"slices"
	"time"
)

// Crowded tells how long a request would have to wait for a place now, in time beyond its own work, and
// whether servers that may take it have places free.
func (c *Chooser) Crowded(now time.Duration, r *Request) (wait time.Duration, free bool) {
	p, chain := c.pool(now, r.Service), newPrompt(r)
	wait, free = c.wait(now, p, r, Serve, &chain)
	if r.Service.Engine == nil || !c.Split(now, r) {
		return wait, free
	}
	reading, readable := c.wait(now, p, r, Read, &chain)
	return wait + reading, free && readable
}

// Alternative tells whether another server than one could answer the request, and whether such a server has a
// place now.
func (c *Chooser) Alternative(now time.Duration, r *Request, server string) (exists, free bool) {
	others := *r
	others.Tried = append(slices.Clone(r.Tried), server)
	p, chain := c.pool(now, r.Service), newPrompt(r)
	_, free = c.wait(now, p, &others, Serve, &chain)
	return len(c.candidates) > 0, free
}

// wait is the shortest wait for a place at the servers of a role.
func (c *Chooser) wait(
	now time.Duration, p *pool, r *Request, role Role, chain *prompt,
) (time.Duration, bool) {
	all := c.eligible(now, p, r, role, chain)
	least, free := never, false
	for i := range all {
		x := &all[i]
		over := x.busy + 1 - x.slots()
		free = free || over <= 0
		if role == Read {
			least = min(least, x.queue)
			continue
		}
		least = min(least, max(over, 0)/x.slots()*p.serviceTime(role, x.busy))
	}
	if len(all) == 0 {
		return 0, false
	}
	return duration(least), free
}
