package raftgroup

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// deliver passes an inbound Raft message to its group; it is called by the goroutine of the connection that
// the message came in on. A message for another replica ID, such as that of a disk that this member lost, is
// dropped. If this member has no replica of the group, a message from the group's leader opens one, as the
// leader has just added it.
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

// isFromLeader reports whether a message is of a type that only leaders send.
func isFromLeader(msg *raftpb.Message) bool {
	switch msg.GetType() {
	case raftpb.MsgApp, raftpb.MsgSnap, raftpb.MsgHeartbeat:
		return true
	}
	return false
}

// post puts a message into the group's inbox, or drops it if the inbox is full, as raft sends it again. It
// never blocks and may be called from any goroutine.
func (g *group) post(msg *raftpb.Message) {
	select {
	case g.inbox <- msg:
	default:
	}
}

// send passes a group's messages to the network, in order, and reports to the group those that the network
// does not accept. It is called by the group's goroutine.
func (h *Host) send(name string, msgs []*raftpb.Message) {
	for _, msg := range msgs {
		if !h.net.send(name, msg) {
			h.reportUndelivered(name, msg)
		}
	}
}

// reportUndelivered reports to a group that a message was not sent, for raft's ReportUnreachable, or if the
// message held a snapshot, for ReportSnapshot with a failure. The report goes through the group's inbox as a
// message from the replica that was not reached (group.step).
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

// reportSnapshotFinish reports to a group that a snapshot was written completely, for raft's ReportSnapshot,
// in the same way as reportUndelivered.
func (h *Host) reportSnapshotFinish(name string, to uint64) {
	if g := h.group(name); g != nil {
		kind := raftpb.MsgSnapStatus
		g.post(&raftpb.Message{Type: &kind, From: &to})
	}
}
