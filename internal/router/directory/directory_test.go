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

// TestMergePrecedence lists which of two records of one incarnation stays.
func TestMergePrecedence(t *testing.T) {
	for _, test := range []struct {
		name         string
		known, heard Record
		replaced     bool
	}{
		{"a later call wins", server("a", 1, Ready), server("a", 2, Draining), true},
		{"a late call changes nothing", server("a", 2, Draining), server("a", 1, Ready), false},
		{"the same call again changes nothing", server("a", 2, Ready), server("a", 2, Ready), false},
		{"silence after a call wins over it", server("a", 2, Ready), server("a", 2, Lost), true},
		{"a call after the silence revives", server("a", 2, Lost), server("a", 3, Ready), true},
		{"an end wins over a later call", server("a", 9, Ready), server("a", 0, Ended), true},
		{"nothing revives what has ended", server("a", 2, Ended), server("a", 9, Ready), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New()
			d.Merge(0, test.known)
			qt.Assert(t, d.Merge(0, test.heard), qt.Equals, test.replaced)
		})
	}
}

// TestCopiesConverge merges the same records in many orders: all copies hold the same and know it.
func TestCopiesConverge(t *testing.T) {
	var records []Record
	for _, id := range []string{"a", "b", "c", "d"} {
		for sequence := range int64(3) {
			for _, state := range []State{Ready, Draining, Lost} {
				records = append(records, server(id, sequence, state))
			}
		}
	}
	records = append(records, server("d", 1, Ended))
	first := New()
	for _, r := range records {
		first.Merge(0, r)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		other := New()
		for _, i := range random.Perm(len(records)) {
			other.Merge(0, records[i])
		}
		qt.Assert(t, other.Digest(), qt.Equals, first.Digest())
	}
	qt.Assert(t, first.Servers().Service("s"), qt.HasLen, 0)
}

// TestRepairByRanges brings a copy up to date from the ranges in which digests differ alone.
func TestRepairByRanges(t *testing.T) {
	newer, older := New(), New()
	for i := range 200 {
		r := server(string(rune('A'+i)), 1, Ready)
		newer.Merge(0, r)
		older.Merge(0, r)
	}
	newer.Merge(0, server("A", 2, Draining))
	newer.Merge(0, server("B", 1, Ended))
	differing := newer.Digest().Differing(older.Digest())
	qt.Assert(t, len(differing) >= 1 && len(differing) <= 2, qt.IsTrue)
	for _, r := range newer.InRanges(differing) {
		older.Merge(0, *r)
	}
	qt.Assert(t, older.Digest(), qt.Equals, newer.Digest())
	qt.Assert(t, older.Servers().Service("s"), qt.HasLen, 198)
}

// TestFeedFromAPlace follows a copy from several places on.
func TestFeedFromAPlace(t *testing.T) {
	d := New()
	d.Merge(0, server("a", 1, Ready))
	place := d.Number()
	d.Merge(0, server("b", 1, Ready))
	d.Merge(0, server("a", 2, Draining))
	changes := d.Since(place)
	qt.Assert(t, changes, qt.HasLen, 2)
	qt.Assert(t, changes[0].ID+changes[1].ID, qt.Equals, "ba")
	qt.Assert(t, d.Since(0), qt.HasLen, 2)
	qt.Assert(t, d.Since(d.Number()), qt.HasLen, 0)
	qt.Assert(t, d.Servers().Service("s"), qt.HasLen, 1)
}

// TestEndedAreForgotten keeps ended records long enough for late news and not for ever.
func TestEndedAreForgotten(t *testing.T) {
	d := New()
	d.Merge(0, server("a", 1, Ended))
	d.Expire(EndedLife)
	qt.Assert(t, d.Get("a"), qt.IsNotNil)
	d.Expire(EndedLife + time.Second)
	qt.Assert(t, d.Get("a"), qt.IsNil)
}

// TestServersUnderOrdersGetNothingNew leaves a server out from the order on until it has the stage.
func TestServersUnderOrdersGetNothingNew(t *testing.T) {
	d := New()
	writer := server("a", 1, Ready)
	writer.Stage = "writing"
	d.Merge(0, writer)
	order := Record{Kind: KindOrder, ID: OrderID("a"), Sequence: 1, State: Ready, Stage: "reading"}
	d.Merge(0, order)
	qt.Assert(t, d.Servers().Service("s"), qt.HasLen, 0)
	qt.Assert(t, d.Orders(), qt.HasLen, 1)
	writer.Stage, writer.Sequence = "reading", 2
	d.Merge(0, writer)
	qt.Assert(t, d.Servers().Service("s"), qt.HasLen, 1)
	order.State = Lost
	d.Merge(0, order)
	qt.Assert(t, d.Orders(), qt.HasLen, 0)
	writer.Stage, writer.Sequence = "writing", 3
	d.Merge(0, writer)
	qt.Assert(t, d.Servers().Service("s"), qt.HasLen, 1, qt.Commentf("an order that is over binds nobody"))
}

// TestLostAreForgottenByAllCopies: a copy that forgets a record a little earlier than another one does not
// take it back, unless the process is heard of again.
func TestLostAreForgottenByAllCopies(t *testing.T) {
	c := qt.New(t)
	early, late := New(), New()
	early.Merge(0, server("a", 1, Lost))
	late.Merge(time.Second, server("a", 1, Lost))
	early.Expire(LostLife + 500*time.Millisecond)
	c.Assert(early.Get("a"), qt.IsNil)
	c.Assert(early.Merge(LostLife+600*time.Millisecond, *late.Get("a")), qt.IsFalse)
	late.Expire(LostLife + 2*time.Second)
	c.Assert(late.Get("a"), qt.IsNil)
	c.Assert(early.Digest(), qt.Equals, late.Digest())
	c.Assert(early.Merge(LostLife+3*time.Second, server("a", 2, Ready)), qt.IsTrue)
	early.Expire(2 * LostLife)
	late.Expire(2 * LostLife)
	c.Assert(late.forgotten, qt.HasLen, 0, qt.Commentf("what was forgotten is forgotten, too"))
}

// TestAWatchedServerSupersedesTheSameUnwatched: of two proxies that heard the same heartbeat, the one that
// acknowledged it counts.
func TestAWatchedServerSupersedesTheSameUnwatched(t *testing.T) {
	c := qt.New(t)
	unwatched, watched := server("a", 1, Ready), server("a", 1, Ready)
	unwatched.Watcher, watched.Watcher = "", "proxy"
	d := New()
	c.Assert(d.Merge(0, unwatched), qt.IsTrue)
	c.Assert(d.Merge(0, watched), qt.IsTrue)
	c.Assert(d.Merge(0, unwatched), qt.IsFalse)
	c.Assert(d.Get("a").Watcher, qt.Equals, "proxy")
}
