package scheduler

import "cresshub/internal/router/catalog"

// zoneMargin is how many mean service times the mean level of the near writers must exceed the others' by
// before those join them.
const zoneMargin = 0.5

// near returns the writers in the zone of the reader that holds the memory, and all where those are fewer
// than two or busier than the others by more than a margin. Each costs the time of the move.
func (s *Scheduler) preferZone(pool *servicePool, all []candidate, chain *prefixChain,
	prefillServer *catalog.Server) []candidate {
	zone := s.zone
	if prefillServer != nil {
		zone = prefillServer.Zone
	}
	var insideMs, outsideMs, insideServers, outsideServers float64
	for i := range all {
		writer := &all[i]
		writer.costMs = pool.transferTime(chain.tokens, writer.Zone != zone)
		if writer.Zone == zone {
			insideMs, insideServers = insideMs+writer.waterLevel(), insideServers+1
		} else {
			outsideMs, outsideServers = outsideMs+writer.waterLevel(), outsideServers+1
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
