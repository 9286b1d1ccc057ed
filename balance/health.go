package balance

import "time"

const (
	// failuresToEject is the number of consecutive failures that eject a server, or a class on a server:
	// healthy servers have single errors and timeouts too. A refused or broken connection ejects
	// immediately.
	failuresToEject = 3
	// baseEjectionTime is the duration of a first ejection. It doubles with each consecutive ejection, up
	// to maxEjectionDoublings times, and has jitter.
	baseEjectionTime, maxEjectionDoublings = time.Second, 4
	// errorEjectionTime replaces baseEjectionTime after an error where probes are costly.
	errorEjectionTime = 10 * time.Second
	// slowResponseFactor times the expected latency is when a response counts as unusually slow and, if
	// none of its class was served meanwhile, the server as unresponsive for the class.
	slowResponseFactor = 4
	// panicThreshold is the fraction of the reachable servers that must be healthy. Below it ejected
	// servers are used too: when so many look unhealthy the servers are rarely the cause, and the healthy
	// ones could not carry the load.
	panicThreshold = 0.5
	// halfOpenWeightFactor multiplies the weight of a server that had no success since its ejection.
	halfOpenWeightFactor = 0.1
)

// recordHealth updates the health of s with the result of an attempt or a probe: outlier detection as in
// Envoy, with an ejection time that grows with each consecutive ejection.
func (b *Balancer) recordHealth(now time.Duration, s *server, result Result) {
	threshold, ejectionTime := failuresToEject, baseEjectionTime
	switch result {
	case Done:
		s.failures, s.ejections, s.halfOpen, s.unreachable = 0, 0, false, false
		return
	case Cancelled, Skipped, Rejected:
		return // a server that rejects some requests accepts others, and ejecting it would overload the rest
	case Error:
		// One balancer of many sends a server few requests, so it would observe three consecutive errors too late.
		if b.probesAreCostly() {
			threshold, ejectionTime = 1, errorEjectionTime
		}
	case ConnRefused, Reset:
		threshold = 1
		s.unreachable = result == ConnRefused
	}
	s.failures++
	if s.failures >= threshold && now >= s.ejectedUntil {
		s.ejections++
		s.halfOpen = true
		s.ejectedUntil = now + b.jitter(ejectionTime<<min(s.ejections-1, maxEjectionDoublings))
	}
}

// recordClassHealth updates the health of a class on a server with the result of an attempt.
func (b *Balancer) recordClassHealth(now time.Duration, class *classHealth, result Result) {
	switch result {
	case Done:
		class.unservedSince, class.failures, class.ejections = now, 0, 0
	case Error, TimedOut:
		class.failures++
		if class.failures >= failuresToEject && now >= class.ejectedUntil {
			class.ejections++
			class.ejectedUntil = now +
				b.jitter(baseEjectionTime<<min(class.ejections-1, maxEjectionDoublings))
		}
	}
}

// fleetHealth is the health of all listed servers at one time.
type fleetHealth struct {
	panicMode bool // so few servers are healthy that ejected ones are used
	reachable int  // servers that are reachable or due for another attempt
}

// fleetHealth counts the healthy and the reachable servers. Unreachable servers don't count towards
// panicThreshold: a balancer in a partitioned zone can't reach most listed servers and has to use those
// near it.
func (b *Balancer) fleetHealth(now time.Duration) fleetHealth {
	healthy, reachable := 0, 0
	for _, s := range b.servers {
		if now >= s.ejectedUntil {
			healthy++
		}
		if !s.unreachable || now >= s.ejectedUntil {
			reachable++
		}
	}
	return fleetHealth{panicMode: float64(healthy) < panicThreshold*float64(reachable), reachable: reachable}
}

// isEjected reports whether s gets no traffic at all, given the health of the fleet at the same time.
func (s *server) isEjected(now time.Duration, fleet fleetHealth) bool {
	return now < s.ejectedUntil && (!fleet.panicMode || s.unreachable && fleet.reachable > 0)
}

// Ejected returns how many of the listed servers that are up get no traffic now.
func (b *Balancer) Ejected(now time.Duration) int {
	fleet := b.fleetHealth(now)
	n := 0
	for _, s := range b.servers {
		if s.isEjected(now, fleet) {
			n++
		}
	}
	return n
}

// unresponsive reports whether s fails to answer requests of the class of r, as some unhealthy servers do
// while they serve other classes and probes, or has not answered a probe in time. At first only missing
// responses show that a class is not answered; after failuresToEject failures the server gets a single
// attempt of the class at a time.
func (b *Balancer) unresponsive(now time.Duration, r *request, s *server) bool {
	class := &s.classes[r.Class]
	if s.probing && now-s.probedAt > b.probeTimeout() && !b.probesAreQueued() {
		return true
	}
	if class.outstanding == 0 {
		return now < class.ejectedUntil
	}
	return now < class.ejectedUntil || class.failures >= failuresToEject ||
		(now-class.unservedSince).Seconds() > b.slowResponseThreshold(r, s)
}

// halfOpenFactor reduces the traffic to a server that was ejected, until its first success.
func (s *server) halfOpenFactor() float64 {
	if s.halfOpen {
		return halfOpenWeightFactor
	}
	return 1
}
