package scheduler

import (
	"math"
	"time"
)

// The level of a server is the work in ms that a request sent now would find there, and what the request
// itself costs there beyond what it costs everywhere:
//
//	others(t) = u + (others(0) − u)·exp(−t/τ),  τ = decayServiceTimes·(1 + others(0)/slots')·S
//	u         = (baselinePrior·m + n·ū)/(baselinePrior + n)
//	busy      = own calls under way + others(t)
//	Prefill: level = own reading left + others(t)·S/v + reread·slope·uncached/v
//	Write:  level = S(busy)·busy/slots + lateness + move time
//	Serve:  level = S(busy)·busy/slots + lateness
//	                [+ base + directPrefillWeight·decodePrefillFactor·slope·uncached/v for a prompt]
//
// where t is the age of the server's last figure, ū the mean of its last n figures, m the mean of others(0)
// over the servers that told theirs, S the mean time of a request (pool.serviceTime), base and slope the
// line of measured times of reads by their tokens (pool.read), v the server's speed relative to the fleet,
// and slots' is 1 for a reader. A told figure counts own calls too, so that others(0) is the figure less
// own calls at that moment; no call is counted twice, and the level is never below the own calls under way.
// A server without a figure has others() = m.

const (
	decayServiceTimes = 2.0 // mean service times in which a lone figure loses most of its say

	// reread weighs reading again what another server holds: beside its time it takes of the readers' common
	// capacity, so that all other requests wait for longer, drives other parts out of memory, leaves a copy
	// that no other proxy looks for, and has a price. docs/design/routing.md has the weights tried.
	recomputeWeight = 4.0

	// direct weighs reading at a writer: its pieces go between the tokens of other requests and delay them.
	directPrefillWeight = 2.5
	decodePrefillFactor = 2.0 // times as long as a reader a writer takes to read
)

// candidate is a server that a decision is about.
type candidate struct {
	*serverState
	queueMs        float64 // ms of work that it has
	prefillMs      float64 // ms that the server takes to read the prompt
	costMs         float64 // ms that the request costs there beyond what it costs everywhere
	inFlight       float64 // requests that it has
	uncachedTokens int     // tokens of the prompt that it is taken to have to read
	minUncached    int     // the fewest that it can have to read
	maxUncached    int     // the most
	score          uint64  // of the server for the prompt
	cachesPrefix   bool    // what the prompt shares, as its rank goes by
	avoid          bool    // not taken while there are others
}

func (c *candidate) waterLevel() float64 { return c.queueMs + c.costMs }

// meanReportedOthers is the mean of what servers told of others' calls, as it ages.
func meanReportedOthers(servers []*serverState) float64 {
	sum, n := 0.0, 0
	for _, server := range servers {
		if server.hasReport {
			sum += server.reportedOthers
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// estimatedOthers is what a server's figures of others' calls say now: the last one decays towards the
// server's usual load, which is the mean of its last figures and, as long as those are few, the mean of all
// servers.
func (s *serverState) estimatedOthers(now time.Duration, average, parallel, serviceMs float64) float64 {
	baseline := (average*baselinePrior + s.baselineOthers.value*s.baselineOthers.samples) /
		(baselinePrior + s.baselineOthers.samples)
	if !s.hasReport {
		return baseline
	}
	decay := decayServiceTimes * (1 + s.reportedOthers/parallel) * serviceMs
	return baseline + (s.reportedOthers-baseline)*math.Exp(-ms(now-s.reportedAt)/decay)
}

const baselinePrior = 3.0 // figures that the mean of all servers counts for in a server's usual load

// measure fills in the queue of a candidate.
func (p *servicePool) estimateQueue(now time.Duration, role Role, average float64, c *candidate) {
	parallel := c.slots()
	if role == Prefill {
		parallel = 1
	}
	serviceMs := p.serviceTime(role, c.reportedOthers)
	others := c.estimatedOthers(now, average, parallel, serviceMs)
	prefillMs := others * serviceMs / c.speed
	if p.peerLoadKnown {
		others, prefillMs = c.peerCalls, c.peerBacklog.remainingAt(now)
	}
	c.inFlight = others + float64(len(c.calls))
	if role == Prefill {
		c.queueMs = c.remainingPrefillMs(now) + prefillMs
		return
	}
	if now < c.outliers.fullUntil {
		c.inFlight = max(c.inFlight, parallel)
	}
	c.queueMs = p.serviceTime(role, c.inFlight)*c.inFlight/parallel + c.lateness.now(now)
	if role == Serve && p.service.Engine != nil {
		if !p.peerLoadKnown {
			prefillMs = p.peerDirectPrefillMs(average)
		}
		c.queueMs += c.remainingPrefillMs(now) + prefillMs
	}
}

// full tells whether the server has no place left, by its own calls, by a figure that is still fresh, or
// since it has just said so.
func (c *candidate) full(now time.Duration, serviceMs float64) bool {
	if now < c.outliers.fullUntil {
		return true
	}
	inFlight := float64(len(c.calls))
	if c.hasReport && ms(now-c.reportedAt) < max(serviceMs, minFreshMs) {
		inFlight += c.reportedOthers
	}
	return inFlight >= c.slots()
}

const minFreshMs = 100.0 // ms; a figure is fresh for a mean service time and at least so long
