// Package raftgroup keeps replicated logs among members of the fleet: groups of three or five replicas, each
// with a log that Raft (Ongaro and Ousterhout, USENIX ATC 2014) keeps the same on all of them, on
// go.etcd.io/raft, stored by go.etcd.io/bbolt. What a group's log says is applied to a Machine; what was
// committed is on the synced disks of a majority and survives the loss of any one machine with its disk.
//
// raft decides and this package does the I/O around it: disk, streams between members, time. Where replicas
// stand and when one is replaced is decided by package placement from the fleet view.
package raftgroup

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"cresshub/internal/cluster/placement"
)

// Peer is a member of the fleet as the view has it.
type Peer struct {
	placement.Member
	Address string // where its Host listens; "" where it has none
}

// Options are what a Host is told.
type Options struct {
	Name      string
	Bind      string // host:port for other members; port 0 lets the system choose
	Advertise string // host:port others reach it at; "" is Bind
	Dir       string // folder of its own, on a disk that lasts
	Label     string // the fleet's
	Hall      string

	Replicas          int           // voters wanted of a group: 3 or 5
	BootstrapExpect   int           // members that must be seen before a group is founded
	MaxLearnerLag     int           // log entries a learner may be behind when it is promoted
	HeartbeatInterval time.Duration // between a leader's heartbeats
	ElectionTimeout   time.Duration // without a leader so long, up to twice: a follower stands for election
	GoneAfter         time.Duration // a member the view does not hold at all counts as gone after so long
	SnapshotEntries   int           // log entries between snapshots
	SnapshotBytes     int64         // bytes of log between snapshots
	Relay             string        // SOCKS5 relay for tests and the laboratory

	Groups          []string
	NewStateMachine func(group string) StateMachine
	Faults          DiskFaults // nil but in tests
	Log             *slog.Logger
}

// Check tells what is wrong with the options, naming the key.
func (o *Options) Check() error {
	set := placement.Settings{Replicas: o.Replicas, MaxLearnerLag: uint64(max(o.MaxLearnerLag, 0))}
	if err := set.Check(); err != nil {
		return fmt.Errorf("ledger.%w", err)
	}
	switch {
	case o.Dir == "":
		return errors.New("ledger.data names no folder")
	case o.BootstrapExpect < minVoters:
		return fmt.Errorf("ledger.expect %d is below %d", o.BootstrapExpect, minVoters)
	case o.ElectionTimeout < 2*o.HeartbeatInterval:
		return fmt.Errorf("ledger.election %v is below twice ledger.heartbeat %v", o.ElectionTimeout,
			o.HeartbeatInterval)
	case o.SnapshotEntries < 1 || o.SnapshotBytes < 1:
		return errors.New("ledger.snapshot_entries and ledger.snapshot_bytes must be above zero")
	}
	return nil
}

// Host is this member's part in the groups.
type Host struct {
	opts  Options
	log   *slog.Logger
	store *store
	net   *network
	start time.Time

	mu          sync.Mutex
	groups      map[string]*group
	view        func() []Peer
	peers       []Peer               // as of the last look at the view
	absentSince map[string]time.Time // replicas' members that the view does not hold, since when
	leaderHints map[string]string    // the member that led a group last, as told

	stop chan struct{}
	done sync.WaitGroup
	once sync.Once
}

// Open opens the folder and listens. Run must follow. Errors name the key or the file.
func Open(o Options) (*Host, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	h := &Host{opts: o, log: o.Log, start: time.Now(), groups: map[string]*group{},
		absentSince: map[string]time.Time{}, leaderHints: map[string]string{}, stop: make(chan struct{})}
	var err error
	if h.store, err = openStore(o.Dir, o.Label, o.Faults); err != nil {
		return nil, fmt.Errorf("ledger.data: %w", err)
	}
	if h.net, err = newNetwork(h); err != nil {
		h.store.close()
		return nil, fmt.Errorf("ledger.bind: %w", err)
	}
	return h, nil
}

// ID is the identity of this member's disk.
func (h *Host) ID() uint64 { return h.store.id }

// Address is where other members reach this one.
func (h *Host) Address() string {
	if h.opts.Advertise != "" {
		return h.opts.Advertise
	}
	return h.net.listener.Addr().String()
}

// Run opens the groups that the folder holds and takes part in the fleet; view is asked for the fleet as it
// is. It returns at once.
func (h *Host) Run(view func() []Peer) error {
	h.mu.Lock()
	h.view = view
	h.mu.Unlock()
	h.refreshPeers()
	for _, name := range h.store.groups() {
		if !slices.Contains(h.opts.Groups, name) {
			return fmt.Errorf("ledger.data: %s holds the group %q, which is none of this fleet's", h.store.path, name)
		}
		storage, _, err := h.store.load(name)
		if err != nil {
			return fmt.Errorf("ledger.data: %w", err)
		}
		snap, _ := storage.Snapshot()
		last, _ := storage.LastIndex()
		if last == 0 && snap.GetMetadata().GetIndex() == 0 {
			continue // removed once; opened again if a leader calls
		}
		if _, err := h.openReplica(name, false); err != nil {
			return fmt.Errorf("ledger.data: %w", err)
		}
	}
	h.done.Add(2)
	go h.loop()
	go func() { defer h.done.Done(); h.net.accept() }()
	h.log.Info("ledger: listening", "ledger", h.Address(), "disk", formatDiskID(h.store.id))
	return nil
}

