package raftgroup

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// deliver hands an inbound Raft message to its group. A leader's message opens a replica that it has just
// added.
func (h *Host) deliver(name string, m *raftpb.Message) {
	g := h.group(name)
	if g == nil {
		if !slices.Contains(h.opts.Groups, name) || m.GetTo() != h.store.id {
			return
		}
		switch m.GetType() {
		case raftpb.MsgApp, raftpb.MsgSnap, raftpb.MsgHeartbeat:
		default:
			return // not a leader's
		}
		var err error
		if g, err = h.openReplica(name, false); err != nil {
			h.log.Warn("ledger: replica not opened", "group", name, "err", err)
			return
		}
	}
	if m.GetTo() != h.store.id {
		return // for the replica on a disk that was lost
	}
	g.post(m)
}

// post puts a message into the group's inbox, or drops it where that is full: Raft sends it again.
func (g *group) post(m *raftpb.Message) {
	select {
	case g.inbox <- m:
	default:
	}
}

// send hands a group's messages to the network.
func (h *Host) send(name string, msgs []*raftpb.Message) {
	for _, m := range msgs {
		if !h.net.send(name, m) {
			h.reportUndelivered(name, m)
		}
	}
}

// reportUndelivered reports to a group that a message was not sent.
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
	g.post(&raftpb.Message{Type: &kind, From: &to, Reject: &rejected})
}

// reportSnapshotSent reports to a group that a snapshot was sent completely.
func (h *Host) reportSnapshotSent(name string, to uint64) {
	if g := h.group(name); g != nil {
		kind := raftpb.MsgSnapStatus
		g.post(&raftpb.Message{Type: &kind, From: &to})
	}
}
