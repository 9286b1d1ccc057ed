package balance

import "time"

// eligible lists the servers that may take a next attempt of r. The list is valid until the next call.
//
// The strict pass leaves out servers that are unresponsive or were attempted before and, for what must not
// run twice, half open ones. Where that leaves none, the lax pass takes them, and inside a dedup scope also
// ejected ones.
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

// dedupServer is the first server where a deduplicated request may have run; further attempts must stay in
// its scope. It is nil if there is none.
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
