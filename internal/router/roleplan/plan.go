package roleplan

import "cresshub/internal/router/catalog"

const (
	// maxChangingFraction is the maximum fraction of the servers that may be out of service for a role change
	// at the same time while there is traffic.
	maxChangingFraction = 0.12
	// busyPrefillCalls is the mean number of calls per prefill server, including queued ones, above which no
	// prefill server changes its role: prompts that wait for prefill delay the tokens that additional decode
	// servers would generate.
	busyPrefillCalls = 1.5
	// toleratedSurplus is the number of servers by which a role may exceed its desired number while there is
	// traffic.
	toleratedSurplus = 1
)

// Server is one model server of a service.
type Server struct {
	ID       string
	Zone     string
	Role     catalog.Role
	Slots    int  // requests that the server runs at once
	Changing bool // a role change of the server is in progress
}

// Order requests that a server changes to a role.
type Order struct {
	Server string // ID of the server
	Role   catalog.Role
}

// roleChange is a change of a number of servers from one role to the other.
type roleChange struct {
	from, to catalog.Role
	servers  int
}

// Plan returns the orders that bring the servers of one service closer to the desired roles. It returns none
// if the numbers are close enough, if as many servers as allowed are changing already, or if the prefill
// servers are too busy to give up one.
func Plan(servers []Server, demand Demand) []Order {
	if len(servers) < 2 {
		return nil // a single server keeps its role
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

// neededChange returns the change that leads to the desired number of decode servers. All servers of a
// service have the same number of slots, so that it uses the number of the first one.
func neededChange(servers []Server, demand Demand) roleChange {
	surplus := countDecoding(servers) - desiredDecodeServers(len(servers), servers[0].Slots, demand)
	if surplus < 0 {
		return roleChange{from: catalog.Prefill, to: catalog.Decode, servers: -surplus}
	}
	return roleChange{from: catalog.Decode, to: catalog.Prefill, servers: surplus}
}

// prefillIsBusy reports whether the prefill servers are too busy for any of them to change its role.
func prefillIsBusy(servers []Server, demand Demand) bool {
	prefilling := len(servers) - countDecoding(servers)
	return demand.PrefillCalls > busyPrefillCalls*float64(prefilling)
}

// allowedChanges returns how many more servers may change their role now while there is traffic.
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
