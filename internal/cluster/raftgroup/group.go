package raftgroup

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// StateMachine is the state that a group applies the commands in its log to. The group calls all methods from
// one goroutine.
type StateMachine interface {
	// Apply applies the committed command at a log index. The result is returned to the proposer, encoded as
	// JSON if that is another member.
	Apply(index uint64, data []byte) any
	// Read answers a query from the current state.
	Read(query []byte) (any, error)
	// Snapshot encodes the whole state.
	Snapshot() []byte
	// Restore replaces the state by one that Snapshot encoded.
	Restore([]byte) error
}

// Errors of a call on a group. After ErrOutcomeUnknown a proposal may have been applied, and the caller
// proposes it again under the same ID; after any other error it has not been applied and will not be. Members
// send each other the texts of these errors and recognize them by their texts.
var (
	ErrNotLeader      = errors.New("this replica does not lead the group")
	ErrTooFewVoters   = errors.New("the group has fewer than three voters yet, and promises nothing")
	ErrDisk           = errors.New("the disk does not take what is written")
	ErrOutcomeUnknown = errors.New("the outcome is not known")
	ErrBusy           = errors.New("too much is under way")
	ErrStopped        = errors.New("the group has stopped")
)

// minVoters is the number of voters that a group needs to accept proposals: with fewer, the loss of one
// machine could lose committed entries.
const minVoters = 3

const (
	// maxInboxMessages bounds the inbound Raft messages that wait for the group's goroutine.
	maxInboxMessages = 4096
	// maxInflightMsgs bounds the append messages sent to a follower and not acknowledged yet, and
	// maxSizePerMsg the bytes of entries in one of them.
	maxInflightMsgs = 256
	maxSizePerMsg   = 1 << 20
	// maxUncommittedSize bounds the entries, in bytes, that were proposed and are not committed yet. Beyond
	// it a leader rejects proposals with ErrBusy.
	maxUncommittedSize = 16 << 20
	// minPlacementInterval is the shortest time between two calls of reconcilePlacement.
	minPlacementInterval = 50 * time.Millisecond
)

// group is this member's replica of one group: a raft.RawNode with the I/O around it, run by one goroutine.
// Other goroutines reach it through inbox and tasks.
//
// States: startGroup restores the group from the store and starts run. The replica then runs as raft's
// leader, candidate, follower or learner; while disk writes fail (diskErr), run retries them and rejects
// proposals and linearizable reads. It ends, for good, in one of three ways: stopped by Host.Close; removed
// from its group (removed), with its data deleted; or stopped by a panic because its disk and the group's log
// contradict each other. done is closed then, and calls return ErrStopped.
//
// Invariants:
//
//   - The parts of a Ready that must be on disk are there before its messages are sent and its entries are
//     applied.
//   - Every entry up to appliedIndex was applied, once and in order, and none after it; confState,
//     memberNames and the state machine are those at appliedIndex.
//   - A channel in proposals or pendingReads receives at most one outcome, for which it has a free buffer
//     slot, and is deleted then: the group's goroutine never waits for a caller.
type group struct {
	name         string
	host         *Host
	log          *slog.Logger
	stateMachine StateMachine

	inbox chan *raftpb.Message // messages from other replicas, and reports on messages to them (step)
	tasks chan func()          // functions for the group's goroutine to run (enqueue)
	stop  chan struct{}        // closed by Host.Close
	done  chan struct{}        // closed when run returns

	// The fields below are used only by the group's goroutine.
	rawNode              *raft.RawNode
	storage              *raft.MemoryStorage
	confState            *raftpb.ConfState       // voters and learners
	memberNames          map[uint64]string       // by replica ID, from the group's membership changes
	appliedIndex         uint64                  // of the last entry applied
	snapshotIndex        uint64                  // of the last snapshot taken or installed
	logBytes             int64                   // bytes of log since the snapshot
	proposals            map[uint64]chan outcome // by request ID
	pendingReads         map[uint64]pendingRead  // by request ID
	lastRequestID        uint64                  // incremented by each proposal and read
	isLeader             bool                    // as of the last Ready
	leaderID             uint64                  // replica ID of the leader as of the last Ready, or raft.None
	lastLeaderContact    time.Time               // when a message from a leader was last received
	diskErr              error                   // why the last write failed; nil while the disk works
	confChangeProposedAt time.Time               // zero if no membership change is pending
	removed              bool                    // this replica was removed from the group; run ends
	stats                GroupStats
}

