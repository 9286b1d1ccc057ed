package clusterrig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"cresshub/internal/cluster/leaseholder"
	"cresshub/internal/testbed/proxystandin"
)

// ownerTimeout bounds the waits for an owner, and for its calls.
const ownerTimeout = 10 * time.Second

// FaultedOwners is the result of FaultOwners.
type FaultedOwners struct {
	Pauses, Partitions int
	Refused            int // calls of former owners that the sink and discovery refused
	EndedWatches       int // watches of former owners that discovery ended
	RefusedEntries     int // log entries of former owners that the group refused
	Median             time.Duration
	Worst              time.Duration // until another member owned the roles, see Ownership.Acquired
}

// FaultOwners pauses owners for three leases and resumes them, and partitions owners from the other members
// but not from sink and discovery, as often as asked. Each fault hits the owner between its check of the
// lease and a call, which is held until another member owns the roles and the sink has seen a call of that
// one. A round ends when the sink has refused the call and the former owner reports that it owns nothing. On
// a busy machine an owner can lose its lease before a call of it is held, and a call, which may take no
// longer than the lease lasted when it was checked, can be too short to reach the sink. Such a round shows
// nothing and is repeated; all repeats together are at most as many as the rounds.
func (r *Rig) FaultOwners(ctx context.Context, lease time.Duration, pauses, partitions int) (FaultedOwners,
	error) {
	rep := FaultedOwners{Pauses: pauses, Partitions: partitions}
	rounds := pauses + partitions
	repeats := rounds
	var took []time.Duration // of the rounds that showed something
	for len(took) < rounds {
		last, err := r.faultOwner(ctx, lease, len(took) < pauses)
		switch {
		case err == nil:
			took = append(took, last)
		case (errors.Is(err, errLateCallTimedOut) || errors.Is(err, errOwnerBeforeFault)) && repeats > 0:
			repeats--
		default:
			return rep, fmt.Errorf("round %d: %w", len(took), err)
		}
	}
	slices.Sort(took)
	rep.Median, rep.Worst = took[len(took)/2], took[len(took)-1]
	_, refused, err := r.Sink.Audit()
	calls := r.Discovery.OwnerCalls()
	rep.Refused, rep.EndedWatches = refused+calls.Stale, calls.EndedWatches
	if p, pageErr := OwnerPage(r.Running()[0]); pageErr == nil {
		rep.RefusedEntries = int(p.Store.Stats.Stale)
	}
	return rep, err
}

// faultOwner injects one fault of FaultOwners and returns how long it took until another member owned the
// roles.
func (r *Rig) faultOwner(ctx context.Context, lease time.Duration, pause bool) (took time.Duration,
	err error) {
	old, err := r.WaitOwner(ctx, ownerTimeout)
	if err != nil {
		return 0, err
	}
	failedBefore, err := failedCalls(old.Member)
	if err != nil {
		return 0, err
	}
	if err := blockCalls(ctx, old); err != nil {
		return 0, err
	}
	if err := r.isolate(old.Member, pause); err != nil {
		return 0, err
	}
	started := time.Now()
	if took, err = r.awaitSuccessor(ctx, old, started); err != nil {
		return took, err
	}
	time.Sleep(faultLeases*lease - time.Since(started)) // nothing is judged by the length of the fault
	if err := errors.Join(os.Remove(callFaults(old.Member)), r.rejoin(old.Member, pause)); err != nil {
		return took, err
	}
	lateErr := r.waitLateCall(ctx, old, failedBefore)
	if err := r.waitStepDown(ctx, old); err != nil {
		return took, err
	}
	return took, lateErr
}

// faultLeases is how many leases a fault of an owner lasts.
const faultLeases = 3

// awaitSuccessor waits until another member owns the roles under a higher token, and the sink has seen a call
// of that one. It returns how long after the fault had begun the member owned the roles.
func (r *Rig) awaitSuccessor(ctx context.Context, old Ownership, began time.Time) (time.Duration, error) {
	next, err := r.WaitOwner(ctx, ownerTimeout, old.Member)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", old.Name, err)
	}
	took := next.takeoverTime(began)
	if next.Token <= old.Token {
		return took, fmt.Errorf("%s has token %d after %d", next.Name, next.Token, old.Token)
	}
	what := fmt.Sprintf("of token %d", next.Token)
	return took, r.waitSinkCall(ctx, what, func(c proxystandin.SinkCall) bool { return c.Token >= next.Token })
}

// errLateCallTimedOut is returned if a former owner's call ended by its own timeout before it reached the
// sink.
var errLateCallTimedOut = errors.New("the late call timed out before it reached the sink")

