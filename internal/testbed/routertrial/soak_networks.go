package routertrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// playCut cuts ways for a while.
func (s *soak) playCut(ctx context.Context, lot *rand.Rand, what string, ways []way, machines ...*Machine) {
	troubled, end := context.WithCancel(ctx)
	defer end()
	go s.keepTroubled(troubled, machines...)
	s.event("cut: %s", what)
	heal := s.cuts.add(ways)
	sleepFor(ctx, between(lot, 300*time.Millisecond, 6*time.Second))
	heal()
	s.event("healed: %s", what)
}

// playCutMember cuts a machine with a disk off from the others that have one, or from all.
func playCutMember(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := drawMachine(lot, s.WithDisk(true))
	others, what := s.WithDisk(true), "the other members"
	if lot.IntN(2) == 0 {
		others, what = s.Machines, "all machines"
	}
	s.playCut(ctx, lot, m.Name+" from "+what, bothWays([]*Machine{m}, others), s.WithDisk(true)...)
	return nil
}

// playCutHalves cuts the machines into two halves by lot.
func playCutHalves(ctx context.Context, s *soak, lot *rand.Rand) error {
	var one, other []*Machine
	for _, m := range s.Machines {
		if lot.IntN(2) == 0 {
			one = append(one, m)
		} else {
			other = append(other, m)
		}
	}
	s.playCut(ctx, lot, fmt.Sprintf("%d machines from %d", len(one), len(other)), bothWays(one, other),
		s.Machines...)
	return nil
}

// playCutOneWay has a machine not hear another one, or nobody hear it.
func playCutOneWay(ctx context.Context, s *soak, lot *rand.Rand) error {
	from := s.Machines[lot.IntN(len(s.Machines))]
	var ways []way
	for _, to := range s.Machines {
		if to != from && lot.IntN(3) > 0 {
			ways = append(ways, way{from, to})
		}
	}
	s.playCut(ctx, lot, fmt.Sprintf("%s is not heard by %d", from.Name, len(ways)), ways, s.Machines...)
	return nil
}

func playCutFollower(ctx context.Context, s *soak, lot *rand.Rand) error {
	m := drawMachine(lot, s.WithDisk(false))
	members := s.WithDisk(true)
	lot.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	members = members[:1+lot.IntN(len(members))]
	s.playCut(ctx, lot, fmt.Sprintf("%s from %d members", m.Name, len(members)),
		bothWays([]*Machine{m}, members), m)
	return nil
}
