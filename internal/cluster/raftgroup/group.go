package raftgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// StateMachine is the state that a group's log is applied to. A group calls it from one goroutine alone.
type StateMachine interface {
	// Apply applies a command and returns what became of it, as JSON-able as it must cross to a proposer.
	Apply(index uint64, data []byte) any
	// Read answers a query from the state as it is.
	Read(query []byte) (any, error)
	Snapshot() []byte
	Restore([]byte) error
}

// The ways a call on a group fails. A proposal that failed in another way than by Unknown has not been
// applied and will not be; after Unknown it may have been, and is sent again with the same id.
var (
	ErrNotLeader = errors.New("this replica does not lead the group")
	ErrForming   = errors.New("the group has fewer than three voters yet, and promises nothing")
	ErrDisk      = errors.New("the disk does not take what is written")
	ErrUnknown   = errors.New("the outcome is not known")
	ErrBusy      = errors.New("too much is under way")
	ErrStopped   = errors.New("the group has stopped")
)

// minVoters is how many voters a group must have to promise anything: with fewer the loss of one machine
// could lose it.
const minVoters = 3

const (
	maxInboxMessages       = 4096
	maxPendingCalls        = 1024
	maxInflightMsgs        = 256
	maxSizePerMsg          = 1 << 20
	maxUncommittedSize     = 16 << 20
	snapshotCatchUpEntries = 1000 // log entries kept behind a snapshot, for followers that are only slow
	minDiskBackoff         = 100 * time.Millisecond
)

// group is one group's replica on this member.
type group struct {
	name         string
	host         *Host
	log          *slog.Logger
	stateMachine StateMachine

	inbox chan *raftpb.Message
	tasks chan func()
	stop  chan struct{}
	done  chan struct{}

	// What follows belongs to the group's goroutine.
	rawNode            *raft.RawNode
	storage            *raft.MemoryStorage
	confState          *raftpb.ConfState
	memberNames        map[uint64]string // members by identity, as the group's changes told them
	appliedIndex       uint64
	snapshotIndex      uint64
	logBytes           int64
	proposals          map[uint64]chan outcome
	pendingReads       map[uint64]pendingRead
	lastRequestID      uint64
	isLeader           bool
	lead               uint64
	lastLeaderContact  time.Time // of a leader, last
	diskErr            error
	confChangeProposed time.Time // a change of members was proposed then and is not applied yet
	removed            bool
	stats              GroupStats
}

type outcome struct {
	result any
	err    error
}

type pendingRead struct {
	index uint64 // 0: not told yet
	query []byte
	out   chan outcome
}

// GroupStats count what happened to a replica since its start.
type GroupStats struct {
	Elections   int64 `json:"elections"` // leaders it has followed or been
	Snapshots   int64 `json:"snapshots"`
	Restored    int64 `json:"restored"` // snapshots taken from a leader
	ConfChanges int64 `json:"changes"`  // of members applied
	Proposed    int64 `json:"proposed"`
	Rejected    int64 `json:"refused"`
	DiskErrors  int64 `json:"disk_errors"`
	SlowSyncs   int64 `json:"slow_syncs"` // over 100 ms
}

