package agent

import (
	"math/rand"

	"cresshub/internal/router/chain"
)

// minMembers is the least number of members of a view, where there are as many machines with a disk: a
// majority has to be left when as many machines are lost as the settings tolerate.
const minMembers = 3

// openMachine starts the state machine from the records on the disk.
func (m *chainMember) openMachine(records [][]byte) error {
	settings := m.settings
	config := chain.Config{
		Self:             chain.Member{ID: chain.MemberID(randomID()), Address: settings.IP},
		DigestOf:         storedDigest,
		HasDisk:          settings.DataDir != "",
		AllowBootstrap:   settings.FirstStart,
		RequiredReplicas: settings.TolerateMachines + 1,
		TargetMembers:    max(minMembers, 2*settings.TolerateMachines+1),
		Random:           rand.New(rand.NewSource(rand.Int63())), HeartbeatInterval: chainHeartbeat,
	}
	machine, effects, err := chain.Open(config, m.now(), records)
	if err != nil {
		return err
	}
	m.machine, m.identity = machine, string(machine.Self().ID)
	if err := m.disk.persist(effects.Persist, machine.SnapshotRecords); err != nil {
		return err
	}
	m.execute(&effects)
	return nil
}
