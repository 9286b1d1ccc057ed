package dataplane

import (
	"sync"
	"time"

	"cresshub/internal/router/scheduler"
)

// demandGain is the weight of the newest window in the mean that Demands returns.
const demandGain = 0.15

// Demand is how many calls this proxy has in flight at a service with model servers, as a mean over the
// last seconds.
type Demand struct {
	Service  string
	Prefill  float64 // calls that prefill a prompt, waiting ones included
	Decode   float64 // calls that decode
	Observed bool    // there have been requests
}

// demandMeter follows the number of calls in flight. It is safe for concurrent use.
type demandMeter struct {
	mu       sync.Mutex
	services map[string]*meteredService
}

// meteredService integrates the calls in flight of a service over time.
type meteredService struct {
	prefilling, decoding            int
	integratedUntil                 time.Duration // up to when the integrals go
	windowStart                     time.Duration
	prefillIntegral, decodeIntegral float64 // calls times seconds since windowStart
	mean                            Demand
}

func newDemandMeter() *demandMeter { return &demandMeter{services: map[string]*meteredService{}} }

// add records that a call of a role has begun, or ended where change is -1.
func (m *demandMeter) add(now time.Duration, service string, role scheduler.Role, change int) {
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
		metered.prefilling += change
	} else {
		metered.decoding += change
	}
}

func (s *meteredService) integrate(now time.Duration) {
	seconds := (now - s.integratedUntil).Seconds()
	s.prefillIntegral += seconds * float64(s.prefilling)
	s.decodeIntegral += seconds * float64(s.decoding)
	s.integratedUntil = now
}

// demands ends a window and returns the means.
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

// Demands returns the demand at each service with model servers. It is to be called by one goroutine at
// regular intervals, because each call ends the window of the means.
func (p *Proxy) Demands() []Demand { return p.chooser.demandMeter.demands(p.now()) }
