package balance

import "time"

const (
	// unknownReportAge is the age, in service times, assumed for a report that never came. The estimated
	// arrivals of so long a time make the differences between levels negligible.
	unknownReportAge = 1e9
	// reportTTL is how long a report counts as current: servers refresh theirs less often, and the attempts
	// that this balancer sent since are known.
	reportTTL = 80 * time.Millisecond
	// An attempt whose latency exceeds forecastMissFactor times its forecast has missed the forecast.
	// missRateGain is the weight of one attempt in the moving average of the rate of misses.
	forecastMissFactor, missRateGain = 2, 0.15
	// A rate of missed forecasts up to toleratedMissRate is no sign of late reports. Beyond it the lag in
	// seconds is the excess rate times lagSecondsPerMissRate.
	toleratedMissRate, lagSecondsPerMissRate = 0.3, 4
)

// recordReport records a load report of s.
func (b *Balancer) recordReport(now time.Duration, s *server, values []float64) {
	report, ok := parseReport(b.settings.ReportFields, values)
	if !ok {
		return
	}
	s.inFlight, s.queued = report.inFlight, report.queued
	s.reportedAt, s.hasReport = now, true
	s.reportSeq++
	s.sentSinceReport = 0
	if b.reportLag() == 0 && !b.probesAreCostly() {
		b.recordQueueDelay(now, b.expectedQueueDelay(report.inFlight), reportedDelayGain)
	}
}

// reportedLoad returns the number of requests in flight at s: those of its last report plus the attempts
// that this balancer sent since. Without a report only these attempts count.
func (s *server) reportedLoad() float64 { return s.inFlight + float64(s.sentSinceReport) }

// hasFreshReport reports whether the last report of s is recent enough to count as current.
func (b *Balancer) hasFreshReport(now time.Duration, s *server) bool {
	return s.hasReport && now-s.reportedAt <= max(reportTTL, 2*b.settings.Tick)
}

// reportLag estimates, in seconds, how old reports are when they arrive; the reports don't state it. Where
// latencies agree with the forecasts from fresh reports there is no lag. Where most latencies are far
// longer, on one server after the other, the reports are late, and all balancers would herd to the same
// servers if they took them as current. One slow server alone does not raise the lag.
func (b *Balancer) reportLag() float64 {
	return lagSecondsPerMissRate * max(0, b.forecastMissRate-toleratedMissRate)
}

// updateForecastMissRate updates the rate of missed forecasts by comparing the latency of an attempt with
// the forecast from the report before it.
func (b *Balancer) updateForecastMissRate(r *request, a *attempt, latency time.Duration, result Result) {
	forecast := max((a.requestsAhead+1)/b.concurrency/b.capacity(r.Class, a.server), 1) *
		float64(b.expectedServiceTime(r))
	missed := 0.0
	if float64(latency) > forecastMissFactor*forecast {
		if a.server == b.lastForecastMiss {
			return // one unhealthy server says nothing about the reports of the others
		}
		missed = 1
		b.lastForecastMiss = a.server
	} else if result == TimedOut {
		return // it ended too early to show whether the latency would have matched the forecast
	}
	b.forecastMissRate += missRateGain * (missed - b.forecastMissRate)
}
