package proxysim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxSeconds bounds the figures by second of arrival; later seconds count as the last.
	maxSeconds = 100_000
	// The histogram of response times.
	longestResponse     = time.Hour // longer ones are left out
	responseSignificant = 3         // decimal digits
)

// tally sums the figures of a run, over the requests that arrive after the warm-up.
type tally struct {
	hist        *hdrhistogram.Histogram // response times of served requests, us
	responseSum float64                 // of those, ns

	requests, served, refused, failed int
	inTime                            int // of those served, within the latency target
	attempts                          int
	crossHall                         int // of those, at a server of another hall
	handshakes, probes                int
	rejected                          int // jobs that a server rejected

	work   float64 // asked for, ns on a core of speed 1
	wasted float64 // done for an attempt that had been given up or answered elsewhere

	// The value served in time, and that asked for: of all, by class, by tenant and by second of arrival.
	value, valueAsked       float64
	class, classAsked       []float64
	tenant, tenantAsked     []float64
	bySecond, bySecondAsked []float64
	lateValue               float64 // of what ended after its latency target

	quotaTokens   []float64 // token buckets of the tenants' quotas
	quotaTokensAt int64     // when they were refilled

	inSystem       int     // requests
	inSystemAt     int64   // when that changed
	inSystemArea   float64 // integral of inSystem over time
	firstArrivalAt int64
}

// init makes the tables for the scenario.
func (t *tally) init(s *Sim) {
	t.hist = hdrhistogram.New(1, longestResponse.Microseconds(), responseSignificant)
	seconds := min(int(s.scenario.Duration/time.Second)+1, maxSeconds)
	t.bySecond, t.bySecondAsked = make([]float64, seconds), make([]float64, seconds)
	t.class, t.classAsked = make([]float64, len(s.scenario.Classes)), make([]float64, len(s.scenario.Classes))
	t.tenant, t.tenantAsked = make([]float64, len(s.scenario.Tenants)), make([]float64, len(s.scenario.Tenants))
	for _, tenant := range s.scenario.Tenants {
		t.quotaTokens = append(t.quotaTokens, tenant.Quota)
	}
}

// trackInSystem integrates the number of counted requests in the system over time.
func (t *tally) trackInSystem(s *Sim, change int) {
	t.inSystemArea += float64(t.inSystem) * float64(s.now-t.inSystemAt)
	t.inSystemAt = s.now
	t.inSystem += change
}

// countArrival counts a demand that arrives. Beyond its tenant's quota its value is lower.
func (t *tally) countArrival(s *Sim, demandIndex int32) {
	demand := &s.demands[demandIndex]
	if len(t.quotaTokens) > 0 {
		passed := float64(s.now-t.quotaTokensAt) / nsPerSecond
		t.quotaTokensAt = s.now
		for tenantIndex, tenant := range s.scenario.Tenants {
			t.quotaTokens[tenantIndex] = min(t.quotaTokens[tenantIndex]+passed*tenant.Quota, tenant.Quota)
		}
		if s.scenario.Tenants[demand.tenant].Quota > 0 {
			if t.quotaTokens[demand.tenant] >= 1 {
				t.quotaTokens[demand.tenant]--
			} else {
				demand.value *= s.scenario.Prices.OverQuotaValue
			}
		}
		t.tenantAsked[demand.tenant] += demand.value
	}
	if t.requests == 0 {
		t.firstArrivalAt, t.inSystemAt = s.now, s.now
	}
	t.requests++
	t.work += demand.work
	t.trackInSystem(s, 1)
	t.valueAsked += demand.value
	t.classAsked[demand.class] += demand.value
	t.bySecondAsked[t.second(demand)] += demand.value
}

// quantileMS is a percentile of the response times of served requests, in ms.
func (t *tally) quantileMS(percent float64) float64 {
	const usPerMillisecond = 1000
	return float64(t.hist.ValueAtQuantile(percent)) / usPerMillisecond
}

// second is the position in bySecond of the second in which a demand arrived.
func (t *tally) second(d *demand) int { return min(int(d.arrivedAt/nsPerSecond), len(t.bySecond)-1) }

// countAttempt counts an attempt, which may cross halls.
func (t *tally) countAttempt(crossesHalls bool) {
	t.attempts++
	if crossesHalls {
		t.crossHall++
	}
}

// countAnswer counts the end of a demand.
func (t *tally) countAnswer(s *Sim, ended *demand, how answer) {
	t.trackInSystem(s, -1)
	took := s.now - ended.arrivedAt
	target := int64(s.scenario.Classes[ended.class].LatencyTarget)
	switch how {
	case served:
		t.served++
		t.responseSum += float64(took)
		_ = t.hist.RecordValue(max(took/nsPerMicrosecond, 1)) // an error is that of a time beyond longestResponse
		if target == 0 || took <= target {
			t.inTime++
			t.value += ended.value
			t.class[ended.class] += ended.value
			if len(t.tenant) > 0 {
				t.tenant[ended.tenant] += ended.value
			}
			t.bySecond[t.second(ended)] += ended.value
		} else {
			t.lateValue += ended.value
		}
	case refused:
		t.refused++
	default:
		t.failed++
	}
	if how != served && target > 0 && took > target {
		t.lateValue += ended.value
	}
}
