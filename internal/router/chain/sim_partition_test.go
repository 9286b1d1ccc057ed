package chain

import (
	"fmt"
	"testing"
	"time"
)

const (
	// partitionSeeds is how many seeds run for each kind of partition if the environment variable
	// partitionSeedsVariable is not set.
	partitionSeeds         = 2
	partitionSeedsVariable = "CHAIN_CUT_SEEDS"
	// partitionDuration is how long a machine is isolated. A call that starts at least partitionStabilization
	// after the start of the partition has to be answered by every machine that is not isolated, and one that
	// starts so long after its end by every machine. partitionCallLimit is the longest duration of a call.
	partitionDuration      = 20 * time.Second
	partitionStabilization = 1500 * time.Millisecond
	partitionCallLimit     = 2 * time.Second
	// partitionMaxViews is the maximum number of views that are decided because of one partition and its end.
	partitionMaxViews = 6
)

// partitionKind says which links of the isolated machine are blocked.
type partitionKind struct {
	name                        string
	blockInbound, blockOutbound bool
	// membersOnly means that links to and from machines that are not members aren't blocked.
	membersOnly bool
	// withNonMember means that the machine without a disk, 10.0.0.9, is isolated together with this one.
	withNonMember bool
}

// partitionKinds are the kinds of partitions that are tested.
var partitionKinds = []partitionKind{
	{name: "inbound messages lost", blockInbound: true},
	{name: "outbound messages lost", blockOutbound: true},
	{name: "all messages lost", blockInbound: true, blockOutbound: true},
	{name: "messages from and to members lost", blockInbound: true, blockOutbound: true, membersOnly: true},
	{name: "inbound messages from members lost", blockInbound: true, membersOnly: true},
	{name: "isolated with a non-member", blockInbound: true, blockOutbound: true, withNonMember: true},
}

// TestPartitionOfOneReplicaFor20Seconds isolates each replica by each kind of partition, with and without a
// candidate that can replace it, while clients read and write at every machine. After a stabilization time
// the machines that are not isolated have to answer every call. The answers of all machines, the isolated
// one included, have to be linearizable, and the isolated machine has to serve again soon after the
// partition has healed.
func TestPartitionOfOneReplicaFor20Seconds(t *testing.T) {
	seeds := intFromEnvironment(partitionSeedsVariable, partitionSeeds)
	for _, kind := range partitionKinds {
		for replica := range 3 {
			for _, candidates := range []int{0, 1} {
				for seed := range seeds {
					name := fmt.Sprint(kind.name, ", replica ", replica, ", ", candidates, " candidates, seed ", seed)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						world := newPartitionWorld(int64(seed), candidates)
						world.runScenario(kind, replica)
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
	// mustAnswer are the addresses of the machines that have to answer every call at the moment.
	mustAnswer map[string]bool
	// isolated is the address of the isolated machine. isolatedOutcomes counts the outcomes of calls there.
	isolated         string
	isolatedOutcomes map[Outcome]int
}

// newPartitionWorld bootstraps a chain of three members, with a number of candidates and a machine without
// a disk, and starts a client at each machine.
func newPartitionWorld(seed int64, candidates int) *partitionWorld {
	world := &partitionWorld{
		simWorld: newWorld(seed), mustAnswer: map[string]bool{}, isolatedOutcomes: map[Outcome]int{},
	}
	bootstrapWithCandidates(world.simWorld, candidates)
	for id, address := range world.addresses {
		client := &simClient{world: world.simWorld, id: id, onlyAddress: address, until: time.Hour}
		client.onOutcome = func(outcome Outcome) { world.checkOutcome(address, outcome) }
		client.scheduleNext()
	}
	return world
}

// checkOutcome fails if a machine that has to answer has left the outcome of a call unknown.
func (w *partitionWorld) checkOutcome(address string, outcome Outcome) {
	if address == w.isolated {
		w.isolatedOutcomes[outcome]++
	}
	if outcome == Unavailable && w.mustAnswer[address] {
		w.failf("a call at %s was not answered", address)
	}
}

// runScenario isolates a replica, heals the partition, and checks how many views were decided meanwhile.
func (w *partitionWorld) runScenario(kind partitionKind, replica int) {
	view := w.machines["10.0.0.9"].node.View()
	member, _ := view.member(view.Chain[replica])
	w.isolated = member.Address
	isolatedSide := map[string]bool{w.isolated: true}
	if kind.withNonMember {
		isolatedSide["10.0.0.9"] = true
	}
	w.run(time.Second)
	for _, address := range w.addresses {
		_, isMember := view.memberAt(address)
		if isolatedSide[address] || kind.membersOnly && !isMember {
			continue
		}
		for inside := range isolatedSide {
			w.link(address, inside).blocked = kind.blockInbound
			w.link(inside, address).blocked = kind.blockOutbound
		}
	}
	w.tracef("%s is isolated: %s", w.isolated, kind.name)
	w.run(partitionStabilization + partitionCallLimit)
	for _, address := range w.addresses {
		w.mustAnswer[address] = !isolatedSide[address]
	}
	w.run(partitionDuration - partitionStabilization - partitionCallLimit)
	w.tracef("the partition has healed")
	clear(w.mustAnswer)
	(&nemesis{world: w.simWorld}).healLinks(nil)
	w.run(partitionStabilization + partitionCallLimit)
	for _, address := range w.addresses {
		w.mustAnswer[address] = true
	}
	w.run(partitionStabilization)
	if epoch := w.machines["10.0.0.9"].node.View().Epoch; epoch > view.Epoch+partitionMaxViews {
		w.failf("%d views were decided because of one partition", epoch-view.Epoch)
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
