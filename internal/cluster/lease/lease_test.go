package lease

import (
	"errors"
	"strings"
	"testing"
	"time"
)

var testSettings = Settings{TTL: 2 * time.Second, Drift: 0.05, ElectionTimeout: time.Second}

func TestInvalidSettingsAreRejected(t *testing.T) {
	for want, settings := range map[string]Settings{
		"election": {TTL: time.Second, Drift: 0.05, ElectionTimeout: time.Second},
		"drift":    {TTL: 2 * time.Second, Drift: 0.5},
		"range":    {TTL: 2 * time.Second, Drift: -1},
	} {
		t.Run(want, func(t *testing.T) {
			if err := settings.Check(); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%+v: %v, not %q", settings, err, want)
			}
		})
	}
}

func TestNewCandidateRequiresMemberAndRole(t *testing.T) {
	if _, err := NewCandidate(testSettings, "", "x"); err == nil {
		t.Error("a candidate without a member name was created")
	}
	if _, err := NewCandidate(testSettings, "x", ""); err == nil {
		t.Error("a candidate without a role was created")
	}
}

func TestTableAppliesOnlyCommandsThatNameTheCurrentGrant(t *testing.T) {
	a1 := Grant{Holder: "a", Token: 5}
	for name, c := range map[string]struct {
		current Grant
		cmd     Command
		index   uint64
		want    Grant
		applied bool
	}{
		"first acquisition":                   {Grant{}, Command{Op: Acquire, Member: "a"}, 5, a1, true},
		"proposer has not observed the grant": {a1, Command{Op: Acquire, Member: "b"}, 6, a1, false},
		"another member takes over": {a1, Command{Op: Acquire, Member: "b", Expected: a1}, 9,
			Grant{Holder: "b", Token: 9}, true},
		"a renewal keeps the token": {a1, Command{Op: Renew, Member: "a", Expected: a1}, 7,
			Grant{Holder: "a", Token: 5, Renewals: 1}, true},
		"a renewal by another member": {a1, Command{Op: Renew, Member: "b", Expected: a1}, 7, a1, false},
		"a release": {a1, Command{Op: Release, Member: "a", Expected: a1}, 7,
			Grant{Token: 5, Renewals: 1}, true},
		"a release by another member":  {a1, Command{Op: Release, Member: "b", Expected: a1}, 7, a1, false},
		"an empty member name":         {a1, Command{Op: Acquire, Expected: a1}, 7, a1, false},
		"an unknown operation":         {a1, Command{Op: 9, Member: "a", Expected: a1}, 7, a1, false},
		"an index not above the token": {a1, Command{Op: Acquire, Member: "b", Expected: a1}, 5, a1, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.Restore(map[string]Grant{"c": c.current})
			c.cmd.Role = "c"
			result := table.Apply(c.index, c.cmd)
			if result.Applied != c.applied || result.Grant != c.want || table.Get("c") != c.want {
				t.Errorf("%+v", result)
			}
		})
	}
}

// newOwner returns the candidate of member a, whose Acquire was proposed at 0 and its result handled at
// resultAt.
func newOwner(t *testing.T, resultAt time.Duration) *Candidate {
	t.Helper()
	c := newCandidate(t, "a", Grant{})
	if cmd, ok := c.NextProposal(0); !ok || cmd.Op != Acquire {
		t.Fatalf("%+v %v", cmd, ok)
	}
	c.HandleResult(resultAt, Result{Applied: true, Grant: Grant{Holder: "a", Token: 5}})
	return c
}

// newCandidate returns the candidate of a member that observed a grant at 0.
func newCandidate(t *testing.T, name string, observed Grant) *Candidate {
	t.Helper()
	c, err := NewCandidate(testSettings, name, "c")
	if err != nil {
		t.Fatal(err)
	}
	c.Observe(0, observed)
	return c
}

func TestLeaseStartsWhenItsCommandIsProposed(t *testing.T) {
	c := newOwner(t, 500*time.Millisecond)
	if !c.Owns(1999*time.Millisecond) || c.Owns(2*time.Second) {
		t.Error("the lease does not last from the proposal of its command for the TTL")
	}
	if late := newOwner(t, 3*time.Second); late.Owns(3 * time.Second) {
		t.Error("a result that arrived after its lease had expired made the member the owner")
	}
}

func TestHolderRenewsAfterAThirdOfTheLease(t *testing.T) {
	c := newOwner(t, 500*time.Millisecond)
	if _, ok := c.NextProposal(600 * time.Millisecond); ok {
		t.Error("renewed before a third of the lease")
	}
	cmd, ok := c.NextProposal(700 * time.Millisecond)
	if !ok || cmd.Op != Renew {
		t.Fatalf("%+v %v", cmd, ok)
	}
	if _, ok := c.NextProposal(800 * time.Millisecond); ok {
		t.Error("two commands in flight")
	}
	c.HandleNoResult()
	if c.Owns(2 * time.Second) {
		t.Error("a renewal without a result extended the lease")
	}
	cmd, _ = c.NextProposal(time.Second)
	c.HandleResult(1500*time.Millisecond,
		Result{Applied: true, Grant: Grant{Holder: "a", Token: 5, Renewals: 1}})
	if got := c.Remaining(1500 * time.Millisecond); cmd.Op != Renew || got != 1500*time.Millisecond {
		t.Errorf("%v remain after %+v", got, cmd)
	}
	c.Observe(1600*time.Millisecond, Grant{Holder: "b", Token: 9})
	if c.Owns(1700*time.Millisecond) || c.Token() != 9 {
		t.Error("the member still owns the role after it observed a grant to another")
	}
}

func TestHolderResignsOnce(t *testing.T) {
	c := newOwner(t, 0)
	if cmd, ok := c.Resign(); !ok || cmd.Op != Release || c.Owns(1) {
		t.Errorf("%+v %v", cmd, ok)
	}
	if _, ok := c.Resign(); ok {
		t.Error("resigned twice")
	}
}

func TestTakeoverWaitsForTheClockDrift(t *testing.T) {
	other := newCandidate(t, "b", Grant{Holder: "a", Token: 5})
	if _, ok := other.NextProposal(2100 * time.Millisecond); ok {
		t.Error("the other member acquires before the takeover delay has passed")
	}
	if cmd, ok := other.NextProposal(2300 * time.Millisecond); !ok || cmd.Op != Acquire {
		t.Error("the other member does not acquire after the takeover delay")
	}
}

func TestGrantOfAnEarlierIncarnationGivesNoOwnership(t *testing.T) {
	restarted := newCandidate(t, "a", Grant{Holder: "a", Token: 5})
	if restarted.Owns(1) {
		t.Error("a grant of an earlier incarnation made the member the owner")
	}
}

func TestFenceRejectsTokensBelowTheHighest(t *testing.T) {
	var fence Fence
	for i, c := range []struct {
		token uint64
		ok    bool
	}{{0, false}, {5, true}, {5, true}, {4, false}, {9, true}, {5, false}} {
		if err := fence.Admit(c.token); (err == nil) != c.ok {
			t.Errorf("%d: token %d: %v", i, c.token, err)
		}
	}
	if err := fence.Admit(0); !errors.Is(err, ErrNoToken) {
		t.Errorf("without a token: %v", err)
	}
}
