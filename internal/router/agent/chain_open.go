package agent

import (
	"fmt"
	"math/rand"
	"net"
	"path/filepath"
	"time"

	"cresshub/internal/router/chain"
	"cresshub/internal/router/transport"
	"cresshub/internal/segmentlog"
)

const (
	chainFolder = "chain"
	// compactFraction of the disk is the size at which the log is begun anew with a snapshot.
	compactFraction = 0.25
	// minMembers is how many machines keep the control state at least, where there are as many with a disk.
	// A majority has to be left when as many are lost as the settings tolerate.
	minMembers = 3
)

// newConfigStore returns this process's part in the control state: none without a disk, unless it is the one
// that founds it.
func newConfigStore(n *Node) configStore {
	if n.settings.DataDir == "" && !n.isBootstrapper() {
		return noConfigStore{}
	}
	return newDeferredStore(n)
}

// isBootstrapper tells whether this process is the one that has the first view agreed on.
func (n *Node) isBootstrapper() bool {
	return n.settings.FirstStart && len(n.settings.Seeds) > 0 && hostOf(n.settings.Seeds[0]) == n.settings.IP
}

// openChainMember opens the disk, where there is one, and the state machine with what the disk holds.
func openChainMember(n *Node) (*chainMember, error) {
	m := newChainMember(n)
	var records [][]byte
	var err error
	if n.settings.DataDir != "" {
		m.log, records, err = openLog(n)
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

func newChainMember(n *Node) *chainMember {
	return &chainMember{
		node: n, bootstrapper: n.isBootstrapper(), links: map[string]*transport.Link{},
		events: make(chan func(time.Duration) chain.Effects, chainQueue),
		ended:  make(chan struct{}), handedOff: make(chan struct{}),
		waiters: map[uint64]chan chain.Reply{}, committed: make(chan []byte, 1),
		lastRequest: uint64(rand.Int63()), // requests of an earlier process must not be taken for this one's
	}
}

// openMachine makes the state machine of the records that the disk holds.
func (m *chainMember) openMachine(records [][]byte) error {
	settings := m.node.settings
	config := chain.Config{
		Self:             chain.Member{ID: chain.MemberID(randomID()), Address: settings.IP},
		DigestOf:         storedDigest,
		HasDisk:          settings.DataDir != "",
		AllowBootstrap:   settings.FirstStart,
		RequiredReplicas: settings.TolerateMachines + 1,
		TargetMembers:    max(minMembers, 2*settings.TolerateMachines+1),
		Random:           rand.New(rand.NewSource(rand.Int63())), HeartbeatInterval: chainHeartbeat,
	}
	machine, effects, err := chain.Open(config, m.node.now(), records)
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

// openLog opens the log of the control state. A damaged one is begun anew: the machine comes back under
// another identity, which has promised nothing, and is taken in like one with an empty disk.
func openLog(n *Node) (*segmentlog.Log, [][]byte, error) {
	folder := filepath.Join(n.settings.DataDir, chainFolder)
	if err := n.files.MakeDir(folder); err != nil {
		return nil, nil, err
	}
	if err := n.files.SyncDir(n.settings.DataDir); err != nil { // else a loss of power may take the folder away
		return nil, nil, err
	}
	log, records, damage, err := segmentlog.OpenOrReset(n.files, folder, segmentlog.Options{})
	if damage != nil {
		n.log.Error().Err(damage).Msg("chain: the log is damaged; this machine begins anew")
	}
	return log, records, err
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func (m *chainMember) persist(records [][]byte) error {
	if len(records) == 0 || m.log == nil {
		return nil
	}
	began := m.node.now()
	err := m.log.Append(records...)
	m.node.metrics.diskWrites.Observe(m.node.now() - began)
	if err != nil {
		return err
	}
	limit := int64(compactFraction * float64(m.node.settings.DiskBytes))
	if m.log.Size() > max(limit, 1<<20) {
		if err := m.log.Compact(m.machine.SnapshotRecords()); err != nil {
			m.node.log.Warn().Err(err).Msg("chain: the log can't be begun anew")
		}
	}
	return nil
}

func (m *chainMember) closeLog() {
	if m.log == nil {
		return
	}
	if err := m.log.Close(); err != nil {
		m.node.log.Warn().Err(err).Msg("chain: the log can't be closed")
	}
}
