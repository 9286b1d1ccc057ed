package chain

import (
	"fmt"
	"testing"
	"time"
)

const (
	// raceSeeds is how many seeds run if the environment variable raceSeedsVariable is not set.
	raceSeeds         = 40
	raceSeedsVariable = "CHAIN_RACE_SEEDS"
	// Each round has raceWritesPerRound concurrent writes. Each of them is sent to raceMachinesPerWrite randomly
	// drawn machines, and again after raceRetryDelay plus a random delay of up to the same time.
	raceWritesPerRound   = 8
	raceMachinesPerWrite = 3
	raceRetryDelay       = 250 * time.Millisecond
	raceRounds           = 12
	// raceTimeLimit is how long all rounds may take; faults are injected during the first raceFaultDuration.
	raceTimeLimit     = 60 * time.Second
	raceFaultDuration = 10 * time.Second
)

// TestConcurrentWritesOnOneVersion sends eight concurrent writes with the same expected version to several
// machines, five of them with the same new version, while half of the replies are lost and machines fail.
// Each write is retried until its outcome is known. In each round exactly one write has to be acknowledged,
// by every machine that answers it, and all others have to be rejected.
func TestConcurrentWritesOnOneVersion(t *testing.T) {
	forEachSeed(t, intFromEnvironment(raceSeedsVariable, raceSeeds), func(t *testing.T, seed int) {
		t.Helper()
		world := newWorld(int64(seed))
		if seed%2 == 0 {
			world.historyLength = simShortHistoryLength
		}
		bootstrapMembers(world)
		race := &raceWorld{simWorld: world, faults: &nemesis{world: world, until: world.now + raceFaultDuration}}
		race.runScenario()
		world.mustBeLinearizable(t)
	})
}

// raceWorld is a world with rounds of concurrent writes, all of a round with the same expected version.
type raceWorld struct {
	*simWorld
	faults *nemesis
	// round is the number of the current round, from 1.
	round int
	// version is the version of the register at the start of the round.
	version int64
	writes  []*competingWrite
	// ended means that all rounds have ended.
	ended bool
}

// competingWrite is one of the concurrent writes of a round.
type competingWrite struct {
	world  *raceWorld
	input  simInput
	called time.Duration
	// outcome is the first known outcome, Applied or Conflict; 0 as long as it is unknown.
	outcome Outcome
}

// runScenario runs all rounds while faults are injected.
func (w *raceWorld) runScenario() {
	w.faults.scheduleNext()
	w.after(raceFaultDuration, w.faults.healAll)
	w.beginRound()
	w.run(raceTimeLimit)
	if !w.ended && w.failure == "" {
		w.failf("round %d has not ended within the time limit", w.round)
	}
}

// beginRound starts the writes of the next round.
func (w *raceWorld) beginRound() {
	w.round++
	w.writes = nil
	if w.round > raceRounds {
		w.ended = true
		return
	}
	for i := range raceWritesPerRound {
		cw := &competingWrite{world: w, called: w.now}
		cw.input = simInput{
			write: true, expected: w.version, version: w.version + 1 + int64(max(0, i-raceWritesPerRound/2)),
		}
		cw.input.body = fmt.Sprintf("round %d write %d", w.round, i)
		w.writes = append(w.writes, cw)
		w.simWorld.recordCall(i, cw.input)
		cw.send()
	}
}

// send sends the write to some machines, and again later as long as its outcome is unknown.
func (cw *competingWrite) send() {
	world := cw.world
	if cw.outcome != 0 || world.failure != "" {
		return
	}
	for range raceMachinesPerWrite {
		machine := world.machines[world.addresses[world.random.Intn(len(world.addresses))]]
		proposal := Proposal{cw.input.expected, cw.input.version, []byte(cw.input.body)}
		machine.request(&proposal, cw.onReply)
	}
	world.after(raceRetryDelay+time.Duration(world.random.Int63n(int64(raceRetryDelay))), cw.send)
}

// onReply checks a reply. A random half of the replies is then ignored as if it were lost.
func (cw *competingWrite) onReply(reply Reply) {
	world, h := cw.world, &cw.world.history
	_, committed := h.committed[cw.input.body]
	switch reply.Outcome {
	case Applied:
		if !committed || h.rejected[cw.input.body] {
			world.failf("%q is acknowledged, committed %v, rejected %v", cw.input.body, committed,
				h.rejected[cw.input.body])
		}
	case Conflict:
		if reply.Entry.Version <= cw.input.expected {
			world.failf("%q is rejected by version %d, which is not after the expected one",
				cw.input.body, reply.Entry.Version)
		}
		world.recordRejection(cw.input.body)
	default:
		return
	}
	if cw.outcome != 0 || world.random.Intn(2) == 0 {
		return
	}
	cw.outcome = reply.Outcome
	for i, write := range world.writes {
		if write == cw {
			world.recordReturn(i, cw.input, cw.called, simOutput{outcome: cw.outcome})
		}
	}
	world.endRound()
}

// endRound begins the next round once the outcome of each write of this one is known.
func (w *raceWorld) endRound() {
	var applied []*competingWrite
	for _, write := range w.writes {
		if write.outcome == 0 {
			return
		}
		if write.outcome == Applied {
			applied = append(applied, write)
		}
	}
	if len(applied) != 1 {
		w.failf("round %d has %d acknowledged writes, not 1", w.round, len(applied))
		return
	}
	w.version = applied[0].input.version
	w.beginRound()
}
