package chain

import (
	"fmt"
	"testing"
	"time"
)

const (
	// raceSeeds is how many races run without raceSeedsVariable in the environment.
	raceSeeds         = 40
	raceSeedsVariable = "CHAIN_RACE_SEEDS"
	// raceWrites run concurrently, each sent to raceMachines machines and again after raceRetry.
	raceWrites   = 8
	raceMachines = 3
	raceRetry    = 250 * time.Millisecond
	raceRounds   = 12
	// raceTime is how long a race may take, its faults end after raceFaults.
	raceTime   = 60 * time.Second
	raceFaults = 10 * time.Second
)

// TestOperatorsRaceForAVersion sends eight concurrent writes on one version to several machines, half of
// them under the same number, while half of the replies are lost and machines fail. Each write is retried
// until its outcome is known: exactly one of them is acknowledged, at all machines, and each other one is
// rejected.
func TestOperatorsRaceForAVersion(t *testing.T) {
	forEachSeed(t, fromEnvironment(raceSeedsVariable, raceSeeds), func(t *testing.T, seed int) {
		t.Helper()
		world := newWorld(int64(seed))
		if seed%2 == 0 {
			world.historyLength = simShortHistory
		}
		bootstrapMembers(world)
		race := &raceWorld{simWorld: world, faults: &nemesis{world: world, until: world.now + raceFaults}}
		race.play()
		world.mustBeLinearizable(t)
	})
}

// raceWorld is a world with rounds of writes on one version.
type raceWorld struct {
	*simWorld
	faults  *nemesis
	round   int
	version int64
	racers  []*racer
	ended   bool
}

// racer is one write of a round.
type racer struct {
	world  *raceWorld
	input  simInput
	called time.Duration
	// outcome is the first definite one that arrived; 0 before.
	outcome Outcome
}

// play runs all rounds.
func (w *raceWorld) play() {
	w.faults.scheduleNext()
	w.after(raceFaults, w.faults.healAll)
	w.beginRound()
	w.run(raceTime)
	if !w.ended && w.failure == "" {
		w.failf("round %d never ends", w.round)
	}
}

// beginRound sends the writes of the next round.
func (w *raceWorld) beginRound() {
	w.round++
	w.racers = nil
	if w.round > raceRounds {
		w.ended = true
		return
	}
	for i := range raceWrites {
		r := &racer{world: w, called: w.now}
		r.input = simInput{write: true, expected: w.version, version: w.version + 1 + int64(max(0, i-raceWrites/2))}
		r.input.body = fmt.Sprintf("round %d write %d", w.round, i)
		w.racers = append(w.racers, r)
		w.simWorld.recordCall(i, r.input)
		r.send()
	}
}

// send sends the write to some machines, and again as long as there is no definite outcome.
func (r *racer) send() {
	world := r.world
	if r.outcome != 0 || world.failure != "" {
		return
	}
	for range raceMachines {
		machine := world.machines[world.addresses[world.random.Intn(len(world.addresses))]]
		proposal := Proposal{r.input.expected, r.input.version, []byte(r.input.body)}
		machine.request(&proposal, r.onReply)
	}
	world.after(raceRetry+time.Duration(world.random.Int63n(int64(raceRetry))), r.send)
}

// onReply handles a reply; half of them count as lost, but also those must be right.
func (r *racer) onReply(reply Reply) {
	world, h := r.world, &r.world.history
	_, committed := h.committed[r.input.body]
	switch reply.Outcome {
	case Applied:
		if !committed || h.rejected[r.input.body] {
			world.failf("%q is acknowledged, committed %v, rejected %v", r.input.body, committed,
				h.rejected[r.input.body])
		}
	case Conflict:
		if reply.Entry.Version <= r.input.expected {
			world.failf("%q is rejected by version %d", r.input.body, reply.Entry.Version)
		}
		world.recordRejection(r.input.body)
	default:
		return
	}
	if r.outcome != 0 || world.random.Intn(2) == 0 {
		return
	}
	r.outcome = reply.Outcome
	for i, one := range world.racers {
		if one == r {
			world.recordReturn(i, r.input, r.called, simOutput{outcome: r.outcome})
		}
	}
	world.endRound()
}

// endRound begins the next round when each write of this one has a definite outcome.
func (w *raceWorld) endRound() {
	var winners []*racer
	for _, racer := range w.racers {
		if racer.outcome == 0 {
			return
		}
		if racer.outcome == Applied {
			winners = append(winners, racer)
		}
	}
	if len(winners) != 1 {
		w.failf("round %d has %d winners", w.round, len(winners))
		return
	}
	w.version = winners[0].input.version
	w.beginRound()
}
