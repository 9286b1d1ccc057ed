package clusterrig

import (
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
func startLedger(t *testing.T, members int, o Options) *Rig {
	t.Helper()
	o.Members, o.Zones = members, 3
	o.ExtraTOML += ledgerKeys + fmt.Sprintf("expect = %d\n", max(3, members/2+1))
	r := start(t, o)
	waitGroupFormed(t, r)
	return r
}

func ledgerPage(m *Member, query string) (daemon.LedgerPage, error) {
	var p daemon.LedgerPage
	err := m.GetJSON("/_ledger"+query, &p)
	if err == nil && p.Problem != "" {
		err = fmt.Errorf("%s", p.Problem)
	}
	return p, err
}

// waitLedger waits until holds accepts the page of every member.
func waitLedger(t *testing.T, ms []*Member, limit time.Duration, what string,
	holds func(*Member, *daemon.LedgerPage) error) time.Duration {
	t.Helper()
	started := time.Now()
	for {
		var last error
		for _, m := range ms {
			p, err := ledgerPage(m, "")
			if err == nil {
				err = holds(m, &p)
			}
			if err != nil {
				last = fmt.Errorf("%s: %w", m.Name, err)
				break
			}
		}
		took := time.Since(started)
		if last == nil {
			t.Logf("%s after %v", what, took)
			return took
		}
		if took > limit {
			for _, m := range ms {
				p, err := ledgerPage(m, "")
				t.Logf("%s: %+v here %+v (%v)", m.Name, p.Group, p.Here, err)
			}
			t.Fatalf("%s: not within %v: %v", what, limit, last)
		}
		time.Sleep(50 * time.Millisecond) // a read goes through the group
	}
}

// waitGroupFormed waits until every running member reads the ledger of a group with three voters.
func waitGroupFormed(t *testing.T, r *Rig) {
	t.Helper()
	has := func(_ *Member, p *daemon.LedgerPage) error {
		if p.Group.Role != "none" && len(p.Group.Voters) < 3 {
			return fmt.Errorf("voters %v", p.Group.Voters)
		}
		if p.Ledger == nil || p.Group.Leader == "" && p.Group.Role != "none" {
			return fmt.Errorf("not read")
		}
		return nil
	}
	waitLedger(t, r.Running(), 30*time.Second, "the group has formed", has)
}

// waitCommitted waits until nothing that the running members counted is uncommitted and the ledger has no
// fewer answers than clients got. The first doesn't imply the second: a client may have its answer just
// before the member counts it.
func waitCommitted(t *testing.T, r *Rig, l *Clients, limit time.Duration) {
	t.Helper()
	sum := l.TotalAnswers()
	waitLedger(t, r.Running(), limit, "all is committed", func(_ *Member, p *daemon.LedgerPage) error {
		if p.Here.Queued+p.Here.InMemory > 0 {
			return fmt.Errorf("%d wait, %d in memory", p.Here.Queued, p.Here.InMemory)
		}
		if p.Here.Lost > 0 {
			return fmt.Errorf("%d lost", p.Here.Lost)
		}
		var n int64
		for _, period := range p.Ledger.Periods {
			n += period.Total().Count
		}
		if n < sum {
			return fmt.Errorf("the ledger counts %d answers, clients got %d", n, sum)
		}
		return nil
	})
}

// ledgerTotals returns the ledger's answers by key, over all periods and corrections, read at one member.
func ledgerTotals(t *testing.T, m *Member) map[ledger.Key]int64 {
	t.Helper()
	var p daemon.LedgerPage
	var err error
	for range 100 {
		if p, err = ledgerPage(m, ""); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	out := map[ledger.Key]int64{}
	for _, period := range p.Ledger.Periods {
		for _, r := range period.Rows {
			out[r.Key] += r.Count + r.Corrections.Count
		}
	}
	return out
}

// checkLedgerAnswers checks that the ledger, read at every running member, counts the answers that clients
// got.
func checkLedgerAnswers(t *testing.T, r *Rig, l *Clients) {
	t.Helper()
	want, sum := l.Answers(), l.TotalAnswers()
	for _, m := range r.Running() {
		got := ledgerTotals(t, m)
		for k, n := range want {
			if got[k] != n {
				t.Errorf("%s: %v counts %d, clients got %d", m.Name, k, got[k], n)
			}
		}
		for k, n := range got {
			if want[k] == 0 {
				t.Errorf("%s: %v counts %d, clients got none", m.Name, k, n)
			}
		}
	}
	t.Logf("%d answers, %d requests without one; the ledger counts each once", sum, l.Lost())
}

// leader waits for the leader of the ledger's group.
func leader(t *testing.T, r *Rig) *Member {
	t.Helper()
	for range 400 {
		for _, m := range r.Running() {
			var p daemon.LedgerPage
			if m.GetJSON("/_ledger?period=1&tenant=-", &p) == nil && p.Group.Role == "leader" {
				return m
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatal("the group has no leader")
	return nil
}

// replicas returns the members with a replica, the leader first.
func replicas(t *testing.T, r *Rig) []*Member {
	t.Helper()
	lead := leader(t, r)
	p, err := ledgerPage(lead, "?period=1&tenant=-")
	must(t, err)
	out := []*Member{lead}
	for _, name := range p.Group.Voters {
		if name != lead.Name {
			out = append(out, r.Member(name))
		}
	}
	return out
}

// withClients runs clients against members during act, and returns them once they have stopped.
func withClients(t *testing.T, ms []*Member, clients int, act func()) *Clients {
	t.Helper()
	l := NewClients()
	defer l.Start(testContext(t), ms, clients)()
	act()
	return l
}

// nonReplicas returns the members without a replica.
func nonReplicas(r *Rig, replicated []*Member) []*Member { return without(r.Members, replicated...) }

func TestLedgerCountsWhatClientsGot(t *testing.T) {
	t.Parallel()
	r := startLedger(t, 5, Options{})
	l := withClients(t, r.Members, 8, func() { time.Sleep(3 * time.Second) })
	waitCommitted(t, r, l, 10*time.Second)
	checkLedgerAnswers(t, r, l)
}