// waitLateCall waits until the sink has refused the call of a former owner that was held, of whose calls so
// many had failed before.
func (r *Rig) waitLateCall(ctx context.Context, old Ownership, failedBefore int64) error {
	refused := func(c proxystandin.SinkCall) bool {
		return c.Token == old.Token && c.Status == http.StatusConflict
	}
	timedOut := false
	err := poll(ctx, ownerTimeout, pollInterval, func() error {
		failed, err := failedCalls(old.Member) // before the look at the sink, which a call reaches first
		if slices.ContainsFunc(r.Sink.Calls(), refused) {
			return nil
		}
		if timedOut = err == nil && failed > failedBefore; timedOut {
			return nil
		}
		return errors.Join(fmt.Errorf("the sink saw no call of token %d of %s, late; it saw last %+v", old.Token,
			old.Name, lastCalls(r.Sink.Calls())), err)
	})
	if timedOut {
		return errLateCallTimedOut
	}
	return err
}

// lastCalls returns the last calls of some, for errors.
func lastCalls(calls []proxystandin.SinkCall) []proxystandin.SinkCall {
	const shown = 12
	return calls[max(0, len(calls)-shown):]
}

// failedCalls returns how many calls of a member have failed, those apart that were refused for their token.
func failedCalls(m *Member) (int64, error) {
	var p leaseholder.Page
	err := m.GetJSON("/_owner", &p)
	return p.Stats.FailedCalls, err
}

// isolate pauses a member, or partitions it from all others.
func (r *Rig) isolate(m *Member, pause bool) error {
	if pause {
		return r.Pause(m)
	}
	others := slices.DeleteFunc(slices.Clone(r.Members), func(o *Member) bool { return o == m })
	r.Net.Partition([]string{m.Name}, MemberNames(others))
	return nil
}

// rejoin ends isolate.
func (r *Rig) rejoin(m *Member, paused bool) error {
	if paused {
		return r.Resume(m)
	}
	r.Net.Heal()
	return nil
}

// callFaults is the file that ShortLeaseTOML names for faults of a member's calls.
func callFaults(m *Member) string { return m.Data + ".calls" }

// ownerCheckInterval is how often an owner that makes no call is asked whether it still is the owner: seldom,
// as a call that is held has to be seen at once.
const ownerCheckInterval = 100 * time.Millisecond

// hasLostLease reports whether the member answers that it doesn't own the roles under that token any more.
func (o Ownership) hasLostLease() bool {
	var page leaseholder.Page
	err := o.GetJSON("/_owner", &page)
	return err == nil && (!page.Owns || page.Token != o.Token)
}

// errOwnerBeforeFault is returned if an owner lost its lease before a call of it was blocked.
var errOwnerBeforeFault = errors.New("the owner lost its lease before the fault")

// blockCalls blocks an owner's calls after their check of the lease, until the file of the faults is removed,
// and waits until a call is blocked. It returns errOwnerBeforeFault, and leaves no fault, if the owner has
// lost its lease meanwhile.
func blockCalls(ctx context.Context, owner Ownership) error {
	fault := fmt.Appendf(nil, "%s, token %d, %d", owner.Name, owner.Token, time.Now().UnixNano())
	if err := os.WriteFile(callFaults(owner.Member), fault, 0o600); err != nil {
		return err
	}
	blocked := callFaults(owner.Member) + leaseholder.BlockedSuffix
	lost := false
	nextOwnerCheck := time.Now().Add(ownerCheckInterval)
	err := poll(ctx, ownerTimeout, time.Millisecond, func() error {
		if content, err := os.ReadFile(blocked); err == nil && bytes.Equal(content, fault) {
			return nil
		}
		if time.Now().After(nextOwnerCheck) {
			nextOwnerCheck = time.Now().Add(ownerCheckInterval)
			if lost = owner.hasLostLease(); lost {
				return nil
			}
		}
		return fmt.Errorf("%s makes no call", owner.Name)
	})
	if !lost {
		return err
	}
	return errors.Join(errOwnerBeforeFault, os.Remove(callFaults(owner.Member)))
}

// waitSinkCall waits until the sink has seen a call that matches.
func (r *Rig) waitSinkCall(ctx context.Context, what string, match func(proxystandin.SinkCall) bool) error {
	return poll(ctx, ownerTimeout, pollInterval, func() error {
		if !slices.ContainsFunc(r.Sink.Calls(), match) {
			return fmt.Errorf("the sink saw no call %s", what)
		}
		return nil
	})
}

// waitStepDown waits until a former owner reports that it no longer owns the roles under its token.
func (r *Rig) waitStepDown(ctx context.Context, former Ownership) error {
	const limit = 5 * time.Second
	return poll(ctx, limit, ownerPollInterval, func() error {
		var p leaseholder.Page
		err := former.GetJSON("/_owner", &p)
		if err == nil && (!p.Owns || p.Token > former.Token) {
			return nil
		}
		return errors.Join(fmt.Errorf("%s reports after %v that it owns the roles with token %d: %+v", former.Name,
			limit, former.Token, p), err)
	})
}
