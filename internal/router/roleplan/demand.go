package roleplan

import "math"

const (
	// minDecodeFraction is the least fraction of the servers that decode, so that a loss of servers doesn't stop
	// decode.
	minDecodeFraction = 0.3
	// minPrefillFraction is the least fraction of the servers that prefill.
	minPrefillFraction = 0.25
	// targetSlotUtilization is the fraction of a decode server's slots that is meant to be in use: the more
	// requests a server decodes at once, the slower each gets its tokens.
	targetSlotUtilization = 0.3
)

// Demand is what all proxies together have in flight at a service.
type Demand struct {
	HasTraffic   bool    // at least one proxy reported calls lately
	PrefillCalls float64 // calls at prefill servers, queued ones included
	DecodeCalls  float64 // calls at decode servers
}

// wantedDecodeServers returns how many of a number of servers, each with a number of slots, are to decode: as
// many as the demand needs, but at least minDecodeFraction of them and at least one, and so few that
// minPrefillFraction of them, and of several servers one, are left for prefill.
func wantedDecodeServers(servers, slots int, demand Demand) int {
	wanted := math.Ceil(minDecodeFraction * float64(servers))
	if demand.HasTraffic && slots > 0 {
		callsPerServer := targetSlotUtilization * float64(slots)
		wanted = max(wanted, math.Ceil(demand.DecodeCalls/callsPerServer))
	}
	minPrefill := max(1, math.Floor(minPrefillFraction*float64(servers)))
	return max(1, int(min(wanted, float64(servers)-minPrefill)))
}
