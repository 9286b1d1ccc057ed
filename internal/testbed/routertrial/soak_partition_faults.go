package routertrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cresshub/internal/testbed/routerstandin"
)

// injectPartition blocks links for a while. Rules with a time bound do not apply to the machines meanwhile.
func (s *soak) injectPartition(ctx context.Context, rng *rand.Rand, what string, links []link,
	machines ...*Machine) {
	faultCtx, end := context.WithCancel(ctx)
	defer end()
	go s.recordFaultUntil(faultCtx, machines...)
	s.logEvent("partition: %s", what)
	heal := s.active.block(links)
	routerstandin.Sleep(ctx, between(rng, 300*time.Millisecond, 6*time.Second))
	heal()
	s.logEvent("healed: %s", what)
}

// isolateMember partitions a machine with a disk from the others that have one, or from all.
func isolateMember(ctx context.Context, s *soak, rng *rand.Rand) error {
	m := drawMachine(rng, s.WithDisk(true))
	others, what := s.WithDisk(true), "the other members"
	if rng.IntN(2) == 0 {
		others, what = s.Machines, "all machines"
	}
	s.injectPartition(ctx, rng, m.Name+" from "+what, bothDirections([]*Machine{m}, others), s.WithDisk(true)...)
	return nil
}

// partitionHalves partitions the machines into two random groups.
func partitionHalves(ctx context.Context, s *soak, rng *rand.Rand) error {
	var one, other []*Machine
	for _, m := range s.Machines {
		if rng.IntN(2) == 0 {
			one = append(one, m)
		} else {
			other = append(other, m)
		}
	}
	s.injectPartition(ctx, rng, fmt.Sprintf("%d machines from %d", len(one), len(other)),
		bothDirections(one, other), s.Machines...)
	return nil
}

// partitionOneWay blocks the links from a machine to some others, but not those back.
func partitionOneWay(ctx context.Context, s *soak, rng *rand.Rand) error {
	from := s.Machines[rng.IntN(len(s.Machines))]
	var links []link
	for _, to := range s.Machines {
		if to != from && rng.IntN(3) > 0 {
			links = append(links, link{from, to})
		}
	}
	s.injectPartition(ctx, rng, fmt.Sprintf("%s is not heard by %d", from.Name, len(links)), links,
		s.Machines...)
	return nil
}

// isolateFollower partitions a machine without a disk from some of those that have one.
func isolateFollower(ctx context.Context, s *soak, rng *rand.Rand) error {
	m := drawMachine(rng, s.WithDisk(false))
	members := s.WithDisk(true)
	rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	members = members[:1+rng.IntN(len(members))]
	s.injectPartition(ctx, rng, fmt.Sprintf("%s from %d members", m.Name, len(members)),
		bothDirections([]*Machine{m}, members), m)
	return nil
}
