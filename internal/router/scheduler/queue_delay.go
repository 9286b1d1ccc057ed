package scheduler

import (
	"math"
	"slices"
	"time"
)

// QueueDelay estimates how long a request would wait for a free slot if it were sent now, not counting its
// own work, and whether a server that may take it has a free slot. Without such a server it returns 0 and
// false.
func (s *Scheduler) QueueDelay(now time.Duration, request *Request) (wait time.Duration, free bool) {
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	wait, free = s.slotDelay(now, pool, request, Serve, &chain)
	if request.Service.Engine == nil || !s.Split(now, request) {
		return wait, free
	}
	prefillWait, prefillFree := s.slotDelay(now, pool, request, Prefill, &chain)
	return wait + prefillWait, free && prefillFree
}

// Alternative reports whether a server other than the named one could answer the request, and whether such a
// server has a free slot.
func (s *Scheduler) Alternative(now time.Duration, request *Request, server string) (exists, free bool) {
	elsewhere := *request
	elsewhere.Excluded = append(slices.Clone(request.Excluded), server)
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	_, free = s.slotDelay(now, pool, &elsewhere, Serve, &chain)
	return len(s.candidates) > 0, free
}

// slotDelay returns the shortest wait for a slot at the servers of a role, and whether one of them has a free
// slot.
func (s *Scheduler) slotDelay(
	now time.Duration, pool *servicePool, request *Request, role Role, chain *prefixChain,
) (wait time.Duration, free bool) {
	candidates := s.eligible(now, pool, request, role, chain)
	if len(candidates) == 0 {
		return 0, false
	}
	shortestMs := math.Inf(1)
	for i := range candidates {
		candidate := &candidates[i]
		excess := candidate.inFlight + 1 - candidate.slots()
		free = free || excess <= 0
		waitMs := candidate.queueMs
		if role != Prefill {
			waitMs = max(excess, 0) / candidate.slots() * pool.serviceTime(role, candidate.inFlight)
		}
		shortestMs = min(shortestMs, waitMs)
	}
	return duration(shortestMs), free
}
