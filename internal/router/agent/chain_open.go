package agent

import (
	"math/rand"

	"cresshub/internal/router/chain"
)

// minMembers is the minimum of the number of members that a view should have; a view has fewer only while
// fewer machines have a disk. Beyond that, the target is 2*TolerateMachines+1, so that a majority of the
// members remains when TolerateMachines machines are lost.
const minMembers = 3

// openNode restores the state machine from the records on the disk.
func (m *chainMember) openNode(records [][]byte) error {
	settings := m.settings
	config := chain.Config{
		Self:             chain.Member{ID: chain.MemberID(randomID()), Address: settings.IP},
		DigestOf:         storedDigest,
		HasDisk:          settings.DataDir != "",
		AllowBootstrap:   settings.FirstStart,
		RequiredReplicas: settings.TolerateMachines + 1,
		TargetMembers:    max(minMembers, 2*settings.TolerateMachines+1),
		Random:           rand.New(rand.NewSource(rand.Int63())), HeartbeatInterval: chainHeartbeatInterval,
	}
	node, effects, err := chain.Open(config, m.now(), records)
	if err != nil {
		return err
	}
	m.node, m.identity = node, string(node.Self().ID)
	if err := m.disk.persist(effects.Persist, node.SnapshotRecords); err != nil {
		return err
	}
	m.execute(&effects)
	return nil
}
