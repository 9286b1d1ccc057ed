package clusterrig

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cresshub/internal/proxy/daemon"
)

// Case 1: kill -9 of the leader in the midst of a stream of batches, of a follower, and of both followers one
// after the other; each comes back with its disk.
func TestLedgerSurvivesKills(t *testing.T) {
	t.Parallel()
	rig := startLedger(t, 5, Options{})
	clients := withClients(t, nonReplicas(rig, replicas(t, rig)), 6, func() {
		for i := range 3 {
			replicated := replicas(t, rig)
			victim := replicated[min(i, 1)]
			before := appliedIndex(t, replicated)
			rig.Kill(victim)
			limit := patience
			if i == 0 { // the leader
				limit = 5 * time.Second
			}
			watch := startStopwatch()
			must(t, watch.poll(testContext(t), limit, pollInterval, func() error {
				return leaderAppliedBeyond(rig, before+10)
			}))
			t.Logf("%s killed, batches go on after %v", victim.Name, watch.elapsed())
			if i == 2 { // the second follower while the first is away stops the group; nothing is committed
				other := replicas(t, rig)[1:]
				for _, member := range other {
					if member.State() == Up && member != leader(t, rig) {
						rig.Kill(member)
						must(t, rig.Spawn(testContext(t), member, Unchanged))
						break
					}
				}
			}
			must(t, rig.Spawn(testContext(t), victim, Unchanged))
			waitLedger(t, rig.Running(), 10*time.Second, "all read again", checkReadable)
		}
	})
	waitCommitted(t, rig, clients, 15*time.Second)
	checkLedgerAnswers(t, rig, clients)
}

// checkReadable checks that a member read the ledger.
func checkReadable(_ *Member, page *daemon.LedgerPage) error {
	if page.Ledger == nil {
		return fmt.Errorf("not read")
	}
	return nil
}

// appliedIndex returns how far the first of some members has applied the group's log.
func appliedIndex(t *testing.T, members []*Member) uint64 {
	t.Helper()
	return awaitLedgerPage(t, members[0], "?period=1&tenant=-").Group.Applied
}

// appliedBeyond checks that a member has applied the group's log up to an index.
func appliedBeyond(page *daemon.LedgerPage, index uint64) error {
	if page.Group.Applied < index {
		return fmt.Errorf("applied %d, not %d", page.Group.Applied, index)
	}
	return nil
}

// leaderAppliedBeyond checks that the group has a leader that has applied the log up to an index.
func leaderAppliedBeyond(rig *Rig, index uint64) error {
	leader := findLeader(rig)
	if leader == nil {
		return errors.New("the group has no leader")
	}
	page, err := ledgerPage(leader, "")
	if err != nil {
		return err
	}
	return appliedBeyond(&page, index)
}

// Case 2: a replica is killed and its data folder wiped. It comes back empty and catches up under a new
// identity; another is killed for good and replaced by a further member. Nothing committed is lost.
func TestLedgerReplacesWipedAndDeadReplicas(t *testing.T) {
	t.Parallel()
	rig := startLedger(t, 5, Options{})
	replicated := replicas(t, rig)
	// Clients talk to members that stay, or the counts in memory of a killed process would be missing.
	targets := nonReplicas(rig, replicated)
	clients := withClients(t, targets, 6, func() {
		wiped := replicated[1]
		rig.Kill(wiped)
		must(t, rig.Spawn(testContext(t), wiped, EmptyDisk))
		waitLedger(t, []*Member{leader(t, rig)}, 20*time.Second, "three voters, the wiped one anew",
			func(_ *Member, page *daemon.LedgerPage) error { return checkFullyReplicated(rig, page) })
		dead := without(replicas(t, rig), targets...)[0]
		rig.Kill(dead)
		waitLedger(t, []*Member{leader(t, rig)}, 30*time.Second, "three voters without the dead one",
			func(_ *Member, page *daemon.LedgerPage) error {
				for _, v := range page.Group.Voters {
					if v == dead.Name {
						return fmt.Errorf("voters %v", page.Group.Voters)
					}
				}
				return checkFullyReplicated(rig, page)
			})
		must(t, rig.Spawn(testContext(t), dead, Unchanged)) // with its old disk, which the group does not list
	})
	waitCommitted(t, rig, clients, 15*time.Second)
	checkLedgerAnswers(t, rig, clients)
}

