package raftgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/raft/v3"
)

// fail ends all calls that wait.
func (g *group) fail(err error) {
	for key, out := range g.waiting {
		out <- outcome{err: err}
		delete(g.waiting, key)
	}
	for key, r := range g.reads {
		r.out <- outcome{err: err}
		delete(g.reads, key)
	}
}

func (g *group) answerReads() {
	for key, r := range g.reads {
		if r.index > 0 && g.applied >= r.index {
			result, err := g.machine.Read(r.query)
			r.out <- outcome{result, err}
			delete(g.reads, key)
		}
	}
}

// silent tells whether this replica neither leads nor hears of a leader. A learner, and one that was removed
// and not told, would believe in its last leader for good.
func (g *group) silent() bool {
	st := g.rn.BasicStatus()
	late := time.Since(g.heard) > 2*g.host.opt.Election
	return st.Lead == raft.None || st.RaftState != raft.StateLeader && late
}

// do runs f in the group's goroutine, as soon as it gets to it.
func (g *group) do(f func()) error {
	select {
	case <-g.done:
		return ErrStopped
	default:
	}
	select {
	case g.work <- f:
		return nil
	default:
		return ErrBusy
	}
}

// call runs begin in the group's goroutine and waits for the outcome it sets up.
func (g *group) call(ctx context.Context, begin func(out chan outcome)) (any, error) {
	out := make(chan outcome, 1)
	if err := g.do(func() { begin(out) }); err != nil {
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
		refuse := func(err error) {
			g.figures.Refused++
			out <- outcome{err: err}
		}
		switch st := g.rn.BasicStatus(); {
		case g.stalled != nil:
			refuse(g.stalled)
			return
		case st.RaftState != raft.StateLeader:
			refuse(ErrNotLeader)
			return
		case len(g.conf.GetVoters()) < leastVoters:
			refuse(ErrForming)
			return
		}
		g.nextKey++
		whole := binary.BigEndian.AppendUint64(make([]byte, 0, 16+len(data)), g.host.store.id)
		whole = append(binary.BigEndian.AppendUint64(whole, g.nextKey), data...)
		if err := g.rn.Propose(whole); err != nil {
			if errors.Is(err, raft.ErrProposalDropped) {
				err = ErrBusy
			}
			refuse(err)
			return
		}
		g.figures.Proposed++
		g.waiting[g.nextKey] = out
	})
}
