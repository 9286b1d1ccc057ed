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
// is the mean of its last reports and, as long as those are few, meanOthers, the mean over all servers (m).
// slots is slots' of the formulas above, serviceMs is S.
func (s *serverState) estimatedOthers(now time.Duration, meanOthers, slots, serviceMs float64) float64 {
	baseline := (meanOthers*baselinePrior + s.baselineOthers.value*s.baselineOthers.samples) /
		(baselinePrior + s.baselineOthers.samples)
	if !s.hasReport {
		return baseline
	}
	decayMs := decayServiceTimes * (1 + s.reportedOthers/slots) * serviceMs
	return baseline + (s.reportedOthers-baseline)*math.Exp(-ms(now-s.reportedAt)/decayMs)
}

// estimateQueue sets inFlight and queueMs of a server; meanOthers is m.
func (p *servicePool) estimateQueue(now time.Duration, role Role, meanOthers float64, server *candidate) {
	slots := server.slots()
	if role == Prefill {
		slots = 1
	}
	serviceMs := p.serviceTime(role, server.reportedOthers)
	others := server.estimatedOthers(now, meanOthers, slots, serviceMs)
	othersPrefillMs := others * serviceMs / server.speed
	if p.peerLoadKnown {
		others, othersPrefillMs = server.peerCalls, server.peerBacklog.remainingAt(now)
	}
	server.inFlight = others + float64(len(server.calls))
	if role == Prefill {
		server.queueMs = server.remainingPrefillMs(now) + othersPrefillMs
		return
	}
	if now < server.outliers.fullUntil {
		server.inFlight = max(server.inFlight, slots)
	}
	server.queueMs = p.serviceTime(role, server.inFlight)*server.inFlight/slots + server.lateness.now(now)
	if role == Serve && p.service.Engine != nil {
		if !p.peerLoadKnown {
			othersPrefillMs = p.peerDirectPrefillMs(meanOthers)
		}
		server.queueMs += server.remainingPrefillMs(now) + othersPrefillMs
	}
}