// outcome is the result of a call on a group, or its error: only one of the two is set.
type outcome struct {
	result any
	err    error
}

// pendingRead is a query that waits until the leader has confirmed its read index and the entries up to that
// index are applied.
type pendingRead struct {
	index uint64 // read index; 0 until it is confirmed
	query []byte
	out   chan outcome
}

// GroupStats counts events of a replica since it was opened.
type GroupStats struct {
	Elections          int64 `json:"elections"`   // times that a leader became known, which may be this replica
	SnapshotsTaken     int64 `json:"snapshots"`   // snapshots taken to compact the log
	SnapshotsInstalled int64 `json:"restored"`    // snapshots installed from a leader
	ConfChanges        int64 `json:"changes"`     // membership changes applied
	Proposed           int64 `json:"proposed"`    // proposals that raft accepted from this replica
	Rejected           int64 `json:"refused"`     // proposals rejected
	DiskErrors         int64 `json:"disk_errors"` // failed attempts to write
	SlowSyncs          int64 `json:"slow_syncs"`  // writes that took longer than slowSyncThreshold
}

// startGroup starts a group's replica from the data in the store. If bootstrap is set and the store holds no
// data of the group, the group begins with this member as its only voter. Errors caused by stored data name
// the file and the group. Called with Host.mu held.
func startGroup(h *Host, name string, bootstrap bool) (_ *group, err error) {
	defer func() { // raft panics on inconsistent stored data
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: group %s: %v", h.store.path, name, p)
		}
	}()
	if err := h.store.createGroup(name); err != nil {
		return nil, err
	}
	storage, logBytes, err := h.store.load(name)
	if err != nil {
		return nil, err
	}
	g := newGroup(h, name, storage, logBytes)
	if err := g.restoreStored(bootstrap); err != nil {
		return nil, err
	}
	if g.rawNode, err = raft.NewRawNode(g.raftConfig()); err != nil {
		return nil, err
	}
	go g.run()
	return g, nil
}

func newGroup(h *Host, name string, storage *raft.MemoryStorage, logBytes int64) *group {
	return &group{
		name:         name,
		host:         h,
		log:          h.log.With("group", name),
		stateMachine: h.opts.NewStateMachine(name),
		inbox:        make(chan *raftpb.Message, maxInboxMessages),
		tasks:        make(chan func(), maxPendingCalls),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		storage:      storage,
		logBytes:     logBytes,
		memberNames:  map[uint64]string{},
		proposals:    map[uint64]chan outcome{},
		pendingReads: map[uint64]pendingRead{},
		// Random, so that entries proposed before a restart don't match calls made after it.
		lastRequestID: rand.Uint64() >> 1,
	}
}

// restoreStored restores the state from the stored snapshot, or bootstraps the group if there is none and
// bootstrap is set. The log entries after the snapshot are applied later, when raft returns them as
// committed.
func (g *group) restoreStored(bootstrap bool) error {
	snap, err := g.storage.Snapshot()
	if err != nil {
		return err
	}
	if bootstrap && raft.IsEmptySnap(snap) {
		if snap, err = g.saveInitialState(); err != nil {
			return err
		}
	}
	if err := g.restoreSnapshot(snap); err != nil {
		return fmt.Errorf("%s: group %s: %w", g.host.store.path, g.name, err)
	}
	g.snapshotIndex = g.appliedIndex
	return nil
}

// saveInitialState stores the initial state of a group: a snapshot at index 1 whose only voter is this
// replica.
func (g *group) saveInitialState() (*raftpb.Snapshot, error) {
	id := g.host.store.id
	raw, err := g.encodeState(map[uint64]string{id: g.host.opts.Name})
	if err != nil {
		return nil, err
	}
	snap := &raftpb.Snapshot{
		Data: raw,
		Metadata: &raftpb.SnapshotMetadata{
			Index:     proto.Uint64(1),
			Term:      proto.Uint64(1),
			ConfState: &raftpb.ConfState{Voters: []uint64{id}},
		},
	}
	hardState := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
	if _, err := g.host.store.save(g.name, &raft.Ready{Snapshot: snap, HardState: hardState}); err != nil {
		return nil, err
	}
	if err := g.storage.ApplySnapshot(snap); err != nil {
		return nil, err
	}
	return snap, g.storage.SetHardState(hardState)
}

