package scheduler

import (
	"math"
	"time"
)

// The water level of a server, from which Basic LI computes its probabilities (basic_li.go), is the work in
// ms that is queued there when a request is sent now, plus the part of the request's own cost in ms that
// differs between servers:
//
//	others(t) = u + (others(0) − u)·exp(−t/τ),  τ = decayServiceTimes·(1 + others(0)/slots')·S
//	u         = (baselinePrior·m + n·ū)/(baselinePrior + n)
//	inFlight  = own calls + others(t)
//	Prefill:  level = remaining own prefills + others(t)·S/v + recomputeWeight·slope·uncached/v
//	Decode:   level = S(inFlight)·inFlight/slots + lateness + transfer time
//	Serve:    level = S(inFlight)·inFlight/slots + lateness
//	                  [+ base + directPrefillWeight·decodePrefillFactor·slope·uncached/v for a prompt]
//
// where
//
//   - t is the age of the server's newest load report, and τ the time constant of its decay, in ms;
//   - others(t) is the estimated number of calls that other proxies have in flight at the server;
//   - u is the server's baseline, ū the mean of others(0) in its last n reports, and m the mean of others(0)
//     over the servers with a report;
//   - S is the mean time of a request in ms (servicePool.serviceTime);
//   - base, in ms, and slope, in ms per token, are the line through the measured times of prefills
//     (servicePool.prefillTime), and uncached is the number of tokens that the server would have to prefill;
//   - v is the server's speed relative to the fleet;
//   - slots is the number of requests that the server runs at once, and slots' the same, but 1 for a prefill
//     server.
//
// A load report includes this proxy's own calls, so that others(0) is the reported number less the own calls
// in flight at that time. No call is counted twice, and the level is never below that of the own calls. A
// server without a report has others() = m. In Serve at a model service, the prefills in flight at the decode
// server are added as well.
//
// If the other proxies report what they have in flight (peer_load.go), those reports replace others(t).

const (
	decayServiceTimes = 2.0 // τ of a report that shows no calls of other proxies, in mean request times
	baselinePrior     = 3.0 // weight of m in a server's baseline, in reports

	// recomputeWeight multiplies the time of a prefill of tokens that another server has cached already.
	// Besides taking time, such a prefill uses the shared capacity of the prefill servers, so that all other
	// requests wait longer, evicts other prefixes, leaves a copy that no other proxy looks for, and has a
	// price. docs/design/routing.md compares weights.
	recomputeWeight = 4.0

	// directPrefillWeight multiplies the time of a prefill at a decode server, because the chunks of that
	// prefill run between the decode steps of other requests and delay them.
	directPrefillWeight = 2.5
	decodePrefillFactor = 2.0 // ratio of a prefill's time at a decode server to that at a prefill server
)

// waterLevel returns the candidate's water level in ms.
func (c *candidate) waterLevel() float64 { return c.queueMs + c.costMs }

// meanReportedOtherCalls returns m, the mean number of other proxies' calls over the servers with a report.
// It returns 0 if no server has a report.
func meanReportedOtherCalls(servers []*serverState) float64 {
	sum, reports := 0.0, 0
	for _, server := range servers {
		if server.hasReport {
			sum += server.reportedOtherCalls
			reports++
		}
	}
	if reports == 0 {
		return 0
	}
	return sum / float64(reports)
}

// estimatedOtherCalls returns others(t): the number of other proxies' calls in the newest report, decayed
// towards the server's baseline. The baseline is the mean of the server's last reports, combined with
// meanOtherCalls (m), which dominates while those are few. slots is slots' of the formulas above, serviceMs
// is S.
func (s *serverState) estimatedOtherCalls(
	now time.Duration, meanOtherCalls, slots, serviceMs float64,
) float64 {
	baseline := (meanOtherCalls*baselinePrior + s.baselineOtherCalls.value*s.baselineOtherCalls.samples) /
		(baselinePrior + s.baselineOtherCalls.samples)
	if !s.hasReport {
		return baseline
	}
	decayMs := decayServiceTimes * (1 + s.reportedOtherCalls/slots) * serviceMs
	return baseline + (s.reportedOtherCalls-baseline)*math.Exp(-ms(now-s.reportedAt)/decayMs)
}

// estimateQueue sets inFlight and queueMs of a candidate. meanOtherCalls is m of the formulas above.
func (p *servicePool) estimateQueue(now time.Duration, role Role, meanOtherCalls float64, server *candidate) {
	slots := server.slots()
	if role == Prefill {
		slots = 1
	}
	serviceMs := p.serviceTime(role, server.reportedOtherCalls)
	otherCalls := server.estimatedOtherCalls(now, meanOtherCalls, slots, serviceMs)
	otherPrefillMs := otherCalls * serviceMs / server.speed
	if p.peerLoadKnown {
		otherCalls, otherPrefillMs = server.peerCalls, server.peerBacklog.remainingAt(now)
	}
	server.inFlight = otherCalls + float64(len(server.calls))
	if role == Prefill {
		server.queueMs = server.remainingPrefillMs(now) + otherPrefillMs
		return
	}
	if now < server.outliers.fullUntil {
		server.inFlight = max(server.inFlight, slots)
	}
	server.queueMs = p.serviceTime(role, server.inFlight)*server.inFlight/slots + server.lateness.now(now)
	if role == Serve && p.service.Engine != nil {
		if !p.peerLoadKnown {
			otherPrefillMs = p.peerDirectPrefillMs(meanOtherCalls)
		}
		server.queueMs += server.remainingPrefillMs(now) + otherPrefillMs
	}
}