// openReplica opens a group's replica unless it is open.
func (h *Host) openReplica(name string, bootstrap bool) (*group, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g := h.groups[name]; g != nil {
		return g, nil
	}
	select {
	case <-h.stop:
		return nil, ErrStopped
	default:
	}
	g, err := startGroup(h, name, bootstrap)
	if err == nil {
		h.groups[name] = g
	}
	return g, err
}

// removeReplica drops a group whose replica was removed.
func (h *Host) removeReplica(g *group) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.groups[g.name] == g {
		delete(h.groups, g.name)
	}
}

func (h *Host) group(name string) *group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[name]
}

// loop looks at the view and founds what is not there.
func (h *Host) loop() {
	defer h.done.Done()
	refresh := time.NewTicker(100 * time.Millisecond)
	defer refresh.Stop()
	bootstrap := time.NewTimer(h.opts.ElectionTimeout)
	defer bootstrap.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-refresh.C:
			h.refreshPeers()
		case <-bootstrap.C:
			for _, name := range h.opts.Groups {
				h.bootstrap(name)
			}
			h.dropStrays()
			bootstrap.Reset(h.opts.ElectionTimeout/2 + rand.N(h.opts.ElectionTimeout))
		}
	}
}

func (h *Host) refreshPeers() {
	peers := h.view()
	h.mu.Lock()
	h.peers = peers
	h.mu.Unlock()
	h.net.setAddresses(peers)
}

// placementMembers is the view as placement reads it, for a group: a replica's member that the view does
// not hold at all counts as gone once that has lasted.
func (h *Host) placementMembers(g placement.Group) []placement.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []placement.Member
	inView := map[string]bool{}
	for _, p := range h.peers {
		out = append(out, p.Member)
		inView[p.Name] = true
		delete(h.absentSince, p.Name)
	}
	for _, r := range g.Replicas {
		if r.Name == "" || inView[r.Name] {
			continue
		}
		since, ok := h.absentSince[r.Name]
		if !ok {
			since = time.Now()
			h.absentSince[r.Name] = since
		}
		out = append(out, placement.Member{Name: r.Name, ReplicaID: r.ID,
			Gone: time.Since(since) >= h.opts.GoneAfter})
	}
	return out
}

var (
	errGroupExists    = errors.New("the group is there already")
	errAlreadyVoted   = errors.New("another member has the vote to found the group")
	errNotFirstRanked = errors.New("the candidate is not first in this member's view")
)

// deliver hands a message of raft's to its group, opening a replica that a leader has just added.
func (h *Host) deliver(name string, m *raftpb.Message) {
	g := h.group(name)
	if g == nil {
		if !slices.Contains(h.opts.Groups, name) || m.GetTo() != h.store.id {
			return
		}
		switch m.GetType() {
		case raftpb.MsgApp, raftpb.MsgSnap, raftpb.MsgHeartbeat:
		default:
			return // only a leader calls a replica into being
		}
		var err error
		if g, err = h.openReplica(name, false); err != nil {
			h.log.Warn("ledger: a replica could not be opened", "group", name, "err", err)
			return
		}
	}
	if m.GetTo() != h.store.id {
		return // meant for a disk that is not there any more
	}
	select {
	case g.inbox <- m:
	default: // raft sends again
	}
}

// send hands messages of a group's to the network.
func (h *Host) send(name string, msgs []*raftpb.Message) {
	for _, m := range msgs {
		if !h.net.send(name, m) {
			h.reportUndelivered(name, m)
		}
	}
}

// reportUndelivered tells a group that a message did not get out.
func (h *Host) reportUndelivered(name string, m *raftpb.Message) {
	g := h.group(name)
	if g == nil {
		return
	}
	to := m.GetTo()
	kind := raftpb.MsgUnreachable
	if m.GetType() == raftpb.MsgSnap {
		kind = raftpb.MsgSnapStatus
	}
	rejected := true
	select {
	case g.inbox <- &raftpb.Message{Type: &kind, From: &to, Reject: &rejected}:
	default:
	}
}

// reportSnapshotSent tells a group that a snapshot got out whole.
func (h *Host) reportSnapshotSent(name string, to uint64) {
	if g := h.group(name); g != nil {
		kind := raftpb.MsgSnapStatus
		select {
		case g.inbox <- &raftpb.Message{Type: &kind, From: &to}:
		default:
		}
	}
}
