package raftgroup

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// deliver hands an inbound Raft message to its group; called by the goroutine of the connection that it came
// on. A message to another replica ID, such as one on a disk that this member lost, is dropped. A leader's
// message opens a replica that the leader has just added.
func (h *Host) deliver(name string, msg *raftpb.Message) {
	g := h.group(name)
	if g == nil {
		if !slices.Contains(h.opts.Groups, name) || msg.GetTo() != h.store.id || !isFromLeader(msg) {
			return
		}
		var err error
		if g, err = h.openReplica(name, false); err != nil {
			h.log.Warn("ledger: replica not opened", "group", name, "err", err)
			return
		}
	}
	if msg.GetTo() != h.store.id {
		return
	}
	g.post(msg)
}

// isFromLeader reports whether only a leader sends messages of this one's type.
func isFromLeader(msg *raftpb.Message) bool {
	switch msg.GetType() {
	case raftpb.MsgApp, raftpb.MsgSnap, raftpb.MsgHeartbeat:
		return true
	}
	return false
}

// post puts a message into the group's inbox, or drops it where that is full: raft sends it again. It never
// blocks and may be called from any goroutine.
func (g *group) post(msg *raftpb.Message) {
	select {
	case g.inbox <- msg:
	default:
	}
}

// send hands a group's messages to the network, in order, and reports those that it does not take. It is
// called by the group's goroutine.
func (h *Host) send(name string, msgs []*raftpb.Message) {
	for _, msg := range msgs {
		if !h.net.send(name, msg) {
			h.reportUndelivered(name, msg)
		}
	}
}

// reportUndelivered reports to a group that a message was not sent: raft's ReportUnreachable, or for a
// snapshot ReportSnapshot with a failure. The report goes through the group's inbox as a message from the
// replica that was not reached (group.step).
func (h *Host) reportUndelivered(name string, msg *raftpb.Message) {
	g := h.group(name)
	if g == nil {
		return
	}
	to := msg.GetTo()
	kind := raftpb.MsgUnreachable
	if msg.GetType() == raftpb.MsgSnap {
		kind = raftpb.MsgSnapStatus
	}
	rejected := true
	g.post(&raftpb.Message{Type: &kind, From: &to, Reject: &rejected})
}

// reportSnapshotFinish reports to a group that a snapshot was written completely: raft's ReportSnapshot, in
// the way of reportUndelivered.
func (h *Host) reportSnapshotFinish(name string, to uint64) {
	if g := h.group(name); g != nil {
		kind := raftpb.MsgSnapStatus
		g.post(&raftpb.Message{Type: &kind, From: &to})
	}
}
