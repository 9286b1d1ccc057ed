package dataplane

import (
	"sync"
	"time"

	"cresshub/internal/router/scheduler"
)

// demandGain is the weight of the newest span in the mean that Demand returns.
const demandGain = 0.15

// Demand is what this proxy has under way at a service with model servers, as a mean over the last seconds.
type Demand struct {
	Service string
	Reading float64 // calls that read a prompt, waiting ones included
	Writing float64 // calls that make tokens
	Known   bool    // requests have come
}

// demandMeter follows the number of calls under way. It is safe for concurrent use.
type demandMeter struct {
	mu       sync.Mutex
	services map[string]*meteredService
}

// meteredService integrates the calls under way of a service over time.
type meteredService struct {
	reading, writing             int
	since                        time.Duration // up to when the integrals go
	spanStart                    time.Duration
	readingIntegral, writingSums float64 // calls times seconds since spanStart
	mean                         Demand
}

func newDemandMeter() *demandMeter { return &demandMeter{services: map[string]*meteredService{}} }

// add notes that a call of a role has begun, or ended where change is -1.
func (m *demandMeter) add(now time.Duration, service string, role scheduler.Role, change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		s = &meteredService{since: now, spanStart: now, mean: Demand{Service: service}}
		m.services[service] = s
	}
	s.integrate(now)
	s.mean.Known = true
	if role == scheduler.Prefill {
		s.reading += change
	} else {
		s.writing += change
	}
}

func (s *meteredService) integrate(now time.Duration) {
	span := (now - s.since).Seconds()
	s.readingIntegral += span * float64(s.reading)
	s.writingSums += span * float64(s.writing)
	s.since = now
}

// demands ends a span and returns the means.
func (m *demandMeter) demands(now time.Duration) []Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Demand
	for _, s := range m.services {
		s.integrate(now)
		if span := (now - s.spanStart).Seconds(); span > 0 {
			s.mean.Reading += demandGain * (s.readingIntegral/span - s.mean.Reading)
			s.mean.Writing += demandGain * (s.writingSums/span - s.mean.Writing)
		}
		s.readingIntegral, s.writingSums, s.spanStart = 0, 0, now
		all = append(all, s.mean)
	}
	return all
}

// Demands returns what is under way at each service with model servers. It is to be called by one goroutine
// in regular intervals, because each call ends the span of the means.
func (f *Front) Demands() []Demand { return f.decider.demand.demands(f.now()) }
