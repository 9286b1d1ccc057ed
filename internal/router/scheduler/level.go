package scheduler

import (
	"math"
	"time"
)

// The level of a server is the work in ms that a request sent now would find there, and what the request
// itself costs there beyond what it costs everywhere:
//
//	others(t) = u + (others(0) − u)·exp(−t/τ),  τ = decayTimes·(1 + others(0)/slots')·S
//	u         = (usualPrior·m + n·ū)/(usualPrior + n)
//	busy      = own calls under way + others(t)
//	Read:   level = own reading left + others(t)·S/v + reread·slope·uncached/v
//	Write:  level = S(busy)·busy/slots + lateness + move time
//	Serve:  level = S(busy)·busy/slots + lateness [+ base + direct·writePace·slope·uncached/v for a prompt]
//
// where t is the age of the server's last figure, ū the mean of its last n figures, m the mean of others(0)
// over the servers that told theirs, S the mean time of a request (pool.serviceTime), base and slope the
// line of measured times of reads by their tokens (pool.read), v the server's speed relative to the fleet,
// and slots' is 1 for a reader. A told figure counts own calls too, so that others(0) is the figure less
// own calls at that moment; no call is counted twice, and the level is never below the own calls under way.
// A server without a figure has others() = m.

const (
	decayTimes = 2.0 // mean service times in which a lone figure loses most of its say

	// reread weighs reading again what another server holds: beside its time it takes of the readers' common
	// capacity, so that all other requests wait for longer, drives other parts out of memory, leaves a copy
	// that no other proxy looks for, and has a price. docs/design/routing.md has the weights tried.
	reread = 4.0

	// direct weighs reading at a writer: its pieces go between the tokens of other requests and delay them.
	direct    = 2.5
	writePace = 2.0 // times as long as a reader a writer takes to read
)

// candidate is a server that a decision is about.
type candidate struct {
	*server
	queue    float64 // ms of work that it has
	work     float64 // ms that the server takes to read the prompt
	cost     float64 // ms that the request costs there beyond what it costs everywhere
	busy     float64 // requests that it has
	uncached int     // tokens of the prompt that it is taken to have to read
	least    int     // the fewest that it can have to read
	most     int     // the most
	score    uint64  // of the server for the prompt
	holds    bool    // what the prompt shares, as its rank goes by
	avoid    bool    // not taken while there are others
}

func (c *candidate) level() float64 { return c.queue + c.cost }

// meanOthers is the mean of what servers told of others' calls, as it ages.
func meanOthers(servers []*server) float64 {
	sum, n := 0.0, 0
	for _, s := range servers {
		if s.known {
			sum += s.others
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// othersNow is what a server's figures of others' calls say now: the last one decays towards the server's
// usual load, which is the mean of its last figures and, as long as those are few, the mean of all servers.
func (s *server) othersNow(now time.Duration, mean, parallel, service float64) float64 {
	usual := (mean*usualPrior + s.usual.value*s.usual.n) / (usualPrior + s.usual.n)
	if !s.known {
		return usual
	}
	decay := decayTimes * (1 + s.others/parallel) * service
	return usual + (s.others-usual)*math.Exp(-ms(now-s.toldAt)/decay)
}

const usualPrior = 3.0 // figures that the mean of all servers counts for in a server's usual load

// measure fills in the queue of a candidate.
func (p *pool) measure(now time.Duration, role Role, mean float64, c *candidate) {
	parallel := c.slots()
	if role == Read {
		parallel = 1
	}
	service := p.serviceTime(role, c.others)
	others := c.othersNow(now, mean, parallel, service)
	reading := others * service / c.speed
	if p.sharing {
		others, reading = c.sharedCalls, c.shared.leftAt(now)
	}
	c.busy = others + float64(len(c.calls))
	if role == Read {
		c.queue = c.readingLeft(now) + reading
		return
	}
	if now < c.trust.full {
		c.busy = max(c.busy, parallel)
	}
	c.queue = p.serviceTime(role, c.busy)*c.busy/parallel + c.late.now(now)
	if role == Serve && p.service.Engine != nil {
		if !p.sharing {
			reading = p.othersDirect(mean)
		}
		c.queue += c.readingLeft(now) + reading
	}
}

// full tells whether the server has no place left, by its own calls, by a figure that is still fresh, or
// since it has just said so.
func (c *candidate) full(now time.Duration, service float64) bool {
	if now < c.trust.full {
		return true
	}
	busy := float64(len(c.calls))
	if c.known && ms(now-c.toldAt) < max(service, freshLeast) {
		busy += c.others
	}
	return busy >= c.slots()
}

const freshLeast = 100.0 // ms; a figure is fresh for a mean service time and at least so long
