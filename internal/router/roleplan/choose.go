package roleplan

import (
	"cmp"
	"slices"

	"cresshub/internal/router/catalog"
)

// chooseServers returns the orders for a change. There are fewer orders than the change asks for if too few
// servers are available, because servers that are changing already get no second order. It chooses each
// server from the zone that has the most servers of the old role left, and the one with the lowest ID on a
// tie.
func chooseServers(servers []Server, change roleChange) []Order {
	remaining := countByZone(servers, change.from)
	candidates := slices.DeleteFunc(slices.Clone(servers), func(server Server) bool {
		return server.Role != change.from || server.Changing
	})
	var orders []Order
	for len(orders) < change.servers && len(candidates) > 0 {
		next := slices.MaxFunc(candidates, func(a, b Server) int {
			return cmp.Or(cmp.Compare(remaining[a.Zone], remaining[b.Zone]), cmp.Compare(b.ID, a.ID))
		})
		orders = append(orders, Order{Server: next.ID, Role: change.to})
		remaining[next.Zone]--
		candidates = slices.DeleteFunc(candidates, func(server Server) bool { return server.ID == next.ID })
	}
	return orders
}

// countByZone returns the number of servers of a role in each zone.
func countByZone(servers []Server, role catalog.Role) map[string]int {
	counts := map[string]int{}
	for _, server := range servers {
		if server.Role == role {
			counts[server.Zone]++
		}
	}
	return counts
}
