package scheduler

import (
	"math"
	"time"
)

// The water level of a server, which Basic LI fills up (basic_li.go), is the work in ms that a request sent
// now would find there, and what the request itself costs there beyond what it costs everywhere:
//
//	others(t) = u + (others(0) − u)·exp(−t/τ),  τ = decayServiceTimes·(1 + others(0)/slots')·S
//	u         = (baselinePrior·m + n·ū)/(baselinePrior + n)
//	inFlight  = own calls + others(t)
//	Prefill:  level = remaining own prefills + others(t)·S/v + recomputeWeight·slope·uncached/v
//	Decode:   level = S(inFlight)·inFlight/slots + lateness + transfer time
//	Serve:    level = S(inFlight)·inFlight/slots + lateness
//	                  [+ base + directPrefillWeight·decodePrefillFactor·slope·uncached/v for a prompt]
//
// where t is the age of the server's newest report, ū the mean of its last n reports, m the mean of
// others(0) over the servers with a report, S the mean time of a request (servicePool.serviceTime), base
// and slope the line through the measured times of prefills (servicePool.prefillTime), v the server's
// speed relative to the fleet, and slots' is 1 for a prefill server. A report counts own calls too, so
// that others(0) is the report less own calls at that moment; no call is counted twice, and the level is
// never below that of the own calls. A server without a report has others() = m.
//
// If the other proxies report what they have in flight (peer_load.go), those reports replace others(t).

const (
	decayServiceTimes = 2.0 // mean request times in which a lone report loses most of its weight
	baselinePrior     = 3.0 // reports that the mean of all servers counts for in a server's baseline

	// recomputeWeight weighs a prefill of tokens that another server has cached already. Besides its time, it
	// uses the common capacity of the prefill servers, so that all other requests wait longer, evicts other
	// prefixes, leaves a copy that no other proxy looks for, and has a price. docs/design/routing.md compares
	// weights.
	recomputeWeight = 4.0

	// directPrefillWeight weighs a prefill at a decode server: its chunks run between the decode steps of
	// other requests and delay them.
	directPrefillWeight = 2.5
	decodePrefillFactor = 2.0 // a decode server takes that many times as long as a prefill server
)

// waterLevel returns the level in ms.
func (c *candidate) waterLevel() float64 { return c.queueMs + c.costMs }

// meanReportedOthers returns the mean number of others' calls over the servers with a report, 0 without any.
func meanReportedOthers(servers []*serverState) float64 {
	sum, reports := 0.0, 0
	for _, server := range servers {
		if server.hasReport {
			sum += server.reportedOthers
			reports++
		}
	}
	if reports == 0 {
		return 0
	}
	return sum / float64(reports)
}

// estimatedOthers returns others(t): the newest report, decayed towards the server's baseline. The baseline
// is the mean of its last reports and, as long as those are few, the average of all servers.
func (s *serverState) estimatedOthers(now time.Duration, average, parallel, serviceMs float64) float64 {
	baseline := (average*baselinePrior + s.baselineOthers.value*s.baselineOthers.samples) /
		(baselinePrior + s.baselineOthers.samples)
	if !s.hasReport {
		return baseline
	}
	decay := decayServiceTimes * (1 + s.reportedOthers/parallel) * serviceMs
	return baseline + (s.reportedOthers-baseline)*math.Exp(-ms(now-s.reportedAt)/decay)
}

// estimateQueue sets inFlight and queueMs of a candidate; average is the mean of all servers' others(0).
func (p *servicePool) estimateQueue(now time.Duration, role Role, average float64, c *candidate) {
	parallel := c.slots()
	if role == Prefill {
		parallel = 1
	}
	serviceMs := p.serviceTime(role, c.reportedOthers)
	others := c.estimatedOthers(now, average, parallel, serviceMs)
	othersPrefillMs := others * serviceMs / c.speed
	if p.peerLoadKnown {
		others, othersPrefillMs = c.peerCalls, c.peerBacklog.remainingAt(now)
	}
	c.inFlight = others + float64(len(c.calls))
	if role == Prefill {
		c.queueMs = c.remainingPrefillMs(now) + othersPrefillMs
		return
	}
	if now < c.outliers.fullUntil {
		c.inFlight = max(c.inFlight, parallel)
	}
	c.queueMs = p.serviceTime(role, c.inFlight)*c.inFlight/parallel + c.lateness.now(now)
	if role == Serve && p.service.Engine != nil {
		if !p.peerLoadKnown {
			othersPrefillMs = p.peerDirectPrefillMs(average)
		}
		c.queueMs += c.remainingPrefillMs(now) + othersPrefillMs
	}
}
