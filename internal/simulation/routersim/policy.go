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
	Told(now time.Duration, server string, load scheduler.Load)
	FirstEvent(now time.Duration, call *scheduler.Call)
	Done(now time.Duration, call *scheduler.Call, outcome scheduler.Outcome)
}

// Maker makes the policies of proxies.
type Maker struct {
	Name string
	New  func(zone string, seed uint64) Policy
}

// Pairing is the real one.
func Pairing() Maker {
	return Maker{"pairing", func(zone string, seed uint64) Policy { return scheduler.New(zone, seed) }}
}

// Rivals are the policies that it is measured against.
func Rivals() []Maker {
	return []Maker{
		rival("random", func(s *simple, all []*catalog.Server, _ *scheduler.Request) *catalog.Server {
			return all[s.random.IntN(len(all))]
		}),
		rival("round robin", func(s *simple, all []*catalog.Server, _ *scheduler.Request) *catalog.Server {
			s.turn++
			return all[s.turn%len(all)]
		}),
		rival("two choices", (*simple).twoChoices),
		rival("least known queue", func(s *simple, all []*catalog.Server, _ *scheduler.Request) *catalog.Server {
			return s.least(all)
		}),
		rival("prefix hash, bounded load", (*simple).boundedHash),
	}
}

type pick func(s *simple, all []*catalog.Server, r *scheduler.Request) *catalog.Server

// simple is a policy that always splits, and knows of a server the calls that it told and its own since.
type simple struct {
	random *rand.Rand
	turn   int
	table  *catalog.Table
	told   map[string]int
	own    map[string]int
	pick   pick
}

func rival(name string, pick pick) Maker {
	return Maker{name, func(zone string, seed uint64) Policy {
		random := rand.New(rand.NewPCG(seed, 3))
		return &simple{
			random: random, turn: random.IntN(1000), told: map[string]int{}, own: map[string]int{}, pick: pick,
		}
	}}
}

// Update takes a newer table.
func (s *simple) Update(_ time.Duration, table *catalog.Table) { s.table = table }

// Split tells whether there are readers.
func (s *simple) Split(_ time.Duration, r *scheduler.Request) bool {
	return len(s.servers(r, scheduler.Read)) > 0
}

func (s *simple) servers(r *scheduler.Request, role scheduler.Role) []*catalog.Server {
	stage := catalog.Writing
	if role == scheduler.Read {
		stage = catalog.Reading
	}
	var all []*catalog.Server
	for _, x := range s.table.Service(r.Service.Name) {
		if x.Stage == stage && !slices.Contains(r.Tried, x.ID) {
			all = append(all, x)
		}
	}
	return all
}

// Choose sends a call.
func (s *simple) Choose(
	_ time.Duration, r *scheduler.Request, role scheduler.Role, _ *catalog.Server,
) *scheduler.Call {
	all := s.servers(r, role)
	if len(all) == 0 {
		return nil
	}
	to := s.pick(s, all, r)
	s.own[to.ID]++
	return &scheduler.Call{Server: to, Role: role}
}

func (s *simple) known(x *catalog.Server) int { return s.told[x.ID] + s.own[x.ID] }

func (s *simple) twoChoices(all []*catalog.Server, _ *scheduler.Request) *catalog.Server {
	x, y := all[s.random.IntN(len(all))], all[s.random.IntN(len(all))]
	if s.known(y) < s.known(x) {
		return y
	}
	return x
}

// least is a server with the fewest calls known, one of them at random.
func (s *simple) least(all []*catalog.Server) *catalog.Server {
	best, ties := all[0], 0
	for _, x := range all {
		switch k := s.known(x) - s.known(best); {
		case k < 0:
			best, ties = x, 1
		case k == 0:
			if ties++; s.random.IntN(ties) == 0 {
				best = x
			}
		}
	}
	return best
}

// boundedHash is the first server by rendezvous hashing of the shared parts that has no more than bound times
// the mean of the calls known.
func (s *simple) boundedHash(all []*catalog.Server, r *scheduler.Request) *catalog.Server {
	if all[0].Stage == catalog.Writing {
		return s.twoChoices(all, r)
	}
	const bound = 1.25
	sum := 1
	for _, x := range all {
		sum += s.known(x)
	}
	limit := bound * float64(sum) / float64(len(all))
	key := r.Parts[max(0, len(r.Parts)-2)].ID
	ranked := slices.Clone(all)
	slices.SortFunc(ranked, func(x, y *catalog.Server) int {
		if xxhash.Sum64String(x.ID+key) > xxhash.Sum64String(y.ID+key) {
			return -1
		}
		return 1
	})
	for _, x := range ranked {
		if float64(s.known(x)) <= limit {
			return x
		}
	}
	return ranked[0]
}

// Told takes a told load.
func (s *simple) Told(_ time.Duration, server string, load scheduler.Load) {
	s.told[server] = max(0, load.Running+load.Waiting-s.own[server])
}

// FirstEvent is of no use here.
func (s *simple) FirstEvent(time.Duration, *scheduler.Call) {}

// Done ends a call.
func (s *simple) Done(_ time.Duration, call *scheduler.Call, _ scheduler.Outcome) {
	s.own[call.Server.ID]--
}