// raftConfig returns the configuration of raft. A leader that loses its quorum steps down (CheckQuorum), and
// a replica asks the others before it starts an election (PreVote), so that one that was partitioned does not
// depose a working leader. Proposals are not forwarded to the leader, as their outcome would not be reported
// back.
func (g *group) raftConfig() *raft.Config {
	opts := &g.host.opts
	return &raft.Config{
		ID:                        g.host.store.id,
		ElectionTick:              max(2, int(opts.ElectionTimeout/opts.HeartbeatInterval)),
		HeartbeatTick:             1,
		Storage:                   onDemandSnapshots{MemoryStorage: g.storage, group: g},
		Applied:                   g.appliedIndex,
		MaxSizePerMsg:             maxSizePerMsg,
		MaxInflightMsgs:           maxInflightMsgs,
		MaxUncommittedEntriesSize: maxUncommittedSize,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    raftLogger{g.log},
	}
}

// run is the group's goroutine. If raft panics because disk and log contradict each other, only this replica
// stops; the rest of the process goes on.
func (g *group) run() {
	defer close(g.done)
	defer func() {
		if p := recover(); p != nil {
			g.log.Error("ledger: replica stopped: its disk contradicts the group's log",
				"why", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
		g.failPending(ErrStopped)
	}()
	tick := time.NewTicker(g.host.opts.HeartbeatInterval)
	defer tick.Stop()
	placementTick := time.NewTicker(max(2*g.host.opts.HeartbeatInterval, minPlacementInterval))
	defer placementTick.Stop()
	for !g.removed {
		select {
		case <-g.stop:
			g.saveHardState()
			return
		case <-tick.C:
			g.rawNode.Tick()
		case <-placementTick.C:
			g.reconcilePlacement()
		case msg := <-g.inbox:
			g.step(msg)
		case task := <-g.tasks:
			task()
		}
		g.processQueued()
		if !g.handleReady() {
			return
		}
	}
	g.deleteRemoved()
}

// deleteRemoved deletes the data of a replica that was removed from its group, and removes the replica from
// the Host.
func (g *group) deleteRemoved() {
	g.log.Info("ledger: replica removed from its group")
	if err := g.host.store.clearGroup(g.name); err != nil {
		g.log.Warn("ledger: data of a removed replica not deleted", "err", err)
	}
	g.host.removeReplica(g)
}

// saveHardState stores the hard state when the group stops, as a rise of the commit index alone is not stored
// before.
func (g *group) saveHardState() {
	if g.diskErr != nil {
		return
	}
	status := g.rawNode.BasicStatus()
	// If this fails, the replica learns the commit index from the leader after a restart.
	_, _ = g.host.store.save(g.name, &raft.Ready{HardState: status.HardState})
}

// processQueued handles the messages and tasks that are already queued, so that one sync covers them all.
func (g *group) processQueued() {
	for range maxInboxMessages {
		select {
		case msg := <-g.inbox:
			g.step(msg)
		case task := <-g.tasks:
			task()
		default:
			return
		}
	}
}

// step passes raft a message from another replica. A message that stands for a report on a message to another
// replica (Host.reportUndelivered, Host.reportSnapshotFinish) is passed by raft's methods for such reports.
func (g *group) step(msg *raftpb.Message) {
	switch msg.GetType() {
	case raftpb.MsgSnapStatus:
		status := raft.SnapshotFinish
		if msg.GetReject() {
			status = raft.SnapshotFailure
		}
		g.rawNode.ReportSnapshot(msg.GetFrom(), status)
		return
	case raftpb.MsgUnreachable:
		g.rawNode.ReportUnreachable(msg.GetFrom())
		return
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		g.lastLeaderContact = time.Now()
	}
	if err := g.rawNode.Step(msg); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		g.log.Debug("ledger: raft message ignored", "type", msg.GetType().String(), "err", err)
	}
}
