package clusterrig

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"cresshub/internal/cluster/ledger"
	"cresshub/internal/proxy/daemon"
)

// ledgerKeys are the keys of the members' ledger in these tests.
const ledgerKeys = `[ledger]
bind = "127.0.0.1:0"
data = "{data}"
period = "1s"
heartbeat = "50ms"
election = "500ms"
snapshot_entries = 200
keep = 10000
remember = 100
faults = "{data}.faults"
`

// startLedger starts members with a ledger and waits until its group has formed.
func startLedger(t *testing.T, members int, options Options) *Rig {
	t.Helper()
	options.Members, options.Zones = members, 3
	options.ExtraTOML += ledgerKeys + fmt.Sprintf("expect = %d\n", max(3, members/2+1))
	rig := start(t, options)
	waitGroupFormed(t, rig)
	return rig
}

// ledgerPage reads a member's page of the ledger; a problem that the page tells is an error.
func ledgerPage(member *Member, query string) (daemon.LedgerPage, error) {
	var page daemon.LedgerPage
	err := member.GetJSON("/_ledger"+query, &page)
	if err == nil && page.Problem != "" {
		err = fmt.Errorf("%s", page.Problem)
	}
	return page, err
}

// patience bounds the waits by which nothing is judged; no verdict depends on how much of it is used.
const patience = 30 * time.Second

// awaitLedgerPage reads a member's page of the ledger once it can be read: not while the group changes its
// leader, nor within the second that a busy machine may take.
func awaitLedgerPage(t *testing.T, member *Member, query string) (page daemon.LedgerPage) {
	t.Helper()
	must(t, poll(testContext(t), patience, pollInterval, func() (err error) {
		page, err = ledgerPage(member, query)
		return err
	}))
	return page
}

// awaitPage reads a member's page of the ledger once it answers, whether or not the ledger can be read.
func awaitPage(t *testing.T, member *Member, query string) (page daemon.LedgerPage) {
	t.Helper()
	must(t, poll(testContext(t), patience, pollInterval, func() error {
		page = daemon.LedgerPage{}
		return member.GetJSON("/_ledger"+query, &page)
	}))
	return page
}

// waitLedger waits until holds accepts the page of every member.
func waitLedger(t *testing.T, members []*Member, limit time.Duration, what string,
	holds func(*Member, *daemon.LedgerPage) error) time.Duration {
	t.Helper()
	watch := startStopwatch()
	for {
		var last error
		for _, member := range members {
			page, err := ledgerPage(member, "")
			if err == nil {
				err = holds(member, &page)
			}
			if err != nil {
				last = fmt.Errorf("%s: %w", member.Name, err)
				break
			}
		}
		if last == nil {
			t.Logf("%s after %v", what, watch.elapsed())
			return watch.elapsed()
		}
		if watch.exceeds(limit) {
			for _, member := range members {
				page, err := ledgerPage(member, "")
				t.Logf("%s: %+v here %+v (%v)", member.Name, page.Group, page.Here, err)
			}
			t.Fatalf("%s: %v", what, watch.errorAfter(limit, last))
		}
		watch.sleep(testContext(t), 50*time.Millisecond) // a read goes through the group
	}
}

// waitGroupFormed waits until every running member reads the ledger of a group with three voters.
func waitGroupFormed(t *testing.T, rig *Rig) {
	t.Helper()
	has := func(_ *Member, page *daemon.LedgerPage) error {
		if page.Group.Role != "none" && len(page.Group.Voters) < 3 {
			return fmt.Errorf("voters %v", page.Group.Voters)
		}
		if page.Ledger == nil || page.Group.Leader == "" && page.Group.Role != "none" {
			return fmt.Errorf("not read")
		}
		return nil
	}
	waitLedger(t, rig.Running(), 30*time.Second, "the group has formed", has)
}

// waitCommitted waits until nothing that the running members counted is uncommitted and the ledger has no
// fewer answers than clients got. The first doesn't imply the second: a client may have its answer just
// before the member counts it.
func waitCommitted(t *testing.T, rig *Rig, clients *Clients, limit time.Duration) {
	t.Helper()
	sum := clients.TotalAnswers()
	waitLedger(t, rig.Running(), limit, "all is committed", func(_ *Member, page *daemon.LedgerPage) error {
		if page.Here.Queued+page.Here.InMemory > 0 {
			return fmt.Errorf("%d wait, %d in memory", page.Here.Queued, page.Here.InMemory)
		}
		if page.Here.Lost > 0 {
			return fmt.Errorf("%d lost", page.Here.Lost)
		}
		var n int64
		for _, period := range page.Ledger.Periods {
			n += period.Total().Count
		}
		if n < sum {
			return fmt.Errorf("the ledger counts %d answers, clients got %d", n, sum)
		}
		return nil
	})
}

// ledgerTotals returns the ledger's answers by key, over all periods and corrections, read at one member.
func ledgerTotals(t *testing.T, member *Member) map[ledger.Key]int64 {
	t.Helper()
	page := awaitLedgerPage(t, member, "")
	out := map[ledger.Key]int64{}
	for _, period := range page.Ledger.Periods {
		for _, r := range period.Rows {
			out[r.Key] += r.Count + r.Corrections.Count
		}
	}
	return out
}

// checkLedgerAnswers checks that the ledger, read at every running member, counts the answers that clients
// got.
func checkLedgerAnswers(t *testing.T, rig *Rig, clients *Clients) {
	t.Helper()
	for _, member := range rig.Running() {
		if err := clients.Check(ledgerTotals(t, member)); err != nil {
			t.Errorf("the ledger at %s: %v", member.Name, err)
		}
	}
	t.Logf("%d answers, %d requests without one, unknown %v; the ledger counts each once",
		clients.TotalAnswers(), clients.Lost(), clients.Unknown())
}

// leader waits for the leader of the ledger's group.
func leader(t *testing.T, rig *Rig) *Member {
	t.Helper()
	var found *Member
	must(t, poll(testContext(t), patience, 25*time.Millisecond, func() error {
		if found = findLeader(rig); found == nil {
			return errors.New("the group has no leader")
		}
		return nil
	}))
	return found
}

// findLeader returns the member that says that it leads the group, nil if there is none.
func findLeader(rig *Rig) *Member {
	for _, member := range rig.Running() {
		var page daemon.LedgerPage
		if member.GetJSON("/_ledger?period=1&tenant=-", &page) == nil && page.Group.Role == "leader" {
			return member
		}
	}
	return nil
}

// replicas returns the members with a replica, the leader first.
func replicas(t *testing.T, rig *Rig) []*Member {
	t.Helper()
	leading := leader(t, rig)
	page := awaitLedgerPage(t, leading, "?period=1&tenant=-")
	out := []*Member{leading}
	for _, name := range page.Group.Voters {
		if name != leading.Name {
			out = append(out, rig.Member(name))
		}
	}
	return out
}

// withClients runs clients against members during act, and returns them once they have stopped.
func withClients(t *testing.T, members []*Member, clients int, act func()) *Clients {
	t.Helper()
	running := NewClients()
	defer running.Start(testContext(t), members, clients)()
	act()
	return running
}

// nonReplicas returns the members without a replica.
func nonReplicas(rig *Rig, replicated []*Member) []*Member {
	return without(rig.Members, replicated...)
}

func TestLedgerCountsWhatClientsGot(t *testing.T) {
	t.Parallel()
	rig := startLedger(t, 5, Options{})
	clients := withClients(t, rig.Members, 8, func() { time.Sleep(3 * time.Second) })
	waitCommitted(t, rig, clients, 10*time.Second)
	checkLedgerAnswers(t, rig, clients)
}
