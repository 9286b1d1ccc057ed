package scheduler

import "cresshub/internal/router/catalog"

// zoneMargin is the difference, in mean request times, by which the mean water level in the preferred zone
// must exceed that in the other zones before servers of these are used too.
const zoneMargin = 0.5

// preferZone returns the decode servers in the zone of the prefill server, so that the prefix cache need not
// be transferred between zones. It returns all servers if the zone has fewer than two, or if their mean water
// level exceeds that of the others by more than zoneMargin. It sets the cost of each server to the transfer
// time.
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
		all[i].avoided = all[i].Zone != zone
	}
	return dropAvoided(all)
}
