package raftgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/raft/v3"
)

// failPending ends all calls that wait.
func (g *group) failPending(err error) {
	for key, out := range g.proposals {
		out <- outcome{err: err}
		delete(g.proposals, key)
	}
	for key, r := range g.pendingReads {
		r.out <- outcome{err: err}
		delete(g.pendingReads, key)
	}
}

func (g *group) serveReads() {
	for key, r := range g.pendingReads {
		if r.index > 0 && g.appliedIndex >= r.index {
			result, err := g.stateMachine.Read(r.query)
			r.out <- outcome{result, err}
			delete(g.pendingReads, key)
		}
	}
}

// leaderless tells whether this replica neither leads nor hears of a leader. A learner, and one that was
// removed and not told, would believe in its last leader for good.
func (g *group) leaderless() bool {
	st := g.rawNode.BasicStatus()
	overdue := time.Since(g.lastLeaderContact) > 2*g.host.opts.ElectionTimeout
	return st.Lead == raft.None || st.RaftState != raft.StateLeader && overdue
}

// enqueue runs f in the group's goroutine, as soon as it gets to it.
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

// call runs begin in the group's goroutine and waits for the outcome it sets up.
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

// propose has a command committed and applied.
func (g *group) propose(ctx context.Context, data []byte) (any, error) {
	return g.call(ctx, func(out chan outcome) {
		reject := func(err error) {
			g.stats.Rejected++
			out <- outcome{err: err}
		}
		switch st := g.rawNode.BasicStatus(); {
		case g.diskErr != nil:
			reject(g.diskErr)
			return
		case st.RaftState != raft.StateLeader:
			reject(ErrNotLeader)
			return
		case len(g.confState.GetVoters()) < minVoters:
			reject(ErrForming)
			return
		}
		g.lastRequestID++
		entry := binary.BigEndian.AppendUint64(make([]byte, 0, 16+len(data)), g.host.store.id)
		entry = append(binary.BigEndian.AppendUint64(entry, g.lastRequestID), data...)
		if err := g.rawNode.Propose(entry); err != nil {
			if errors.Is(err, raft.ErrProposalDropped) {
				err = ErrBusy
			}
			reject(err)
			return
		}
		g.stats.Proposed++
		g.proposals[g.lastRequestID] = out
	})
}
