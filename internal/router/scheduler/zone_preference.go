package scheduler

import "cresshub/internal/router/catalog"

// zoneMargin is by how many mean request times the mean water level in the preferred zone must exceed that of
// the other zones before these join in.
const zoneMargin = 0.5

// preferZone returns the decode servers in the zone of the prefill server, so that the prefix cache need not
// cross zones. It returns all where the zone has fewer than two, or where these have more to do than the
// others by more than zoneMargin. It sets the cost of each to the time of the transfer.
func (s *Scheduler) preferZone(
	pool *servicePool, all []candidate, chain *prefixChain, prefillServer *catalog.Server,
) []candidate {
	zone := s.zone
	if prefillServer != nil {
		zone = prefillServer.Zone
	}
	var insideMs, outsideMs, insideServers, outsideServers float64
	for i := range all {
		candidate := &all[i]
		candidate.costMs = pool.transferTime(chain.tokens, candidate.Zone != zone)
		if candidate.Zone == zone {
			insideMs, insideServers = insideMs+candidate.waterLevel(), insideServers+1
		} else {
			outsideMs, outsideServers = outsideMs+candidate.waterLevel(), outsideServers+1
		}
	}
	if insideServers < 2 || outsideServers > 0 &&
		insideMs/insideServers > outsideMs/outsideServers+zoneMargin*pool.serviceTime(Decode, 0) {
		return all
	}
	for i := range all {
		all[i].avoid = all[i].Zone != zone
	}
	return dropAvoided(all)
}
