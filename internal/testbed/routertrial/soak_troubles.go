package routertrial

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// soakTrouble is one kind of trouble that a soak draws. It plays to its end and leaves nothing behind.
type soakTrouble struct {
	name string
	play func(ctx context.Context, s *soak, lot *rand.Rand) error
}

var soakTroubles = []soakTrouble{
	{"kill", onMachine(anyMachine, playKill)},
	{"end_at_point", onMachine(anyMachine, playEndAtPoint)},
	{"term", onMachine(anyMachine, playTerm)},
	{"freeze", onMachine(anyMachine, playFreeze)},
	{"wipe", playWipe},
	{"herd", playHerd},
	{"herd_after_ack", playHerdAfterAck},
	{"cut_member", playCutMember},
	{"cut_halves", playCutHalves},
	{"cut_one_way", playCutOneWay},
	{"cut_follower", playCutFollower},
	{"disk", onMachine(hasDisk, playDisk)},
	{"accept", playAccept},
	{"reload", playReload},
	{"log_stands", onMachine(anyMachine, playLogStands)},
	{"crash_server", playCrashServer},
	{"drain_server", playDrainServer},
	{"misbehave", playMisbehave},
	{"storm", playStorm},
	{"race", playRace},
	{"answers_lost", playAnswersLost},
	{"rude_clients", playRudeClients},
}

// TroubleNames names the troubles that a soak draws.
func TroubleNames() []string {
	var names []string
	for _, trouble := range soakTroubles {
		names = append(names, trouble.name)
	}
	return names
}

// selectTroubles returns the troubles with some names, all where none is given.
func selectTroubles(names []string) []soakTrouble {
	if len(names) == 0 {
		return soakTroubles
	}
	return slices.DeleteFunc(slices.Clone(soakTroubles), func(trouble soakTrouble) bool {
		return !slices.Contains(names, trouble.name)
	})
}

// between draws a time.
func between(lot *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(lot.Int64N(int64(most-least)))
}
