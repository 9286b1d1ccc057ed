package agent

import (
	"fmt"
	"math/rand"
	"path/filepath"

	"cresshub/internal/router/chain"
	"cresshub/internal/segmentlog"
)

const (
	chainFolder = "chain"
	// compactFraction of the disk is the size at which the log is compacted to a snapshot, at least
	// minCompactBytes.
	compactFraction = 0.25
	minCompactBytes = 1 << 20
	// minMembers is the least number of members of a view, where there are as many machines with a disk: a
	// majority has to be left when as many machines are lost as the settings tolerate.
	minMembers = 3
)

// openChainMember opens the disk, where there is one, and the state machine from the records on it.
func openChainMember(a *Agent) (*chainMember, error) {
	m := newChainMember(a)
	var records [][]byte
	var err error
	if a.settings.DataDir != "" {
		m.log, records, err = openLog(a)
	}
	if err == nil {
		err = m.openMachine(records)
	}
	if err != nil {
		m.closeLog()
		return nil, fmt.Errorf("control state: %w", err)
	}
	return m, nil
}

func newChainMember(a *Agent) *chainMember {
	m := &chainMember{
		agent: a, links: newChainLinks(a), pending: newPendingRequests(),
		events: make(chan chainEvent, chainQueue), committed: make(chan []byte, 1),
		ended: make(chan struct{}), handedOff: make(chan struct{}),
	}
	if a.isBootstrapper() {
		m.bootstrap = &bootstrap{}
	}
	return m
}

// openMachine starts the state machine from the records on the disk.
func (m *chainMember) openMachine(records [][]byte) error {
	settings := m.agent.settings
	config := chain.Config{
		Self:             chain.Member{ID: chain.MemberID(randomID()), Address: settings.IP},
		DigestOf:         storedDigest,
		HasDisk:          settings.DataDir != "",
		AllowBootstrap:   settings.FirstStart,
		RequiredReplicas: settings.TolerateMachines + 1,
		TargetMembers:    max(minMembers, 2*settings.TolerateMachines+1),
		Random:           rand.New(rand.NewSource(rand.Int63())), HeartbeatInterval: chainHeartbeat,
	}
	machine, effects, err := chain.Open(config, m.agent.now(), records)
	if err != nil {
		return err
	}
	m.machine, m.identity = machine, string(machine.Self().ID)
	if err := m.persist(effects.Persist); err != nil {
		return err
	}
	m.execute(effects)
	return nil
}

// openLog opens the log of the chain and returns its records. A corrupt log is replaced by an empty one: the
// machine then has a new identity, which has accepted nothing, and joins like one with an empty disk.
func openLog(a *Agent) (*segmentlog.Log, [][]byte, error) {
	folder := filepath.Join(a.settings.DataDir, chainFolder)
	if err := a.files.MakeDir(folder); err != nil {
		return nil, nil, err
	}
	if err := a.files.SyncDir(a.settings.DataDir); err != nil { // else the folder may not survive a power loss
		return nil, nil, err
	}
	log, records, damage, err := segmentlog.OpenOrReset(a.files, folder, segmentlog.Options{})
	if damage != nil {
		a.log.Error().Err(damage).Msg("chain: log corrupt; starting with an empty one")
	}
	return log, records, err
}

// persist makes records durable, and compacts the log where it has grown too large.
func (m *chainMember) persist(records [][]byte) error {
	if len(records) == 0 || m.log == nil {
		return nil
	}
	start := m.agent.now()
	err := m.log.Append(records...)
	m.agent.metrics.diskWrites.Observe(m.agent.now() - start)
	if err != nil {
		return fmt.Errorf("appending to the log of the chain: %w", err)
	}
	limit := int64(compactFraction * float64(m.agent.settings.DiskBytes))
	if m.log.Size() > max(limit, minCompactBytes) {
		if err := m.log.Compact(m.machine.SnapshotRecords()); err != nil {
			m.agent.log.Warn().Err(err).Msg("chain: compaction failed")
		}
	}
	return nil
}

func (m *chainMember) closeLog() {
	if m.log == nil {
		return
	}
	if err := m.log.Close(); err != nil {
		m.agent.log.Warn().Err(err).Msg("chain: closing the log failed")
	}
}