// checkFullyReplicated checks whether a group has three voters on the disks that their members have now, all
// caught up, and no learner. p is the leader's page.
func checkFullyReplicated(rig *Rig, page *daemon.LedgerPage) error {
	if len(page.Group.Replicas) != 3 {
		return fmt.Errorf("replicas %+v", page.Group.Replicas)
	}
	for _, v := range page.Group.Replicas {
		var own daemon.LedgerPage
		member := rig.Member(v.Member)
		if member == nil || member.State() != Up || member.GetJSON("/_ledger?period=1&tenant=-", &own) != nil ||
			own.Group.Disk != v.Disk || v.Learner || v.LagEntries > 50 {
			return fmt.Errorf("%+v, its member has disk %s", v, own.Group.Disk)
		}
	}
	return nil
}

// Case 3: the leader is partitioned in a minority. It commits nothing from then on, the majority elects
// another and goes on, and after the heal nothing that the old one accepted is counted twice.
func TestLedgerPartitionedLeaderCommitsNothing(t *testing.T) {
	t.Parallel()
	rig := startLedger(t, 5, Options{Relay: true})
	old := leader(t, rig)
	others := without(rig.Members, old)
	clients := withClients(t, rig.Members, 6, func() {
		rig.Net.Partition([]string{old.Name}, MemberNames(others))
		must(t, poll(testContext(t), 5*time.Second, pollInterval, func() error {
			if awaitPage(t, old, "?period=1&tenant=-").Group.Role == "leader" {
				return errors.New("the partitioned leader still leads")
			}
			return nil
		}))
		committed := awaitPage(t, old, "").Here.Committed
		waitLedger(t, others, 10*time.Second, "the majority reads and goes on", checkReadable)
		time.Sleep(time.Second) // long enough for what it must not commit
		page := awaitPage(t, old, "")
		if page.Here.Committed != committed || page.Ledger != nil {
			t.Errorf("partitioned, it committed %d more and read %v", page.Here.Committed-committed,
				page.Ledger != nil)
		}
		if page.Here.Queued == 0 {
			t.Error("partitioned, nothing is queued at it")
		}
		rig.Net.Heal()
	})
	waitCommitted(t, rig, clients, 15*time.Second)
	checkLedgerAnswers(t, rig, clients)
}

// Case 4: a slow disk and a full one, at the leader and at a follower. The group slows or stands, plainly;
// clients are served all the while, and nothing committed is lost.
func TestLedgerOnSlowAndFullDisks(t *testing.T) {
	t.Parallel()
	rig := startLedger(t, 5, Options{})
	faults := func(member *Member, text string) {
		must(t, os.WriteFile(member.Data+".faults", []byte(text), 0o600))
	}
	clients := withClients(t, rig.Members, 6, func() {
		for i := range 2 {
			member := replicas(t, rig)[i]
			faults(member, `{"sync_delay_ms": 200}`)
			// What is applied shows that batches go on; a read at a leader whose syncs are slow may be too late
			// for the admin address.
			page := awaitPage(t, leader(t, rig), "?period=1&tenant=-")
			before, started := page.Group.Applied, time.Now()
			for page.Group.Applied < before+5 {
				if time.Since(started) > 20*time.Second {
					t.Fatalf("%s is slow, and batches stand: %+v", member.Name, page.Group)
				}
				time.Sleep(50 * time.Millisecond)
				leader(t, rig).GetJSON("/_ledger?period=1&tenant=-", &page)
			}
			t.Logf("%s is slow, batches go on after %v", member.Name, time.Since(started))
			faults(member, `{"full": true}`)
			stalls := func(_ *Member) error {
				var page daemon.LedgerPage
				if err := member.GetJSON("/_ledger?period=1&tenant=-", &page); err != nil || page.Group.Stalled == "" {
					return fmt.Errorf("it does not say that it stands: %+v (%v)", page.Group, err)
				}
				return nil
			}
			for started = time.Now(); stalls(member) != nil; time.Sleep(pollInterval) {
				if time.Since(started) > 10*time.Second {
					t.Fatal(stalls(member))
				}
			}
			others := without(rig.Members, member)
			waitLedger(t, others, 15*time.Second, member.Name+" is full, the others read", checkReadable)
			faults(member, `{}`)
			waitLedger(t, rig.Members, 15*time.Second, member.Name+" has room again", checkReadable)
		}
	})
	if clients.Lost() > 0 {
		t.Errorf("%d requests got no answer while disks failed", clients.Lost())
	}
	waitCommitted(t, rig, clients, 15*time.Second)
	checkLedgerAnswers(t, rig, clients)
}

