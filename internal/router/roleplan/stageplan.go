// Package roleplan decides how many of a service's model servers read prompts and how many make tokens, and
// which servers are to change. It is pure.
package roleplan

import (
	"cmp"
	"math"
	"slices"

	"cresshub/internal/router/catalog"
)

const (
	// minDecodeFraction is the part of the servers that make tokens at least. Reading is the larger work by far,
	// so that the others read; but tokens are made everywhere at once, and losses must not stop them.
	minDecodeFraction = 0.3
	// minPrefillFraction is the part that reads at least.
	minPrefillFraction = 0.25
	// targetSlotUtilization is the part of a writer's slots that is meant to be in use; the more requests it
	// runs, the more slowly each one gets its tokens.
	targetSlotUtilization = 0.3
	// maxChangingFraction is the part of the servers that may be out of service for a change at the same time
	// while requests come.
	maxChangingFraction = 0.12
	// busyPrefillCalls is how many calls a reader has on average, waiting ones included, from which on no reader
	// is taken away: prompts that wait to be read hold up the tokens that more writers were to make.
	busyPrefillCalls = 1.5
	// toleratedSurplus is by how many servers the parts may miss what is wanted while requests come.
	toleratedSurplus = 1
)

// Server is one model server of a service.
type Server struct {
	ID       string
	Zone     string
	Role     catalog.Role
	Slots    int
	Changing bool // an order is under way
}

// Demand is what all proxies together have under way at a service.
type Demand struct {
	HasTraffic   bool    // requests come
	PrefillCalls float64 // calls that read a prompt, waiting ones included
	DecodeCalls  float64 // calls that make tokens
}

// Order asks a server to change its stage.
type Order struct {
	Server string
	Role   catalog.Role
}

// wantedDecodeServers returns how many of so many servers are to make tokens.
func wantedDecodeServers(servers, slots int, demand Demand) int {
	wanted := math.Ceil(minDecodeFraction * float64(servers))
	if demand.HasTraffic && slots > 0 {
		wanted = max(wanted, math.Ceil(demand.DecodeCalls/(targetSlotUtilization*float64(slots))))
	}
	limit := float64(servers) - max(1, math.Floor(minPrefillFraction*float64(servers)))
	return int(max(min(wanted, limit), min(1, float64(servers))))
}

// Plan returns the orders that bring the servers of a service closer to the parts wanted, none where they are
// close enough or as many as may are changing.
func Plan(servers []Server, demand Demand) []Order {
	if len(servers) < 2 {
		return nil
	}
	decoding, changing := 0, 0
	for _, server := range servers {
		if server.Role == catalog.Decode {
			decoding++
		}
		if server.Changing {
			changing++
		}
	}
	surplus := decoding - wantedDecodeServers(len(servers), servers[0].Slots, demand)
	from, to := catalog.Decode, catalog.Prefill
	if surplus < 0 {
		if prefilling := len(servers) - decoding; demand.PrefillCalls > busyPrefillCalls*float64(prefilling) {
			return nil
		}
		surplus, from, to = -surplus, catalog.Prefill, catalog.Decode
	}
	capacity := len(servers)
	if demand.HasTraffic {
		capacity = max(1, int(maxChangingFraction*float64(len(servers)))) - changing
		surplus -= toleratedSurplus
	}
	return chooseServers(servers, from, to, min(surplus, capacity))
}

// chooseServers takes the servers to change from the zones that have most of their stage.
func chooseServers(servers []Server, from, to catalog.Role, count int) []Order {
	var orders []Order
	remaining := map[string]int{}
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
			if order := cmp.Compare(remaining[a.Zone], remaining[b.Zone]); order != 0 {
				return order
			}
			return cmp.Compare(b.ID, a.ID)
		})
		orders = append(orders, Order{next.ID, to})
		remaining[next.Zone]--
		candidates = slices.DeleteFunc(candidates, func(server Server) bool { return server.ID == next.ID })
	}
	return orders
}
