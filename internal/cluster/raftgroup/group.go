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

// Machine is the state that a group's log is applied to. A group calls it from one goroutine alone.
type Machine interface {
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

// leastVoters is how many voters a group must have to promise anything: with fewer the loss of one machine
// could lose it.
const leastVoters = 3

const (
	inboxMost   = 4096
	workMost    = 1024
	inflight    = 256
	messageMost = 1 << 20
	uncommitted = 16 << 20
	keepBehind  = 1000 // log entries kept behind a snapshot, for followers that are only slow
	retryDisk   = 100 * time.Millisecond
)

// group is one group's replica on this member.
type group struct {
	name    string
	host    *Host
	log     *slog.Logger
	machine Machine

	inbox chan *raftpb.Message
	work  chan func()
	stop  chan struct{}
	done  chan struct{}

	// What follows belongs to the group's goroutine.
	rn       *raft.RawNode
	ms       *raft.MemoryStorage
	conf     *raftpb.ConfState
	names    map[uint64]string // members by identity, as the group's changes told them
	applied  uint64
	snapped  uint64
	logBytes int64
	waiting  map[uint64]chan outcome
	reads    map[uint64]read
	nextKey  uint64
	led      bool
	lead     uint64
	heard    time.Time // of a leader, last
	stalled  error
	changing time.Time // a change of members was proposed then and is not applied yet
	removed  bool
	figures  GroupFigures
}

type outcome struct {
	result any
	err    error
}

type read struct {
	index uint64 // 0: not told yet
	query []byte
	out   chan outcome
}

// GroupFigures count what happened to a replica since its start.
type GroupFigures struct {
	Elections  int64 `json:"elections"` // leaders it has followed or been
	Snapshots  int64 `json:"snapshots"`
	Restored   int64 `json:"restored"` // snapshots taken from a leader
	Changes    int64 `json:"changes"`  // of members applied
	Proposed   int64 `json:"proposed"`
	Refused    int64 `json:"refused"`
	DiskErrors int64 `json:"disk_errors"`
	SlowSyncs  int64 `json:"slow_syncs"` // over 100 ms
}

// openGroup starts a group's replica from disk; founding says that it is made anew with this member alone.
func openGroup(h *Host, name string, founding bool) (_ *group, err error) {
	defer func() { // raft panics where what it is given cannot be
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: group %s: %v", h.store.path, name, p)
		}
	}()
	if err := h.store.create(name); err != nil {
		return nil, err
	}
	ms, size, err := h.store.load(name)
	if err != nil {
		return nil, err
	}
	g := &group{name: name, host: h, log: h.log.With("group", name), machine: h.opt.Machine(name), ms: ms,
		inbox: make(chan *raftpb.Message, inboxMost), work: make(chan func(), workMost),
		stop: make(chan struct{}), done: make(chan struct{}), names: map[uint64]string{}, logBytes: size,
		waiting: map[uint64]chan outcome{}, reads: map[uint64]read{},
		nextKey: rand.Uint64() >> 1} // what an earlier life proposed must not answer this one's callers
	snap, err := ms.Snapshot()
	if err != nil {
		return nil, err
	}
	if founding && raft.IsEmptySnap(snap) {
		// The group begins with a snapshot at index 1 that says who is in it.
		raw, err := g.encodeState(map[uint64]string{h.store.id: h.opt.Name})
		if err != nil {
			return nil, err
		}
		snap = &raftpb.Snapshot{Data: raw, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1),
			Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{h.store.id}}}}
		hard := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if _, err := h.store.save(name, &raft.Ready{Snapshot: snap, HardState: hard}); err != nil {
			return nil, err
		}
		if err := ms.ApplySnapshot(snap); err != nil {
			return nil, err
		}
		ms.SetHardState(hard)
	}
	if err := g.restore(snap); err != nil {
		return nil, fmt.Errorf("%s: group %s: %w", h.store.path, name, err)
	}
	g.snapped = g.applied
	ticks := max(2, int(h.opt.Election/h.opt.Heartbeat))
	g.rn, err = raft.NewRawNode(&raft.Config{ID: h.store.id, ElectionTick: ticks, HeartbeatTick: 1,
		Storage: freshSnapshots{ms, g},
		Applied: g.applied, MaxSizePerMsg: messageMost, MaxInflightMsgs: inflight,
		MaxUncommittedEntriesSize: uncommitted, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: raftLog{g.log}})
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
		g.fail(ErrStopped)
	}()
	tick := time.NewTicker(g.host.opt.Heartbeat)
	defer tick.Stop()
	place := time.NewTicker(max(2*g.host.opt.Heartbeat, 50*time.Millisecond))
	defer place.Stop()
	for !g.removed {
		select {
		case <-g.stop:
			if st := g.rn.BasicStatus(); g.stalled == nil {
				g.host.store.save(g.name, &raft.Ready{HardState: st.HardState})
			}
			return
		case <-tick.C:
			g.rn.Tick()
		case <-place.C:
			g.place()
		case m := <-g.inbox:
			g.step(m)
		case f := <-g.work:
			f()
		}
		g.drain()
		if !g.ready() {
			return
		}
	}
	g.log.Info("ledger: this replica was removed from its group")
	if err := g.host.store.clear(g.name); err != nil {
		g.log.Warn("ledger: what a removed replica held could not be dropped", "err", err)
	}
	g.host.forget(g)
}

