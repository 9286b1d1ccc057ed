package routersim

import (
	"math/rand/v2"
	"slices"
	"time"

	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"

	"github.com/cespare/xxhash/v2"
)

// Policy is what decides at a proxy. *pairing.Chooser is one.
type Policy interface {
	Update(now time.Duration, table *catalog.Table)
	Split(now time.Duration, r *scheduler.Request) bool
	Choose(now time.Duration, r *scheduler.Request, role scheduler.Role, reader *catalog.Server) *scheduler.Call
	ObserveLoad(now time.Duration, server string, load scheduler.Load)
	FirstEvent(now time.Duration, call *scheduler.Call)
	Done(now time.Duration, call *scheduler.Call, outcome scheduler.Outcome)
}

// PolicyFactory makes the policies of proxies.
type PolicyFactory struct {
	Name string
	New  func(zone string, seed uint64) Policy
}

// Scheduler is the real one.
func Scheduler() PolicyFactory {
	return PolicyFactory{"pairing", func(zone string, seed uint64) Policy { return scheduler.New(zone, seed) }}
}

// Baselines are the policies that it is measured against.
func Baselines() []PolicyFactory {
	return []PolicyFactory{
		newBaseline("random", func(s *baseline, all []*catalog.Server, _ *scheduler.Request) *catalog.Server {
			return all[s.random.IntN(len(all))]
		}),
		newBaseline("round robin", func(s *baseline, all []*catalog.Server, _ *scheduler.Request) *catalog.Server {
			s.next++
			return all[s.next%len(all)]
		}),
		newBaseline("two choices", (*baseline).twoChoices),
		newBaseline("least known queue", func(s *baseline, all []*catalog.Server,
			_ *scheduler.Request) *catalog.Server {
			return s.leastLoaded(all)
		}),
		newBaseline("prefix hash, bounded load", (*baseline).boundedHash),
	}
}

type pickFunc func(s *baseline, all []*catalog.Server, r *scheduler.Request) *catalog.Server

// baseline is a policy that always splits, and knows of a server the calls that it told and its own since.
type baseline struct {
	random   *rand.Rand
	next     int
	table    *catalog.Table
	reported map[string]int
	ownCalls map[string]int
	pick     pickFunc
}

func newBaseline(name string, pick pickFunc) PolicyFactory {
	return PolicyFactory{name, func(zone string, seed uint64) Policy {
		random := rand.New(rand.NewPCG(seed, 3))
		return &baseline{
			random: random, next: random.IntN(1000), reported: map[string]int{}, ownCalls: map[string]int{},
			pick: pick,
		}
	}}
}

// Update takes a newer table.
func (s *baseline) Update(_ time.Duration, table *catalog.Table) { s.table = table }

// Split tells whether there are readers.
func (s *baseline) Split(_ time.Duration, r *scheduler.Request) bool {
	return len(s.servers(r, scheduler.Prefill)) > 0
}

func (s *baseline) servers(r *scheduler.Request, role scheduler.Role) []*catalog.Server {
	stage := catalog.Decode
	if role == scheduler.Prefill {
		stage = catalog.Prefill
	}
	var all []*catalog.Server
	for _, listed := range s.table.Service(r.Service.Name) {
		if listed.Role == stage && !slices.Contains(r.Excluded, listed.ID) {
			all = append(all, listed)
		}
	}
	return all
}

// Choose sends a call.
func (s *baseline) Choose(
	_ time.Duration, r *scheduler.Request, role scheduler.Role, _ *catalog.Server,
) *scheduler.Call {
	all := s.servers(r, role)
	if len(all) == 0 {
		return nil
	}
	to := s.pick(s, all, r)
	s.ownCalls[to.ID]++
	return &scheduler.Call{Server: to, Role: role}
}

func (s *baseline) knownCalls(x *catalog.Server) int { return s.reported[x.ID] + s.ownCalls[x.ID] }

func (s *baseline) twoChoices(all []*catalog.Server, _ *scheduler.Request) *catalog.Server {
	x, y := all[s.random.IntN(len(all))], all[s.random.IntN(len(all))]
	if s.knownCalls(y) < s.knownCalls(x) {
		return y
	}
	return x
}

// leastLoaded is a server with the fewest calls known, one of them at random.
func (s *baseline) leastLoaded(all []*catalog.Server) *catalog.Server {
	best, ties := all[0], 0
	for _, candidate := range all {
		switch difference := s.knownCalls(candidate) - s.knownCalls(best); {
		case difference < 0:
			best, ties = candidate, 1
		case difference == 0:
			if ties++; s.random.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return best
}

// boundedHash is the first server by rendezvous hashing of the shared parts that has no more than bound times
// the mean of the calls known.
func (s *baseline) boundedHash(all []*catalog.Server, r *scheduler.Request) *catalog.Server {
	if all[0].Role == catalog.Decode {
		return s.twoChoices(all, r)
	}
	const bound = 1.25
	sum := 1
	for _, candidate := range all {
		sum += s.knownCalls(candidate)
	}
	limit := bound * float64(sum) / float64(len(all))
	key := r.Segments[max(0, len(r.Segments)-2)].ID
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(candidate, y *catalog.Server) int {
		if xxhash.Sum64String(candidate.ID+key) > xxhash.Sum64String(y.ID+key) {
			return -1
		}
		return 1
	})
	for _, candidate := range ranked {
		if float64(s.knownCalls(candidate)) <= limit {
			return candidate
		}
	}
	return ranked[0]
}

// ObserveLoad takes a told load.
func (s *baseline) ObserveLoad(_ time.Duration, server string, load scheduler.Load) {
	s.reported[server] = max(0, load.Running+load.Waiting-s.ownCalls[server])
}

// FirstEvent is of no use here.
func (s *baseline) FirstEvent(time.Duration, *scheduler.Call) {}

// Done ends a call.
func (s *baseline) Done(_ time.Duration, call *scheduler.Call, _ scheduler.Outcome) {
	s.ownCalls[call.Server.ID]--
}
