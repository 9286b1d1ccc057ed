package routertrial

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// soakFault is one kind of fault that a soak draws. inject returns when the fault is over and undone; it
// draws from rng alone, so that a seed gives the same faults each time.
type soakFault struct {
	name   string
	inject func(ctx context.Context, s *soak, rng *rand.Rand) error
}

var soakFaults = []soakFault{
	{"kill", onMachine(anyMachine, injectKill)},
	{"end_at_point", onMachine(anyMachine, injectExitAtPoint)},
	{"term", onMachine(anyMachine, injectTermination)},
	{"freeze", onMachine(anyMachine, injectFreeze)},
	{"wipe", injectDiskLoss},
	{"herd", injectKillAll},
	{"herd_after_ack", injectKillAllAfterAck},
	{"cut_member", isolateMember},
	{"cut_halves", partitionHalves},
	{"cut_one_way", partitionOneWay},
	{"cut_follower", isolateFollower},
	{"disk", onMachine(hasDisk, injectDiskFault)},
	{"accept", injectAcceptFailure},
	{"reload", injectReload},
	{"log_stands", onMachine(anyMachine, injectStalledLog)},
	{"crash_server", injectServerCrash},
	{"drain_server", injectServerDrain},
	{"misbehave", injectMisbehaviour},
	{"storm", injectConfigBurst},
	{"race", injectConfigRace},
	{"answers_lost", injectDroppedResponses},
	{"rude_clients", injectRudeClients},
	{"stalls", injectStalls},
}

// SoakFaultNames names the faults that a soak draws.
func SoakFaultNames() []string {
	var names []string
	for _, fault := range soakFaults {
		names = append(names, fault.name)
	}
	return names
}

// selectFaults returns the faults with some names, all where none is given.
func selectFaults(names []string) []soakFault {
	if len(names) == 0 {
		return soakFaults
	}
	return slices.DeleteFunc(slices.Clone(soakFaults), func(fault soakFault) bool {
		return !slices.Contains(names, fault.name)
	})
}

// between draws a duration.
func between(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}
