package dataplane

import (
	"sync"
	"time"

	"cresshub/internal/router/scheduler"
)

// demandGain is the weight of the newest window in the exponential moving average that Demands returns.
const demandGain = 0.15

// Demand is how many calls this proxy has in flight at a service with model servers, as a moving average over
// the last seconds.
type Demand struct {
	Service  string
	Prefill  float64 // calls that prefill a prompt, including those queued at their server
	Decode   float64 // calls that decode, including those that prefill as well
	Observed bool    // calls have been made to the service
}

// demandMeter measures the number of calls in flight, by service. It is safe for concurrent use.
type demandMeter struct {
	mu       sync.Mutex
	services map[string]*meteredService
}

// meteredService integrates a service's calls in flight over time.
type meteredService struct {
	prefilling, decoding            int           // calls in flight now
	integratedUntil                 time.Duration // when the integrals were last updated
	windowStart                     time.Duration
	prefillIntegral, decodeIntegral float64 // call-seconds since windowStart
	mean                            Demand
}

func newDemandMeter() *demandMeter { return &demandMeter{services: map[string]*meteredService{}} }

// add adds delta to the calls in flight in a role: 1 when a call begins, -1 when it ends.
func (m *demandMeter) add(now time.Duration, service string, role scheduler.Role, delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	metered := m.services[service]
	if metered == nil {
		metered = &meteredService{integratedUntil: now, windowStart: now, mean: Demand{Service: service}}
		m.services[service] = metered
	}
	metered.integrate(now)
	metered.mean.Observed = true
	if role == scheduler.Prefill {
		metered.prefilling += delta
	} else {
		metered.decoding += delta
	}
}

// integrate extends the integrals up to now.
func (s *meteredService) integrate(now time.Duration) {
	seconds := (now - s.integratedUntil).Seconds()
	s.prefillIntegral += seconds * float64(s.prefilling)
	s.decodeIntegral += seconds * float64(s.decoding)
	s.integratedUntil = now
}

// demands ends the current window, updates the moving averages and returns them.
func (m *demandMeter) demands(now time.Duration) []Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Demand
	for _, metered := range m.services {
		metered.integrate(now)
		if window := (now - metered.windowStart).Seconds(); window > 0 {
			metered.mean.Prefill += demandGain * (metered.prefillIntegral/window - metered.mean.Prefill)
			metered.mean.Decode += demandGain * (metered.decodeIntegral/window - metered.mean.Decode)
		}
		metered.prefillIntegral, metered.decodeIntegral, metered.windowStart = 0, 0, now
		all = append(all, metered.mean)
	}
	return all
}

// Demands returns the demand at each service with model servers. It must be called by one goroutine, at
// regular intervals, because each call ends a window of the moving averages.
func (p *Proxy) Demands() []Demand { return p.chooser.demandMeter.demands(p.now()) }
