package scheduler

import (
	"slices"
	"time"
)

// QueueDelay tells how long a request would have to wait for a place now, in time beyond its own work, and
// whether servers that may take it have places free.
func (s *Scheduler) QueueDelay(now time.Duration, request *Request) (wait time.Duration, free bool) {
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	wait, free = s.slotDelay(now, pool, request, Serve, &chain)
	if request.Service.Engine == nil || !s.Split(now, request) {
		return wait, free
	}
	reading, readable := s.slotDelay(now, pool, request, Prefill, &chain)
	return wait + reading, free && readable
}

// Alternative tells whether another server than one could answer the request, and whether such a server has a
// place now.
func (s *Scheduler) Alternative(now time.Duration, request *Request, server string) (exists, free bool) {
	elsewhere := *request
	elsewhere.Excluded = append(slices.Clone(request.Excluded), server)
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	_, free = s.slotDelay(now, pool, &elsewhere, Serve, &chain)
	return len(s.candidates) > 0, free
}

// wait is the shortest wait for a place at the servers of a role.
func (s *Scheduler) slotDelay(
	now time.Duration, pool *servicePool, request *Request, role Role, chain *prefixChain,
) (time.Duration, bool) {
	all := s.eligible(now, pool, request, role, chain)
	shortest, free := neverMs, false
	for i := range all {
		candidate := &all[i]
		excess := candidate.inFlight + 1 - candidate.slots()
		free = free || excess <= 0
		if role == Prefill {
			shortest = min(shortest, candidate.queueMs)
			continue
		}
		shortest = min(shortest, max(excess, 0)/candidate.slots()*pool.serviceTime(role, candidate.inFlight))
	}
	if len(all) == 0 {
		return 0, false
	}
	return duration(shortest), free
}
