package balance

import "time"

// eligible returns the servers that may get the next attempt of r. The slice is valid until the next call.
//
// The strict pass excludes servers that are unresponsive or that already had an attempt of r and, if r must
// not run twice, half-open ones. If it finds none, the lax pass includes these and, if r is limited to a
// dedup scope, also ejected ones.
func (b *Balancer) eligible(now time.Duration, r *request) []*server {
	fleet := b.fleetHealth(now)
	dedupServer := b.dedupServer(r)
	servers := b.eligibleBuf[:0]
	for _, strict := range []bool{true, false} {
		for _, s := range b.servers {
			if dedupServer != nil && !b.sameDedupScope(r, dedupServer, s) {
				continue
			}
			if s.isEjected(now, fleet) && (dedupServer == nil || strict) {
				continue
			}
			if strict && (b.unresponsive(now, r, s) || r.hasAttempted(s) ||
				s.halfOpen && b.settings.Classes[r.Class].Effect == AtMostOnce) {
				continue
			}
			servers = append(servers, s)
		}
		if len(servers) > 0 {
			break
		}
	}
	b.eligibleBuf = servers
	return servers
}

// dedupServer returns the first server where a deduplicated request may have run; further attempts must
// stay in its scope. It returns nil if there is none.
func (b *Balancer) dedupServer(r *request) *server {
	if b.settings.Classes[r.Class].Effect != Deduplicated {
		return nil
	}
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return r.attempts[i].server
		}
	}
	return nil
}

// sameDedupScope reports whether the two servers drop each other's repeats of r.
func (b *Balancer) sameDedupScope(r *request, first, other *server) bool {
	switch b.settings.Classes[r.Class].DedupScope {
	case DedupZone:
		return first.Zone == other.Zone
	case DedupCell:
		return first.Zone == other.Zone && first.Cell == other.Cell
	}
	return true
}
