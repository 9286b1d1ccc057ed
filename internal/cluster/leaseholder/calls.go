package leaseholder

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cresshub/internal/cluster/groupstate"
)

// callFenced makes one call under a token, with a timeout that ends no later than the lease. If the call is
// rejected because of its token, this member's ownership ends. The error is ErrNotOwner if no call was made,
// otherwise that of do.
func (r *Runner) callFenced(token uint64, timeout time.Duration, do func(ctx context.Context) error) error {
	remaining, err := r.checkLease(token)
	if err != nil {
		return err
	}
	if r.opts.Faults != nil {
		r.opts.Faults.BeforeCall()
	}
	ctx, cancel := context.WithTimeout(r.ctx, min(timeout, remaining))
	defer cancel()
	err = do(ctx)
	r.updateStats(func(s *Stats) {
		s.Calls++
		switch {
		case errors.Is(err, errStaleToken):
			s.RejectedCalls++
		case err != nil:
			s.FailedCalls++
		}
	})
	if errors.Is(err, errStaleToken) {
		r.stepDown(token, err.Error())
	}
	return err
}

// ReportRejection records that discovery rejected a call because of its token, and ends this member's
// ownership under that token.
func (r *Runner) ReportRejection(token uint64, reason string) {
	r.updateStats(func(s *Stats) {
		s.Calls++
		s.RejectedCalls++
	})
	r.stepDown(token, reason)
}

// commit proposes a command of a role under a token. It returns nil if the command was accepted, ErrNotOwner
// if it was not proposed because this member doesn't hold the lease, errStaleToken if the state machine
// rejected its token, and an error with the reason if it rejected the command otherwise. After any other
// error the command may or may not have been applied.
func (r *Runner) commit(token uint64, command []byte) error {
	remaining, err := r.checkLease(token)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.ctx, remaining)
	defer cancel()
	raw, err := r.opts.Store.Propose(ctx, command)
	if err != nil {
		return err
	}
	var result groupstate.Result
	if err := json.Unmarshal(raw, &result); err != nil {
		return err
	}
	switch result.Status {
	case groupstate.StatusAccepted:
		return nil
	case groupstate.StatusStale:
		r.updateStats(func(s *Stats) { s.StaleCommands++ })
		r.stepDown(token, result.Reason)
		return errStaleToken
	}
	return errors.New(result.Reason)
}

// query reads from the store within a timeout and decodes the result into target, which is a pointer.
func (r *Runner) query(timeout time.Duration, query groupstate.Query, target any) error {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	raw, err := r.opts.Store.Read(ctx, query.Encode())
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, target)
}