// startGroup starts a group's replica from disk; founding says that it is made anew with this member alone.
func startGroup(h *Host, name string, bootstrap bool) (_ *group, err error) {
	defer func() { // raft panics where what it is given cannot be
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: group %s: %v", h.store.path, name, p)
		}
	}()
	if err := h.store.createGroup(name); err != nil {
		return nil, err
	}
	storage, size, err := h.store.load(name)
	if err != nil {
		return nil, err
	}
	g := &group{name: name, host: h, log: h.log.With("group", name),
		stateMachine: h.opts.NewStateMachine(name), storage: storage,
		inbox: make(chan *raftpb.Message, maxInboxMessages), tasks: make(chan func(), maxPendingCalls),
		stop: make(chan struct{}), done: make(chan struct{}), memberNames: map[uint64]string{}, logBytes: size,
		proposals: map[uint64]chan outcome{}, pendingReads: map[uint64]pendingRead{},
		lastRequestID: rand.Uint64() >> 1} // what an earlier life proposed must not answer this one's callers
	snap, err := storage.Snapshot()
	if err != nil {
		return nil, err
	}
	if bootstrap && raft.IsEmptySnap(snap) {
		// The group begins with a snapshot at index 1 that says who is in it.
		raw, err := g.encodeState(map[uint64]string{h.store.id: h.opts.Name})
		if err != nil {
			return nil, err
		}
		snap = &raftpb.Snapshot{Data: raw, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1),
			Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{h.store.id}}}}
		hardState := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if _, err := h.store.save(name, &raft.Ready{Snapshot: snap, HardState: hardState}); err != nil {
			return nil, err
		}
		if err := storage.ApplySnapshot(snap); err != nil {
			return nil, err
		}
		storage.SetHardState(hardState)
	}
	if err := g.restoreSnapshot(snap); err != nil {
		return nil, fmt.Errorf("%s: group %s: %w", h.store.path, name, err)
	}
	g.snapshotIndex = g.appliedIndex
	ticks := max(2, int(h.opts.ElectionTimeout/h.opts.HeartbeatInterval))
	g.rawNode, err = raft.NewRawNode(&raft.Config{ID: h.store.id, ElectionTick: ticks, HeartbeatTick: 1,
		Storage: onDemandSnapshots{storage, g},
		Applied: g.appliedIndex, MaxSizePerMsg: maxSizePerMsg, MaxInflightMsgs: maxInflightMsgs,
		MaxUncommittedEntriesSize: maxUncommittedSize, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: raftLogger{g.log}})
	if err != nil {
		return nil, err
	}
	go g.run()
	return g, nil
}

// run is the group's goroutine. Where raft itself finds that the log cannot be, the replica stops; the rest
// of the process goes on.
func (g *group) run() {
	defer close(g.done)
	defer func() {
		if p := recover(); p != nil {
			g.log.Error("ledger: the replica stopped; its disk and the group's log do not fit together",
				"why", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
		g.failPending(ErrStopped)
	}()
	tick := time.NewTicker(g.host.opts.HeartbeatInterval)
	defer tick.Stop()
	placement := time.NewTicker(max(2*g.host.opts.HeartbeatInterval, 50*time.Millisecond))
	defer placement.Stop()
	for !g.removed {
		select {
		case <-g.stop:
			if st := g.rawNode.BasicStatus(); g.diskErr == nil {
				g.host.store.save(g.name, &raft.Ready{HardState: st.HardState})
			}
			return
		case <-tick.C:
			g.rawNode.Tick()
		case <-placement.C:
			g.reconcilePlacement()
		case m := <-g.inbox:
			g.step(m)
		case f := <-g.tasks:
			f()
		}
		g.processQueued()
		if !g.handleReady() {
			return
		}
	}
	g.log.Info("ledger: this replica was removed from its group")
	if err := g.host.store.clearGroup(g.name); err != nil {
		g.log.Warn("ledger: what a removed replica held could not be dropped", "err", err)
	}
	g.host.removeReplica(g)
}

// processQueued takes what else waits, so that one sync carries it all.
func (g *group) processQueued() {
	for range maxInboxMessages {
		select {
		case m := <-g.inbox:
			g.step(m)
		case f := <-g.tasks:
			f()
		default:
			return
		}
	}
}

func (g *group) step(m *raftpb.Message) {
	if m.GetType() == raftpb.MsgSnapStatus { // the transport's word on a snapshot it carried
		status := raft.SnapshotFinish
		if m.GetReject() {
			status = raft.SnapshotFailure
		}
		g.rawNode.ReportSnapshot(m.GetFrom(), status)
		return
	}
	if m.GetType() == raftpb.MsgUnreachable {
		g.rawNode.ReportUnreachable(m.GetFrom())
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		g.lastLeaderContact = time.Now()
	}
	if err := g.rawNode.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		g.log.Debug("ledger: a message was not taken", "type", m.GetType().String(), "err", err)
	}
}

// handleReady carries out what raft wants: disk, then messages, then the machine. False where the group
// stops.
func (g *group) handleReady() bool {
	for g.rawNode.HasReady() {
		rd := g.rawNode.Ready()
		confChange := slices.ContainsFunc(rd.CommittedEntries, func(e *raftpb.Entry) bool {
			return e.GetType() != raftpb.EntryNormal
		})
		switch {
		// What says who is in the group is on disk as committed: a replica that forgot it would, started again,
		// wait for votes of those who were in it before.
		case rd.MustSync || confChange || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot):
			if !g.persist(&rd) {
				return false
			}
		case !raft.IsEmptyHardState(rd.HardState):
			g.storage.SetHardState(rd.HardState) // a higher commit index alone, which a restart learns again
		}
		g.host.send(g.name, rd.Messages)
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := g.restoreSnapshot(rd.Snapshot); err != nil {
				panic(err)
			}
			g.stats.Restored++
			g.snapshotIndex = g.appliedIndex
			g.log.Info("ledger: took a snapshot of the leader's", "index", g.appliedIndex)
		}
		for _, e := range rd.CommittedEntries {
			g.applyEntry(e)
		}
		for _, r := range rd.ReadStates {
			key := binary.BigEndian.Uint64(r.RequestCtx)
			if q, ok := g.pendingReads[key]; ok {
				q.index = max(r.Index, 1)
				g.pendingReads[key] = q
			}
		}
		g.rawNode.Advance(rd)
		g.serveReads()
		g.updateLeader()
	}
	g.maybeCompact()
	return true
}

