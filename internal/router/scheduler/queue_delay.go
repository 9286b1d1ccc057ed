package scheduler

import (
	"math"
	"slices"
	"time"
)

// SlotDelay is the estimated time until a request that is sent now would get a slot. It is the zero value if
// no server may take the request.
type SlotDelay struct {
	// Wait is the shortest time until a server has a free slot, not counting the request's own work.
	Wait time.Duration
	// HasFreeSlot means that a server has a free slot now.
	HasFreeSlot bool
}

// StartsWithin reports whether a request would start within the time left according to the estimated delay.
func (d SlotDelay) StartsWithin(left time.Duration) bool { return d.HasFreeSlot || d.Wait < left }

// Alternative describes whether another server could handle a request.
type Alternative struct {
	Exists      bool // a server may take the request
	HasFreeSlot bool // at least one such server has a free slot
}

// QueueDelay estimates how long a request that is sent now would wait for a free slot. If the request would
// be split between a prefill and a decode server, their delays are added, and both need a free slot.
func (s *Scheduler) QueueDelay(now time.Duration, request *Request) SlotDelay {
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	serve := s.slotDelay(now, pool, request, Serve, &chain)
	if request.Service.Engine == nil || !s.Split(now, request) {
		return serve
	}
	prefill := s.slotDelay(now, pool, request, Prefill, &chain)
	return SlotDelay{serve.Wait + prefill.Wait, serve.HasFreeSlot && prefill.HasFreeSlot}
}

// Alternative reports whether a server other than the one with serverID could handle the request.
func (s *Scheduler) Alternative(now time.Duration, request *Request, serverID string) Alternative {
	elsewhere := *request
	elsewhere.Excluded = append(slices.Clone(request.Excluded), serverID)
	pool, chain := s.pool(now, request.Service), newPrefixChain(request)
	delay := s.slotDelay(now, pool, &elsewhere, Serve, &chain)
	return Alternative{Exists: len(s.candidates) > 0, HasFreeSlot: delay.HasFreeSlot}
}

// slotDelay returns the shortest delay at the servers for a role. It leaves these servers in s.candidates.
func (s *Scheduler) slotDelay(
	now time.Duration, pool *servicePool, request *Request, role Role, chain *prefixChain,
) SlotDelay {
	candidates := s.eligible(now, pool, request, role, chain)
	if len(candidates) == 0 {
		return SlotDelay{}
	}
	shortestMs, hasFreeSlot := math.Inf(1), false
	for i := range candidates {
		candidate := &candidates[i]
		excess := candidate.inFlight + 1 - candidate.slots()
		hasFreeSlot = hasFreeSlot || excess <= 0
		waitMs := candidate.queueMs
		if role != Prefill {
			waitMs = max(excess, 0) / candidate.slots() * pool.serviceTime(role, candidate.inFlight)
		}
		shortestMs = min(shortestMs, waitMs)
	}
	return SlotDelay{duration(shortestMs), hasFreeSlot}
}