// Case 6: a client's retry of one request through another proxy after a restart counts in the period of its
// first answer.
func TestLedgerCountsRetryInPeriodOfFirstAnswer(t *testing.T) {
	t.Parallel()
	rig := startLedger(t, 3, Options{})
	clients := NewClients()
	a, b := rig.Members[0], rig.Members[1]
	must(t, clients.Send(a, Tenants[0], "zone-lookup", "the-first-try", ""))
	waitCommitted(t, rig, clients, 10*time.Second)
	in := func(period uint64) int64 {
		page := awaitLedgerPage(t, b, fmt.Sprintf("?period=%d", period))
		if len(page.Ledger.Periods) == 0 {
			return 0
		}
		return page.Ledger.Periods[0].Total().Count
	}
	page := awaitLedgerPage(t, b, "")
	first := uint64(0)
	for _, q := range page.Ledger.Periods {
		if q.Total().Count > 0 {
			first = q.ID
		}
	}
	must(t, rig.Term(a, nil))
	must(t, rig.Spawn(testContext(t), a, Unchanged))
	waitLedger(t, rig.Running(), 10*time.Second, "the first answer's period has closed",
		func(_ *Member, page *daemon.LedgerPage) error {
			if page.Ledger.OpenPeriod == first {
				return fmt.Errorf("period %d is open", first)
			}
			return nil
		})
	must(t, clients.Send(b, Tenants[0], "zone-lookup", "the-second-try", "the-first-try"))
	waitCommitted(t, rig, clients, 10*time.Second)
	if in(first) != 2 {
		t.Errorf("period %d counts %d answers, and both belong there", first, in(first))
	}
	checkLedgerAnswers(t, rig, clients)
	correct := func(args ...string) string {
		all := append([]string{"ledger", "correct", "--door", a.Admin, "--tenant", Tenants[0], "--class",
			"zone-lookup", "--answer", "passed", "--n", "-1", "--reason", "test"}, args...)
		out, _ := exec.Command(binary, all...).CombinedOutput()
		return string(out)
	}
	for range 2 { // the same id counts once, also where a call is made again as its outcome is not known
		must(t, poll(testContext(t), patience, pollInterval, func() error {
			if out := correct("--id", "x", "--period", fmt.Sprint(first)); !strings.Contains(out, "at ") {
				return fmt.Errorf("a correction: %s", out)
			}
			return nil
		}))
	}
	if in(first) != 1 {
		t.Errorf("corrected by one, period %d counts %d", first, in(first))
	}
	for _, args := range [][]string{{"--id", "y", "--period", "100000"}, {"--period", "1"}} {
		if out := correct(args...); !strings.Contains(out, "not corrected") {
			t.Errorf("%v: %s", args, out)
		}
	}
}

// Bad input: a data folder of another fleet, one that cannot be written, a truncated file. The start says so,
// naming the key, and a batch of an unknown member is refused.
func TestLedgerRefusesForeignDataFolders(t *testing.T) {
	t.Parallel()
	rig := startLedger(t, 3, Options{})
	member := rig.Members[2]
	must(t, rig.Term(member, nil))
	path := filepath.Join(member.Data, "replica.db")
	good, err := os.ReadFile(path)
	must(t, err)
	for what, test := range map[string]struct {
		spoil func()
		says  string
	}{
		"cut off":             {func() { must(t, os.WriteFile(path, good[:len(good)/2], 0o600)) }, "is cut off"},
		"not a file of ours":  {func() { must(t, os.WriteFile(path, []byte("hello"), 0o600)) }, "replica.db"},
		"a folder in its way": {func() { must(t, os.Remove(path)); must(t, os.Mkdir(path, 0o700)) }, "replica.db"},
	} {
		test.spoil()
		err := rig.Spawn(testContext(t), member, Unchanged)
		if err == nil {
			t.Fatalf("%s: it started", what)
		}
		if !strings.Contains(err.Error(), "ledger.data") || !strings.Contains(err.Error(), test.says) {
			t.Errorf("%s: %v", what, err)
		}
		must(t, os.RemoveAll(path))
		must(t, os.WriteFile(path, good, 0o600))
	}
	must(t, rig.Spawn(testContext(t), member, Unchanged))
	waitLedger(t, rig.Members, 10*time.Second, "the good folder is taken again", checkReadable)
}