// persist writes until the disk takes it. Meanwhile the group answers nobody: as a leader it sends no
// heartbeat, so the others elect one whose disk works. False where the group is stopped first.
func (g *group) persist(rd *raft.Ready) bool {
	for wait := minDiskBackoff; ; wait = min(2*wait, time.Second) {
		start := time.Now()
		size, err := g.host.store.save(g.name, rd)
		if took := time.Since(start); took > 100*time.Millisecond {
			g.stats.SlowSyncs++
		}
		if err == nil {
			if g.diskErr != nil {
				g.log.Info("ledger: the disk takes what is written again")
				g.diskErr = nil
			}
			g.logBytes += size
			if !raft.IsEmptySnap(rd.Snapshot) {
				g.storage.ApplySnapshot(rd.Snapshot)
				g.logBytes = size
			}
			if !raft.IsEmptyHardState(rd.HardState) {
				g.storage.SetHardState(rd.HardState)
			}
			g.storage.Append(rd.Entries)
			return true
		}
		g.stats.DiskErrors++
		if g.diskErr == nil {
			g.log.Error("ledger: the disk does not take what is written; this replica promises nothing until it does",
				"file", g.host.store.path, "err", err)
			g.diskErr = fmt.Errorf("%w: %w", ErrDisk, err)
			g.failPending(ErrUnknown)
		}
		if !g.waitForDisk(wait) {
			return false
		}
	}
}

// waitForDisk passes time while the disk fails: callers are refused, messages are dropped.
func (g *group) waitForDisk(wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return false
		case <-t.C:
			return true
		case <-g.inbox:
		case f := <-g.tasks:
			f()
		}
	}
}

// updateLeader tells of a new leader, and fails what an old one's callers wait for.
func (g *group) updateLeader() {
	st := g.rawNode.BasicStatus()
	isLeader := st.RaftState == raft.StateLeader
	if g.isLeader && !isLeader {
		g.failPending(ErrUnknown)
	}
	g.isLeader = isLeader
	if st.Lead != g.lead {
		g.lead = st.Lead
		if st.Lead != raft.None {
			g.stats.Elections++
			g.log.Info("ledger: the group has a leader", "leader", g.memberNames[st.Lead], "term",
				st.HardState.GetTerm(), "here", isLeader)
		} else {
			g.log.Warn("ledger: the group has no leader", "term", st.HardState.GetTerm())
		}
	}
}

// readIndex answers a query from a state that holds all that was committed when it was asked (ReadIndex,
// section 6.4 of Ongaro's thesis). Any replica may be asked.
func (g *group) readIndex(ctx context.Context, query []byte) (any, error) {
	return g.call(ctx, func(out chan outcome) {
		if g.diskErr != nil {
			out <- outcome{err: g.diskErr}
			return
		}
		if g.leaderless() || len(g.pendingReads) >= maxPendingCalls {
			out <- outcome{err: ErrNotLeader}
			return
		}
		g.lastRequestID++
		g.pendingReads[g.lastRequestID] = pendingRead{query: query, out: out}
		g.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, g.lastRequestID))
	})
}
