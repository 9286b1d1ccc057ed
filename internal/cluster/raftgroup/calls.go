package raftgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/raft/v3"
)

// enqueue has f run in the group's goroutine, as soon as it gets to it.
func (g *group) enqueue(f func()) error {
	select {
	case <-g.done:
		return ErrStopped
	default:
	}
	select {
	case g.tasks <- f:
		return nil
	default:
		return ErrBusy
	}
}

// call runs start in the group's goroutine and waits for an outcome on the channel that start is given. The
// error is ErrUnknown if ctx ended first.
func (g *group) call(ctx context.Context, start func(out chan outcome)) (any, error) {
	out := make(chan outcome, 1)
	if err := g.enqueue(func() { start(out) }); err != nil {
		return nil, err
	}
	select {
	case o := <-out:
		return o.result, o.err
	case <-g.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, ErrUnknown
	}
}

// proposalHeaderSize is the size of the header before a logged command: the ID of the replica that proposed
// it and that replica's request ID, 8 bytes each, big endian. By them the proposer finds the call that waits
// for the result.
const proposalHeaderSize = 16

// propose has a command committed and applied, and returns the state machine's result.
func (g *group) propose(ctx context.Context, data []byte) (any, error) {
	return g.call(ctx, func(out chan outcome) {
		if err := g.startProposal(data, out); err != nil {
			g.stats.Rejected++
			out <- outcome{err: err}
		}
	})
}

func (g *group) startProposal(data []byte, out chan outcome) error {
	switch st := g.rawNode.BasicStatus(); {
	case g.diskErr != nil:
		return g.diskErr
	case st.RaftState != raft.StateLeader:
		return ErrNotLeader
	case len(g.confState.GetVoters()) < minVoters:
		return ErrForming
	}
	g.lastRequestID++
	entry := make([]byte, 0, proposalHeaderSize+len(data))
	entry = binary.BigEndian.AppendUint64(entry, g.host.store.id)
	entry = binary.BigEndian.AppendUint64(entry, g.lastRequestID)
	if err := g.rawNode.Propose(append(entry, data...)); err != nil {
		if errors.Is(err, raft.ErrProposalDropped) {
			return ErrBusy
		}
		return err
	}
	g.stats.Proposed++
	g.proposals[g.lastRequestID] = out
	return nil
}

// readIndex answers a query from a state with everything that was committed when it was asked (ReadIndex,
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

// serveReads answers the reads whose index is confirmed and applied.
func (g *group) serveReads() {
	for id, read := range g.pendingReads {
		if read.index > 0 && g.appliedIndex >= read.index {
			result, err := g.stateMachine.Read(read.query)
			read.out <- outcome{result, err}
			delete(g.pendingReads, id)
		}
	}
}

// failPending ends all calls that wait for an outcome.
func (g *group) failPending(err error) {
	for id, out := range g.proposals {
		out <- outcome{err: err}
		delete(g.proposals, id)
	}
	for id, read := range g.pendingReads {
		read.out <- outcome{err: err}
		delete(g.pendingReads, id)
	}
}

// leaderless reports whether this replica neither leads nor receives messages of a leader. Raft alone
// doesn't say so of a learner, nor of a replica that was removed while it was unreachable: both go on to
// name the last leader they knew.
func (g *group) leaderless() bool {
	st := g.rawNode.BasicStatus()
	overdue := time.Since(g.lastLeaderContact) > 2*g.host.opts.ElectionTimeout
	return st.Lead == raft.None || st.RaftState != raft.StateLeader && overdue
}
