package roleplan

import "cresshub/internal/router/catalog"

const (
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

// Order asks a server to change to a role.
type Order struct {
	Server string // by its ID
	Role   catalog.Role
}

// roleChange is a number of servers that are to change from one role to the other.
type roleChange struct {
	from, to catalog.Role
	servers  int
}

// Plan returns the orders that bring the servers of one service closer to the roles wanted. It returns none
// if the roles are close enough, if as many servers as allowed are changing, or if prefill is too busy to
// give up a server.
func Plan(servers []Server, demand Demand) []Order {
	if len(servers) < 2 {
		return nil // a lone server keeps its role
	}
	change := neededChange(servers, demand)
	if change.from == catalog.Prefill && prefillIsBusy(servers, demand) {
		return nil
	}
	if demand.HasTraffic {
		change.servers = min(change.servers-toleratedSurplus, allowedChanges(servers))
	}
	return chooseServers(servers, change)
}

// neededChange returns the change after which as many servers decode as are wanted. All servers of a service
// have as many slots, so that those of the first one stand for all.
func neededChange(servers []Server, demand Demand) roleChange {
	surplus := countDecoding(servers) - wantedDecodeServers(len(servers), servers[0].Slots, demand)
	if surplus < 0 {
		return roleChange{from: catalog.Prefill, to: catalog.Decode, servers: -surplus}
	}
	return roleChange{from: catalog.Decode, to: catalog.Prefill, servers: surplus}
}

// prefillIsBusy reports whether no server may be taken away from prefill.
func prefillIsBusy(servers []Server, demand Demand) bool {
	prefilling := len(servers) - countDecoding(servers)
	return demand.PrefillCalls > busyPrefillCalls*float64(prefilling)
}

// allowedChanges returns how many more servers may change their role now, while there is traffic.
func allowedChanges(servers []Server) int {
	limit := max(1, int(maxChangingFraction*float64(len(servers))))
	for _, server := range servers {
		if server.Changing {
			limit--
		}
	}
	return limit
}

// countDecoding returns the number of servers that decode.
func countDecoding(servers []Server) int {
	decoding := 0
	for _, server := range servers {
		if server.Role == catalog.Decode {
			decoding++
		}
	}
	return decoding
}
