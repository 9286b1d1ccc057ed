package chain

import (
	"fmt"
	"testing"
	"time"
)

const (
	// partitionSeeds is how many seeds each kind of partition gets without partitionSeedsVariable in the
	// environment.
	partitionSeeds         = 2
	partitionSeedsVariable = "CHAIN_CUT_SEEDS"
	// partitionTime is how long a machine is isolated. Calls that begin partitionStabilization after its
	// start have to be answered by the others, those that begin so long after its end by all; none takes
	// longer than partitionCallLimit.
	partitionTime          = 20 * time.Second
	partitionStabilization = 1500 * time.Millisecond
	partitionCallLimit     = 2 * time.Second
	// partitionMaxViews bounds the views that one partition costs, its end included.
	partitionMaxViews = 6
)

// partitionKind says which messages of a machine are lost.
type partitionKind struct {
	name    string
	in, out bool
	// membersOnly leaves the links to machines that are not members intact.
	membersOnly bool
	// withAnother isolates another machine together with this one.
	withAnother bool
}

// partitionKinds are all ways in which a machine is isolated.
var partitionKinds = []partitionKind{
	{name: "nothing comes in", in: true},
	{name: "nothing goes out", out: true},
	{name: "both ways", in: true, out: true},
	{name: "from the members only", in: true, out: true, membersOnly: true},
	{name: "from the members only, nothing comes in", in: true, membersOnly: true},
	{name: "together with another machine", in: true, out: true, withAnother: true},
}

// TestPartitionOfOneReplicaFor20Seconds isolates each replica in each way, with a candidate to replace it
// and without, while clients read and write at every machine. The others soon answer each call again; what
// the isolated machine answers is linearizable, and it serves soon after the partition has healed.
func TestPartitionOfOneReplicaFor20Seconds(t *testing.T) {
	seeds := fromEnvironment(partitionSeedsVariable, partitionSeeds)
	for _, kind := range partitionKinds {
		for replica := range 3 {
			for _, candidates := range []int{0, 1} {
				for seed := range seeds {
					name := fmt.Sprint(kind.name, ", replica ", replica, ", ", candidates, " candidates, seed ", seed)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						world := newPartitionWorld(int64(seed), candidates)
						world.play(kind, replica)
						world.mustBeLinearizable(t)
					})
				}
			}
		}
	}
}

// partitionWorld is a world with a client at each machine.
type partitionWorld struct {
	*simWorld
	// mustAnswer are the addresses whose clients must get answers now.
	mustAnswer map[string]bool
	// answers counts the outcomes of calls at the isolated machine.
	isolated string
	answers  map[Outcome]int
}

// newPartitionWorld bootstraps three members, candidates and a machine without a disk, with a client at each.
func newPartitionWorld(seed int64, candidates int) *partitionWorld {
	world := &partitionWorld{simWorld: newWorld(seed), mustAnswer: map[string]bool{}, answers: map[Outcome]int{}}
	bootstrapWithCandidates(world.simWorld, candidates)
	for id, address := range world.addresses {
		client := &simClient{world: world.simWorld, id: id, onlyAddress: address, until: time.Hour}
		client.onOutcome = func(outcome Outcome) { world.answer(address, outcome) }
		client.scheduleNext()
	}
	return world
}

// answer checks an outcome that a client got.
func (w *partitionWorld) answer(address string, outcome Outcome) {
	if address == w.isolated {
		w.answers[outcome]++
	}
	if outcome == Unavailable && w.mustAnswer[address] {
		w.failf("a call at %s gets no answer", address)
	}
}

// play isolates a replica and heals the partition.
func (w *partitionWorld) play(kind partitionKind, replica int) {
	view := w.machines["10.0.0.9"].node.View()
	member, _ := view.member(view.Chain[replica])
	w.isolated = member.Address
	side := map[string]bool{w.isolated: true}
	if kind.withAnother {
		side["10.0.0.9"] = true
	}
	w.run(time.Second)
	for _, address := range w.addresses {
		_, isMember := view.memberAt(address)
		if side[address] || kind.membersOnly && !isMember {
			continue
		}
		for inside := range side {
			w.link(address, inside).blocked = kind.in
			w.link(inside, address).blocked = kind.out
		}
	}
	w.tracef("%s is isolated: %s", w.isolated, kind.name)
	w.run(partitionStabilization + partitionCallLimit)
	for _, address := range w.addresses {
		w.mustAnswer[address] = !side[address]
	}
	w.run(partitionTime - partitionStabilization - partitionCallLimit)
	w.tracef("the partition heals")
	clear(w.mustAnswer)
	(&nemesis{world: w.simWorld}).healLinks(nil)
	w.run(partitionStabilization + partitionCallLimit)
	for _, address := range w.addresses {
		w.mustAnswer[address] = true
	}
	w.run(partitionStabilization)
	if epoch := w.machines["10.0.0.9"].node.View().Epoch; epoch > view.Epoch+partitionMaxViews {
		w.failf("%d views for one partition", epoch-view.Epoch)
	}
}

// memberAt returns the member at an address.
func (v View) memberAt(address string) (Member, bool) {
	for _, member := range v.Members {
		if member.Address == address {
			return member, true
		}
	}
	return Member{}, false
}
