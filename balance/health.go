package balance

import "time"

const (
	// failuresToEject failures in a row eject a server, or a class on a server: an error or a timeout alone
	// happens to healthy ones too. Refused and broken connections eject at once.
	failuresToEject = 3
	// baseEjectionTime doubles with each ejection in a row, up to maxEjectionDoublings times, with jitter.
	baseEjectionTime, maxEjectionDoublings = time.Second, 4
	// errorEjectionTime is the base after an error where probes are costly.
	errorEjectionTime = 10 * time.Second
	// unresponsiveAfter times its expected latency without a response, a server counts as unresponsive.
	unresponsiveAfter = 4
	// panicThreshold is the fraction of the reachable servers that must be healthy. Below it ejected ones are
	// used too: when so many look unhealthy the cause is rarely the servers, and the others could not carry the
	// load.
	panicThreshold = 0.5
	// halfOpenWeight multiplies the weight of a server that had no success since its ejection.
	halfOpenWeight = 0.1
)

// recordHealth updates the health of s by the result of an attempt or a probe: outlier detection as in Envoy,
// with an ejection time that grows with each ejection in a row.
func (b *Balancer) recordHealth(now time.Duration, s *server, result Result) {
	threshold, ejectionTime := failuresToEject, baseEjectionTime
	switch result {
	case Done:
		s.failures, s.ejections, s.halfOpen, s.unreachable = 0, 0, false, false
		return
	case Cancelled, Skipped, Rejected:
		return // a server that rejects some requests takes others, and its ejection would overload the rest
	case Error:
		// A balancer of many sees few requests: it would observe three errors in a row too late.
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

// recordClassHealth updates the health of a class on a server by the result of an attempt.
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

// fleetHealth is the health of all listed servers at one moment.
type fleetHealth struct {
	panicking bool // so few servers are healthy that ejected ones are used
	reachable int  // servers that are reachable, or are to be tried again
}

// fleetHealth counts the healthy and the reachable servers. What is unreachable does not count towards
// panicThreshold: a balancer in a partitioned zone can't reach most of the list, and has to do with the
// servers near it.
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
	return fleetHealth{panicking: float64(healthy) < panicThreshold*float64(reachable), reachable: reachable}
}

// isEjected reports whether s gets no traffic at all, by the health of the fleet at the same moment.
func (s *server) isEjected(now time.Duration, fleet fleetHealth) bool {
	return now < s.ejectedUntil && (!fleet.panicking || s.unreachable && fleet.reachable > 0)
}

// Ejected is how many of the listed servers that are up get no traffic now.
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

// unresponsive reports whether s leaves the class of r unanswered: some unhealthy servers do, while they
// serve other classes and probes. At first only the missing responses show it; after failuresToEject failures
// the server gets a single attempt of the class at a time.
func (b *Balancer) unresponsive(now time.Duration, r *request, s *server) bool {
	class := &s.classes[r.Class]
	if s.probing && now-s.probedAt > b.probeTimeout() && !b.probesAreQueued() {
		return true
	}
	if class.outstanding == 0 {
		return now < class.ejectedUntil
	}
	return now < class.ejectedUntil || class.failures >= failuresToEject ||
		(now-class.unservedSince).Seconds() > b.unusualLatency(r, s)
}

// halfOpenFactor reduces the traffic to a server that was ejected, until its first success.
func (s *server) halfOpenFactor() float64 {
	if s.halfOpen {
		return halfOpenWeight
	}
	return 1
}
