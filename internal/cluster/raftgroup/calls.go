package raftgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/raft/v3"
)

// maxPendingCalls bounds the tasks queued for a group's goroutine, and the reads that wait for their read
// index.
const maxPendingCalls = 1024

// enqueue queues a task for the group's goroutine; if the group stops first, the task never runs. It returns
// ErrStopped or ErrBusy immediately if the task can't be queued. It may be called from any goroutine.
func (g *group) enqueue(task func()) error {
	select {
	case <-g.done:
		return ErrStopped
	default:
	}
	select {
	case g.tasks <- task:
		return nil
	default:
		return ErrBusy
	}
}

// call runs start in the group's goroutine and waits for an outcome on the channel that start receives. The
// channel has room for one outcome, so that sending it does not block; start may pass the channel on to the
// code that will send the outcome. The error is ErrOutcomeUnknown if ctx ends first. call may be called from
// any goroutine but the group's.
func (g *group) call(ctx context.Context, start func(out chan outcome)) (any, error) {
	out := make(chan outcome, 1)
	if err := g.enqueue(func() { start(out) }); err != nil {
		return nil, err
	}
	select {
	case answer := <-out:
		return answer.result, answer.err
	case <-g.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	}
}

// proposalHeaderSize is the size in bytes of the header before a command in the log: the ID of the replica
// that proposed it and that replica's request ID, 8 bytes each, big endian. By these IDs the proposer finds
// the call that waits for the result.
const proposalHeaderSize = 16

// propose has a command committed and applied, and returns the state machine's result. If this replica is not
// the leader, it returns ErrNotLeader; it does not forward the command.
func (g *group) propose(ctx context.Context, data []byte) (any, error) {
	return g.call(ctx, func(out chan outcome) {
		if err := g.startProposal(data, out); err != nil {
			g.stats.Rejected++
			out <- outcome{err: err}
		}
	})
}

// startProposal proposes a command to raft. If it returns nil, the outcome is sent on out once the command is
// applied (applyCommand) or its outcome can no longer be known (failPending).
func (g *group) startProposal(data []byte, out chan outcome) error {
	switch status := g.rawNode.BasicStatus(); {
	case g.diskErr != nil:
		return g.diskErr
	case status.RaftState != raft.StateLeader:
		return ErrNotLeader
	case len(g.confState.GetVoters()) < minVoters:
		return ErrTooFewVoters
	}
	g.lastRequestID++
	err := g.rawNode.Propose(encodeProposal(g.host.store.id, g.lastRequestID, data))
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrBusy
	}
	if err != nil {
		return err
	}
	g.stats.Proposed++
	g.proposals[g.lastRequestID] = out
	return nil
}

// encodeProposal returns the log entry's data for a command: the header, then the command.
func encodeProposal(replicaID, requestID uint64, command []byte) []byte {
	entry := make([]byte, 0, proposalHeaderSize+len(command))
	entry = binary.BigEndian.AppendUint64(entry, replicaID)
	entry = binary.BigEndian.AppendUint64(entry, requestID)
	return append(entry, command...)
}

// readIndex answers a query from a state that includes everything committed when the query arrived
// (ReadIndex, section 6.4 of Ongaro's thesis). Any replica can do this: raft forwards a follower's ReadIndex
// request to the leader. If that request is lost, the call ends when ctx does.
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

// serveReads answers the reads whose index is confirmed and applied, in any order.
func (g *group) serveReads() {
	for id, read := range g.pendingReads {
		if read.index > 0 && g.appliedIndex >= read.index {
			result, err := g.stateMachine.Read(read.query)
			read.out <- outcome{result, err}
			delete(g.pendingReads, id)
		}
	}
}

// failPending ends all calls that wait for an outcome: reads with readErr, proposals with ErrOutcomeUnknown,
// as their entries may still be committed. Results of such entries are then discarded.
func (g *group) failPending(readErr error) {
	for id, out := range g.proposals {
		out <- outcome{err: ErrOutcomeUnknown}
		delete(g.proposals, id)
	}
	for id, read := range g.pendingReads {
		read.out <- outcome{err: readErr}
		delete(g.pendingReads, id)
	}
}

// leaderless reports whether this replica neither leads nor receives messages from a leader. Raft's own
// status does not show this for a learner or for a replica that was removed while it was unreachable: both
// keep naming the last leader that they knew.
func (g *group) leaderless() bool {
	status := g.rawNode.BasicStatus()
	overdue := time.Since(g.lastLeaderContact) > 2*g.host.opts.ElectionTimeout
	return status.Lead == raft.None || status.RaftState != raft.StateLeader && overdue
}
