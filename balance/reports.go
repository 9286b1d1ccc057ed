package balance

import "time"

const (
	// unknownReportAge is the age, in service times, of a report that never came. With the arrivals of so long
	// a time the differences between levels vanish.
	unknownReportAge = 1e9
	// reportTTL is how long a report is as good as a new one: servers refresh theirs less often, and the
	// attempts that this balancer sent since then are known.
	reportTTL = 80 * time.Millisecond
	// missFactor times its forecast is the latency from which an attempt counts as a missed forecast, and
	// missRateGain the weight of one attempt in the moving average of their rate.
	missFactor, missRateGain = 2, 0.15
	// A rate of missed forecasts up to toleratedMissRate is no sign of late reports. Each unit beyond it counts
	// as lagPerMissRate seconds of lag.
	toleratedMissRate, lagPerMissRate = 0.3, 4
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
		b.recordQueueDelay(now, b.queueDelayBehind(report.inFlight), reportedDelayGain)
	}
}

// reportedLoad is the number of requests in flight at s: those of its last report and the attempts of this
// balancer since; 0 and these attempts if there was no report.
func (s *server) reportedLoad() float64 { return s.inFlight + float64(s.sentSinceReport) }

// hasFreshReport reports whether the last report of s is as good as one of this moment.
func (b *Balancer) hasFreshReport(now time.Duration, s *server) bool {
	return s.hasReport && now-s.reportedAt <= max(reportTTL, 2*b.settings.Tick)
}

// reportLag estimates, in seconds, how old reports are when they come; they don't say so themselves. Where
// latencies agree with the forecasts of fresh reports there is no lag. Where most latencies are far
// longer, on one server after the other, the reports are late, and all balancers would herd if they took
// them for fresh. One slow server is not enough for a lag.
func (b *Balancer) reportLag() float64 {
	return lagPerMissRate * max(0, b.forecastMissRate-toleratedMissRate)
}

// compareToReport compares the latency of an attempt with the forecast of the report before it.
func (b *Balancer) compareToReport(r *request, a *attempt, latency time.Duration, result Result) {
	forecast := max((a.requestsAhead+1)/b.concurrency/b.capacity(r.Class, a.server), 1) *
		float64(b.expectedServiceTime(r))
	late := 0.0
	if float64(latency) > missFactor*forecast {
		if a.server == b.lastForecastMiss {
			return // one unhealthy server says nothing of the reports of the others
		}
		late = 1
		b.lastForecastMiss = a.server
	} else if result == TimedOut {
		return // it ended too early to say whether the latency would have agreed
	}
	b.forecastMissRate += missRateGain * (late - b.forecastMissRate)
}
