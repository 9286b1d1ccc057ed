// Package roleplan decides how many model servers of a service prefill and how many decode, and which servers
// are to change their role.
//
// Prefill (reading prompts) is by far the larger work, so that all servers that are not needed for decode
// prefill. Decode (making tokens) keeps a minimum spread over the zones, because every response depends on
// it. The planner follows the demand that all proxies report together; while there is traffic it changes few
// servers at a time and tolerates small deviations, so that servers don't change back and forth.
//
// The separation of the two phases follows DistServe and Splitwise.
//
// The package has no state: Plan is a pure function of its arguments and may be called by any goroutine.
// Whoever calls it has to make sure that only one planner's orders reach the servers.
package roleplan

import (
	"cmp"
	"math"
	"slices"

	"cresshub/internal/router/catalog"
)

const (
	// minDecodeFraction is the least fraction of the servers that decode, so that a loss of servers doesn't stop
	// decode.
	minDecodeFraction = 0.3
	// minPrefillFraction is the least fraction of the servers that prefill.
	minPrefillFraction = 0.25
	// targetSlotUtilization is the fraction of a decode server's slots that is meant to be in use: the more
	// requests a server decodes at once, the slower each gets its tokens.
	targetSlotUtilization = 0.3
	// maxChangingFraction is the most of the servers that may be out of service for a change of role at the same
	// time while there is traffic.
	maxChangingFraction = 0.12
	// busyPrefillCalls is the average number of calls at a prefill server, queued ones included, above which
	// none is taken away: prompts that wait for prefill delay the tokens that more decode servers would make.
	busyPrefillCalls = 1.5
	// toleratedSurplus is by how many servers a role may exceed its plan while there is traffic.
	toleratedSurplus = 1
)

// Server is one model server of a service.
type Server struct {
	ID       string
	Zone     string
	Role     catalog.Role
	Slots    int  // requests that it runs at once
	Changing bool // an order is under way
}

// Demand is what all proxies together have in flight at a service.
type Demand struct {
	HasTraffic   bool    // at least one proxy reported calls lately
	PrefillCalls float64 // calls at prefill servers, queued ones included
	DecodeCalls  float64 // calls at decode servers
}

// Order asks a server to change to a role.
type Order struct {
	Server string // by its ID
	Role   catalog.Role
}

// Plan returns the orders that bring the servers of one service closer to the roles wanted. It returns none
// if the roles are close enough, if as many servers as allowed are changing, or if prefill is too busy to
// give up a server.
func Plan(servers []Server, demand Demand) []Order {
	if len(servers) < 2 {
		return nil
	}
	decoding := count(servers, func(server Server) bool { return server.Role == catalog.Decode })
	surplus := decoding - wantedDecodeServers(len(servers), servers[0].Slots, demand)
	from, to := catalog.Decode, catalog.Prefill
	if surplus < 0 {
		if prefilling := len(servers) - decoding; demand.PrefillCalls > busyPrefillCalls*float64(prefilling) {
			return nil
		}
		surplus, from, to = -surplus, catalog.Prefill, catalog.Decode
	}
	if demand.HasTraffic {
		surplus -= toleratedSurplus
	}
	return chooseServers(servers, from, to, min(surplus, allowedChanges(servers, demand)))
}

// allowedChanges returns how many more servers may change their role now: any number without traffic.
func allowedChanges(servers []Server, demand Demand) int {
	if !demand.HasTraffic {
		return len(servers)
	}
	changing := count(servers, func(server Server) bool { return server.Changing })
	return max(1, int(maxChangingFraction*float64(len(servers)))) - changing
}

// count returns the number of servers of which a condition holds.
func count(servers []Server, condition func(Server) bool) int {
	total := 0
	for _, server := range servers {
		if condition(server) {
			total++
		}
	}
	return total
}

// wantedDecodeServers returns how many of a number of servers, each with a number of slots, are to decode.
// All servers of a service have as many slots, so that those of the first one stand for all.
func wantedDecodeServers(servers, slots int, demand Demand) int {
	wanted := math.Ceil(minDecodeFraction * float64(servers))
	if demand.HasTraffic && slots > 0 {
		wanted = max(wanted, math.Ceil(demand.DecodeCalls/(targetSlotUtilization*float64(slots))))
	}
	limit := float64(servers) - max(1, math.Floor(minPrefillFraction*float64(servers)))
	return int(max(min(wanted, limit), min(1, float64(servers))))
}

// chooseServers returns orders for count servers of a role, each of the zone that has the most servers of
// that role left; of equals the one with the lowest ID.
func chooseServers(servers []Server, from, to catalog.Role, count int) []Order {
	var orders []Order
	remaining := map[string]int{} // by zone
	for _, server := range servers {
		if server.Role == from {
			remaining[server.Zone]++
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(servers), func(server Server) bool {
		return server.Role != from || server.Changing
	})
	for ; count > 0 && len(candidates) > 0; count-- {
		next := slices.MaxFunc(candidates, func(a, b Server) int {
			return cmp.Or(cmp.Compare(remaining[a.Zone], remaining[b.Zone]), cmp.Compare(b.ID, a.ID))
		})
		orders = append(orders, Order{next.ID, to})
		remaining[next.Zone]--
		candidates = slices.DeleteFunc(candidates, func(server Server) bool { return server.ID == next.ID })
	}
	return orders
}
