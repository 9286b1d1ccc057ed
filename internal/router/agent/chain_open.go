package agent

import (
	"fmt"
	"math/rand"

	"cresshub/internal/router/chain"
)

// minMembers is the least number of members of a view, where there are as many machines with a disk: a
// majority has to be left when as many machines are lost as the settings tolerate.
const minMembers = 3

// openChainMember opens the disk, where there is one, and the state machine from the records on it.
func openChainMember(a *Agent) (*chainMember, error) {
	m := newChainMember(a)
	records, err := m.disk.open()
	if err == nil {
		err = m.openMachine(records)
	}
	if err != nil {
		m.disk.close()
		return nil, fmt.Errorf("control state: %w", err)
	}
	return m, nil
}

func newChainMember(a *Agent) *chainMember {
	m := &chainMember{
		process: a.process, hubs: a.hubs,
		events: make(chan chainEvent, chainQueue), ended: make(chan struct{}),
		links:     newChainLinks(a.process, a.endpoint),
		published: newChainPublisher(a.process, a.state, a.configSync),
		disk:      newChainLog(a.process),
	}
	m.requests = newChainRequests(a.process, a.state, m.post)
	if a.isBootstrapper() {
		m.bootstrap = &bootstrapper{state: a.state, now: a.now}
	}
	return m
}

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