// drain takes what else waits, so that one sync carries it all.
func (g *group) drain() {
	for range inboxMost {
		select {
		case m := <-g.inbox:
			g.step(m)
		case f := <-g.work:
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
		g.rn.ReportSnapshot(m.GetFrom(), status)
		return
	}
	if m.GetType() == raftpb.MsgUnreachable {
		g.rn.ReportUnreachable(m.GetFrom())
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		g.heard = time.Now()
	}
	if err := g.rn.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		g.log.Debug("ledger: a message was not taken", "type", m.GetType().String(), "err", err)
	}
}

// ready carries out what raft wants: disk, then messages, then the machine. False where the group stops.
func (g *group) ready() bool {
	for g.rn.HasReady() {
		rd := g.rn.Ready()
		changes := slices.ContainsFunc(rd.CommittedEntries, func(e *raftpb.Entry) bool {
			return e.GetType() != raftpb.EntryNormal
		})
		switch {
		// What says who is in the group is on disk as committed: a replica that forgot it would, started again,
		// wait for votes of those who were in it before.
		case rd.MustSync || changes || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot):
			if !g.save(&rd) {
				return false
			}
		case !raft.IsEmptyHardState(rd.HardState):
			g.ms.SetHardState(rd.HardState) // a higher commit index alone, which a restart learns again
		}
		g.host.send(g.name, rd.Messages)
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := g.restore(rd.Snapshot); err != nil {
				panic(err)
			}
			g.figures.Restored++
			g.snapped = g.applied
			g.log.Info("ledger: took a snapshot of the leader's", "index", g.applied)
		}
		for _, e := range rd.CommittedEntries {
			g.apply(e)
		}
		for _, r := range rd.ReadStates {
			key := binary.BigEndian.Uint64(r.RequestCtx)
			if q, ok := g.reads[key]; ok {
				q.index = max(r.Index, 1)
				g.reads[key] = q
			}
		}
		g.rn.Advance(rd)
		g.answerReads()
		g.noteLeader()
	}
	g.compact()
	return true
}

// save writes until the disk takes it. Meanwhile the group answers nobody: as a leader it sends no heartbeat,
// so the others elect one whose disk works. False where the group is stopped first.
func (g *group) save(rd *raft.Ready) bool {
	for wait := retryDisk; ; wait = min(2*wait, time.Second) {
		start := time.Now()
		size, err := g.host.store.save(g.name, rd)
		if took := time.Since(start); took > 100*time.Millisecond {
			g.figures.SlowSyncs++
		}
		if err == nil {
			if g.stalled != nil {
				g.log.Info("ledger: the disk takes what is written again")
				g.stalled = nil
			}
			g.logBytes += size
			if !raft.IsEmptySnap(rd.Snapshot) {
				g.ms.ApplySnapshot(rd.Snapshot)
				g.logBytes = size
			}
			if !raft.IsEmptyHardState(rd.HardState) {
				g.ms.SetHardState(rd.HardState)
			}
			g.ms.Append(rd.Entries)
			return true
		}
		g.figures.DiskErrors++
		if g.stalled == nil {
			g.log.Error("ledger: the disk does not take what is written; this replica promises nothing until it does",
				"file", g.host.store.path, "err", err)
			g.stalled = fmt.Errorf("%w: %w", ErrDisk, err)
			g.fail(ErrUnknown)
		}
		if !g.idle(wait) {
			return false
		}
	}
}

// idle passes time while the disk fails: callers are refused, messages are dropped.
func (g *group) idle(wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return false
		case <-t.C:
			return true
		case <-g.inbox:
		case f := <-g.work:
			f()
		}
	}
}

// noteLeader tells of a new leader, and fails what an old one's callers wait for.
func (g *group) noteLeader() {
	st := g.rn.BasicStatus()
	leads := st.RaftState == raft.StateLeader
	if g.led && !leads {
		g.fail(ErrUnknown)
	}
	g.led = leads
	if st.Lead != g.lead {
		g.lead = st.Lead
		if st.Lead != raft.None {
			g.figures.Elections++
			g.log.Info("ledger: the group has a leader", "leader", g.names[st.Lead], "term",
				st.HardState.GetTerm(), "here", leads)
		} else {
			g.log.Warn("ledger: the group has no leader", "term", st.HardState.GetTerm())
		}
	}
}

// read answers a query from a state that holds all that was committed when it was asked (ReadIndex, section
// 6.4 of Ongaro's thesis). Any replica may be asked.
func (g *group) read(ctx context.Context, query []byte) (any, error) {
	return g.call(ctx, func(out chan outcome) {
		if g.stalled != nil {
			out <- outcome{err: g.stalled}
			return
		}
		if g.silent() || len(g.reads) >= workMost {
			out <- outcome{err: ErrNotLeader}
			return
		}
		g.nextKey++
		g.reads[g.nextKey] = read{query: query, out: out}
		g.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, g.nextKey))
	})
}
