package groupstate

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"cresshub/internal/cluster/lease"
	"cresshub/internal/cluster/ledger"
)

var testSettings = ledger.Settings{MaxPeriods: 3, DedupPeriods: 1, MaxIDs: 100, MaxTenants: 10,
	MaxMembers: 10}

// testLog applies commands to a machine, each at the next log index.
type testLog struct {
	tb      testing.TB
	machine *Machine
	index   uint64
}

func newTestLog(tb testing.TB) *testLog {
	tb.Helper()
	m, err := New(testSettings)
	if err != nil {
		tb.Fatal(err)
	}
	return &testLog{tb: tb, machine: m}
}

func (l *testLog) apply(b []byte) any { l.index++; return l.machine.Apply(l.index, b) }

// acquire makes a member the owner and returns its token.
func (l *testLog) acquire(member string) uint64 {
	l.tb.Helper()
	r := l.apply(EncodeLease(lease.Command{Op: lease.Acquire, Role: FleetRole, Member: member,
		Expected: l.machine.leases.Get(FleetRole)})).(lease.Result)
	if !r.Applied {
		l.tb.Fatalf("the acquisition by %s was rejected: %+v", member, r)
	}
	return r.Grant.Token
}

// applyStatus applies a command of a role and returns its applyStatus.
func (l *testLog) applyStatus(b []byte) string { return l.apply(b).(Result).Status }

// addPeriod counts n answers of a tenant and closes the period.
func (l *testLog) addPeriod(n int64) {
	p := l.machine.Ledger.OpenPeriod()
	b := &ledger.Batch{Member: "x", Incarnation: 1, Seq: p, Usage: []ledger.KeyUsage{{
		Key:   ledger.Key{Tenant: "ramen-kita", Class: "zone-lookup", Answer: "passed"},
		Usage: ledger.Usage{Count: n}}}}
	l.apply(b.Encode())
	l.apply((&ledger.ClosePeriod{Period: p, AtMS: 1}).Encode())
}

// pendingExport reads what the owner has to export next.
func (l *testLog) pendingExport() PendingExport {
	l.tb.Helper()
	v, err := l.machine.Read(Query{Kind: QueryPendingExport}.Encode())
	if err != nil {
		l.tb.Fatal(err)
	}
	return v.(PendingExport)
}

// The same log gives the same state on a replica that is restored from snapshots at random positions of the
// log. For random commands in random order, the last exported period never falls and only rises while a
// member holds the lease.
func TestSameLogGivesSameStateAcrossSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uninterrupted, _ := New(testSettings)
		restored, _ := New(testSettings)
		exported := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			member := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "member")
			token := uninterrupted.leases.Get(FleetRole).Token
			if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
				token = rapid.Uint64Range(0, 60).Draw(t, "token")
			}
			period := rapid.Uint64Range(0, 6).Draw(t, "period")
			var data []byte
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0, 1:
				data = (&ledger.ClosePeriod{Period: uninterrupted.Ledger.OpenPeriod(), AtMS: 1}).Encode()
			case 2:
				data = EncodeLease(lease.Command{Op: lease.Op(rapid.IntRange(1, 3).Draw(t, "op")), Role: FleetRole,
					Member: member, Expected: uninterrupted.leases.Get(FleetRole)})
			case 3, 4:
				data = (&ExportIntent{member, token, max(period, uninterrupted.nextDuePeriod())}).Encode()
			case 5:
				data = (&ExportDone{member, token, max(period, uninterrupted.lastFrozenPeriod())}).Encode()
			case 6:
				data = (&PublishEndpointList{member, token, int64(period), []byte("{}")}).Encode()
			case 7:
				data = (&ledger.Correction{ID: string(rune('a' + period)), Period: period, Key: ledger.Key{Tenant: "t"},
					Usage: ledger.Usage{Count: 1}}).Encode()
			default:
				data = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage")
			}
			grant := uninterrupted.leases.Get(FleetRole)
			uninterrupted.Apply(uint64(i+1), data)
			restored.Apply(uint64(i+1), data)
			if now := uninterrupted.state.LastExported; now != exported {
				if now < exported || grant.Holder == "" {
					t.Fatalf("last exported period went from %d to %d under the grant %+v", exported, now, grant)
				}
				exported = now
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				next, _ := New(testSettings)
				if err := next.Restore(restored.Snapshot()); err != nil {
					t.Fatal(err)
				}
				restored = next
			}
		}
		if !bytes.Equal(uninterrupted.Snapshot(), restored.Snapshot()) {
			t.Fatal("the state restored from snapshots differs")
		}
	})
}
