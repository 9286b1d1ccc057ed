package routersim

import (
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"

	"github.com/cespare/xxhash/v2"
)

// Baselines returns well-known policies that the scheduler is measured against.
func Baselines() []PolicyFactory {
	return []PolicyFactory{
		newBaseline("random", (*baseline).randomServer),
		newBaseline("round robin", (*baseline).roundRobin),
		newBaseline("two choices", (*baseline).twoChoices),
		newBaseline("least known queue", (*baseline).leastKnownQueue),
		newBaseline("prefix hash, bounded load", (*baseline).boundedHash),
	}
}

// pickFunc picks one of several servers, which are never none.
type pickFunc func(b *baseline, servers []*catalog.Server, request *scheduler.Request) *catalog.Server

// baseline is a policy that splits all requests. Of a server it knows the calls by the newest report, and its
// own since then.
type baseline struct {
	random   *rand.Rand
	next     int // of round robin
	table    *catalog.Table
	reported map[string]int // calls of others by the newest report, by server
	ownCalls map[string]int // calls of this proxy that have not ended, by server
	pick     pickFunc
}

// roundRobinStarts is the number of servers that a round robin may begin with, so that proxies differ.
const roundRobinStarts = 1000

// newBaseline returns a factory of baselines that pick by one rule.
func newBaseline(name string, pick pickFunc) PolicyFactory {
	return PolicyFactory{name, func(_ string, seed uint64) Policy {
		random := rand.New(rand.NewPCG(seed, baselineStream))
		return &baseline{
			random: random, next: random.IntN(roundRobinStarts), pick: pick,
			reported: map[string]int{}, ownCalls: map[string]int{},
		}
	}}
}

// Update implements Policy.
func (b *baseline) Update(_ time.Duration, table *catalog.Table) { b.table = table }

// Split implements Policy; it reports whether there are prefill servers.
func (b *baseline) Split(_ time.Duration, request *scheduler.Request) bool {
	return len(b.servers(request, scheduler.Prefill)) > 0
}

// servers returns the servers of a role that the request has not been sent to.
func (b *baseline) servers(request *scheduler.Request, role scheduler.Role) []*catalog.Server {
	wanted := catalog.Decode
	if role == scheduler.Prefill {
		wanted = catalog.Prefill
	}
	var servers []*catalog.Server
	for _, listed := range b.table.Service(request.Service.Name) {
		if listed.Role == wanted && !slices.Contains(request.Excluded, listed.ID) {
			servers = append(servers, listed)
		}
	}
	return servers
}

// Choose implements Policy.
func (b *baseline) Choose(
	_ time.Duration, request *scheduler.Request, role scheduler.Role, _ *catalog.Server,
) *scheduler.Call {
	servers := b.servers(request, role)
	if len(servers) == 0 {
		return nil
	}
	picked := b.pick(b, servers, request)
	b.ownCalls[picked.ID]++
	return &scheduler.Call{Server: picked, Role: role}
}

// knownCalls returns the load of a server as this proxy knows it.
func (b *baseline) knownCalls(server *catalog.Server) int {
	return b.reported[server.ID] + b.ownCalls[server.ID]
}

func (b *baseline) randomServer(servers []*catalog.Server, _ *scheduler.Request) *catalog.Server {
	return servers[b.random.IntN(len(servers))]
}

func (b *baseline) roundRobin(servers []*catalog.Server, _ *scheduler.Request) *catalog.Server {
	b.next++
	return servers[b.next%len(servers)]
}

// twoChoices draws two servers and picks the one with fewer known calls (Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing").
func (b *baseline) twoChoices(servers []*catalog.Server, _ *scheduler.Request) *catalog.Server {
	first, second := servers[b.random.IntN(len(servers))], servers[b.random.IntN(len(servers))]
	if b.knownCalls(second) < b.knownCalls(first) {
		return second
	}
	return first
}

// leastKnownQueue picks a server with the fewest known calls, of several one at random.
func (b *baseline) leastKnownQueue(servers []*catalog.Server, _ *scheduler.Request) *catalog.Server {
	best, ties := servers[0], 0
	for _, server := range servers {
		switch difference := b.knownCalls(server) - b.knownCalls(best); {
		case difference < 0:
			best, ties = server, 1
		case difference == 0:
			if ties++; b.random.IntN(ties) == 0 {
				best = server
			}
		}
	}
	return best
}

// boundedHash picks the first prefill server by rendezvous hashing of the shared segments whose known calls
// are at most bound times the mean (Mirrokni, Thorup, Zadimoghaddam, "Consistent Hashing with Bounded
// Loads"). Decode servers it picks by two choices.
func (b *baseline) boundedHash(servers []*catalog.Server, request *scheduler.Request) *catalog.Server {
	if servers[0].Role == catalog.Decode {
		return b.twoChoices(servers, request)
	}
	const bound = 1.25
	sum := 1
	for _, server := range servers {
		sum += b.knownCalls(server)
	}
	limit := bound * float64(sum) / float64(len(servers))
	key := request.Segments[max(0, len(request.Segments)-2)].ID
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(x, y *catalog.Server) int {
		if xxhash.Sum64String(x.ID+key) > xxhash.Sum64String(y.ID+key) {
			return -1
		}
		return 1
	})
	for _, server := range ranked {
		if float64(b.knownCalls(server)) <= limit {
			return server
		}
	}
	return ranked[0]
}

// ObserveLoad implements Policy.
func (b *baseline) ObserveLoad(_ time.Duration, server string, load scheduler.Load) {
	b.reported[server] = max(0, load.Running+load.Waiting-b.ownCalls[server])
}

// FirstEvent implements Policy; it does nothing.
func (b *baseline) FirstEvent(time.Duration, *scheduler.Call) {}

// Done implements Policy.
func (b *baseline) Done(_ time.Duration, call *scheduler.Call, _ scheduler.Outcome) {
	b.ownCalls[call.Server.ID]--
}
