package directory

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func server(id string, sequence int64, state State) Record {
	return Record{Kind: KindServer, ID: id, Sequence: sequence, State: state, Service: "s",
		Address: "10.0.0.1:80", Zone: "z"}
}

// TestMergePrecedence checks which of two records with the same id wins.
func TestMergePrecedence(t *testing.T) {
	for _, test := range []struct {
		name            string
		known, received Record
		replaced        bool
	}{
		{"a later update wins", server("a", 1, Ready), server("a", 2, Draining), true},
		{"a late update changes nothing", server("a", 2, Draining), server("a", 1, Ready), false},
		{"the same update again changes nothing", server("a", 2, Ready), server("a", 2, Ready), false},
		{"a timeout after an update wins over it", server("a", 2, Ready), server("a", 2, Lost), true},
		{"an update after a timeout revives", server("a", 2, Lost), server("a", 3, Ready), true},
		{"an end wins over a later update", server("a", 9, Ready), server("a", 0, Ended), true},
		{"nothing revives what has ended", server("a", 2, Ended), server("a", 9, Ready), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			d.Merge(0, test.known)
			qt.Assert(t, d.Merge(0, test.received), qt.Equals, test.replaced)
		})
	}
}

// TestReplicasConverge merges the same records in many orders and expects equal digests each time.
func TestReplicasConverge(t *testing.T) {
	var records []Record
	for _, id := range []string{"a", "b", "c", "d"} {
		for sequence := range int64(3) {
			for _, state := range []State{Ready, Draining, Lost} {
				records = append(records, server(id, sequence, state))
			}
		}
	}
	records = append(records, server("d", 1, Ended))
	reference := New()
	for _, r := range records {
		reference.Merge(0, r)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		other := New()
		for _, i := range random.Perm(len(records)) {
			other.Merge(0, records[i])
		}
		qt.Assert(t, other.Digest(), qt.Equals, reference.Digest())
	}
	qt.Assert(t, reference.Servers().Service("s"), qt.HasLen, 0)
}

// TestRepairByRanges brings a replica up to date by merging only the ranges in which the digests differ.
func TestRepairByRanges(t *testing.T) {
	newer, older := New(), New()
	for i := range 200 {
		r := server(string(rune('A'+i)), 1, Ready)
		newer.Merge(0, r)
		older.Merge(0, r)
	}
	newer.Merge(0, server("A", 2, Draining))
	newer.Merge(0, server("B", 1, Ended))
	differing := newer.Digest().Diff(older.Digest())
	qt.Assert(t, len(differing) >= 1 && len(differing) <= 2, qt.IsTrue)
	for _, r := range newer.InRanges(differing) {
		older.Merge(0, *r)
	}
	qt.Assert(t, older.Digest(), qt.Equals, newer.Digest())
	qt.Assert(t, older.Servers().Service("s"), qt.HasLen, 198)
}

// TestSinceReturnsChangesAfterAnOffset reads the changes of a replica from several offsets.
func TestSinceReturnsChangesAfterAnOffset(t *testing.T) {
	d := New()
	d.Merge(0, server("a", 1, Ready))
	offset := d.Offset()
	d.Merge(0, server("b", 1, Ready))
	d.Merge(0, server("a", 2, Draining))
	changes := d.Since(offset)
	qt.Assert(t, changes, qt.HasLen, 2)
	qt.Assert(t, changes[0].ID+changes[1].ID, qt.Equals, "ba")
	qt.Assert(t, d.Since(0), qt.HasLen, 2)
	qt.Assert(t, d.Since(d.Offset()), qt.HasLen, 0)
	qt.Assert(t, d.Servers().Service("s"), qt.HasLen, 1)
}

// TestEndedRecordsExpire checks that ended records are retained for EndedTTL, so that late updates are
// rejected, and are removed afterwards.
func TestEndedRecordsExpire(t *testing.T) {
	d := New()
	d.Merge(0, server("a", 1, Ended))
	d.Expire(EndedTTL)
	qt.Assert(t, d.Get("a"), qt.IsNotNil)
	d.Expire(EndedTTL + time.Second)
	qt.Assert(t, d.Get("a"), qt.IsNil)
}

// TestServersChangingRoleAreNotListed checks that a server is left out of Servers from the moment it is
// ordered to change its role until it has the new role, and that an order that is over has no effect.
func TestServersChangingRoleAreNotListed(t *testing.T) {
	d := New()
	decoding := server("a", 1, Ready)
	decoding.Role = "writing"
	d.Merge(0, decoding)
	order := Record{Kind: KindOrder, ID: OrderID("a"), Sequence: 1, State: Ready, Role: "reading"}
	d.Merge(0, order)
	qt.Assert(t, d.Servers().Service("s"), qt.HasLen, 0)
	qt.Assert(t, d.Orders(), qt.HasLen, 1)
	decoding.Role, decoding.Sequence = "reading", 2
	d.Merge(0, decoding)
	qt.Assert(t, d.Servers().Service("s"), qt.HasLen, 1)
	order.State = Lost
	d.Merge(0, order)
	qt.Assert(t, d.Orders(), qt.HasLen, 0)
	decoding.Role, decoding.Sequence = "writing", 3
	d.Merge(0, decoding)
	qt.Assert(t, d.Servers().Service("s"), qt.HasLen, 1, qt.Commentf("an order that is over has no effect"))
}

// TestExpiredRecordsAreNotMergedBack: replicas expire the same record at slightly different times. The one
// that expired it first must not merge it back from another, unless the process has sent a new update.
func TestExpiredRecordsAreNotMergedBack(t *testing.T) {
	c := qt.New(t)
	early, late := New(), New()
	early.Merge(0, server("a", 1, Lost))
	late.Merge(time.Second, server("a", 1, Lost))
	early.Expire(LostTTL + 500*time.Millisecond)
	c.Assert(early.Get("a"), qt.IsNil)
	c.Assert(early.Merge(LostTTL+600*time.Millisecond, *late.Get("a")), qt.IsFalse)
	late.Expire(LostTTL + 2*time.Second)
	c.Assert(late.Get("a"), qt.IsNil)
	c.Assert(early.Digest(), qt.Equals, late.Digest())
	c.Assert(early.Merge(LostTTL+3*time.Second, server("a", 2, Ready)), qt.IsTrue)
	early.Expire(2 * LostTTL)
	late.Expire(2 * LostTTL)
	c.Assert(late.tombstones, qt.HasLen, 0, qt.Commentf("tombstones expire as well"))
}

// TestWatchedRecordSupersedesUnwatched: if two proxies received the same heartbeat, the record from the one
// that acknowledged it wins.
func TestWatchedRecordSupersedesUnwatched(t *testing.T) {
	c := qt.New(t)
	unwatched, watched := server("a", 1, Ready), server("a", 1, Ready)
	unwatched.Watcher, watched.Watcher = "", "proxy"
	d := New()
	c.Assert(d.Merge(0, unwatched), qt.IsTrue)
	c.Assert(d.Merge(0, watched), qt.IsTrue)
	c.Assert(d.Merge(0, unwatched), qt.IsFalse)
	c.Assert(d.Get("a").Watcher, qt.Equals, "proxy")
}
