package roleplan

import "math"

const (
	// minDecodeFraction is the minimum fraction of the servers that decode, so that decode survives a loss of
	// servers.
	minDecodeFraction = 0.3
	// minPrefillFraction is the minimum fraction of the servers that prefill.
	minPrefillFraction = 0.25
	// targetSlotUtilization is the fraction of a decode server's slots that should be in use. The more
	// requests a server decodes at once, the longer the time per token of each.
	targetSlotUtilization = 0.3
)

// Demand is what all proxies together have in flight at a service.
type Demand struct {
	HasTraffic   bool    // at least one proxy has recently reported calls
	PrefillCalls float64 // calls at prefill servers, queued ones included
	DecodeCalls  float64 // calls at decode servers
}

// desiredDecodeServers returns how many of the given number of servers, each with the given number of slots,
// should decode: as many as the demand needs, but at least minDecodeFraction of the servers and at least one.
// Of several servers, at least minPrefillFraction, rounded down, and at least one are left for prefill.
func desiredDecodeServers(servers, slots int, demand Demand) int {
	desired := math.Ceil(minDecodeFraction * float64(servers))
	if demand.HasTraffic && slots > 0 {
		callsPerServer := targetSlotUtilization * float64(slots)
		desired = max(desired, math.Ceil(demand.DecodeCalls/callsPerServer))
	}
	minPrefill := max(1, math.Floor(minPrefillFraction*float64(servers)))
	return max(1, int(min(desired, float64(servers)-minPrefill)))
}
