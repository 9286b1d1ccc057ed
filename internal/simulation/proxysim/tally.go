package proxysim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxSeconds bounds the figures by second of arrival; later seconds count as the last.
const maxSeconds = 100_000

// tally sums the figures of a run, over the requests that arrive after the warm-up.
type tally struct {
	hist                                              *hdrhistogram.Histogram
	requests, served, refused, failed, inTime         int
	responseSum                                       float64 // of response times, ns
	attempts, crossHall, handshakes, probes, rejected int
	work, wasted                                      float64
	value, valueAsked, lateValue                      float64
	class, tenant                                     []float64 // value served in time
	classAsked, tenantAsked                           []float64
	bySecond, bySecondAsked                           []float64
	quotaTokens                                       []float64 // of tenants' quotas
	quotaTokensAt                                     int64
	inSystemArea                                      float64 // integral of inSystem over time
	firstArrivalAt, inSystemAt                        int64
	inSystem                                          int
}

func (t *tally) init(s *Sim) {
	t.hist = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
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
		passed := float64(s.now-t.quotaTokensAt) / 1e9
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
	t.bySecondAsked[min(int(demand.arrivedAt/1e9), len(t.bySecond)-1)] += demand.value
}

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
		_ = t.hist.RecordValue(max(took/1000, 1)) // a time beyond the histogram's hour is left out
		if target == 0 || took <= target {
			t.inTime++
			t.value += ended.value
			t.class[ended.class] += ended.value
			if len(t.tenant) > 0 {
				t.tenant[ended.tenant] += ended.value
			}
			t.bySecond[min(int(ended.arrivedAt/1e9), len(t.bySecond)-1)] += ended.value
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
