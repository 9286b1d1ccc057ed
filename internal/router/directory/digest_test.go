package directory

import (
	"math/rand/v2"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDigestCoversEachFieldAndRepairConverges checks that the digests of two replicas differ if their records
// differ in any single field, and that both have the same record once they have exchanged it. A field missing
// from the hash or from the comparison would leave replicas different for good.
func TestDigestCoversEachFieldAndRepairConverges(t *testing.T) {
	original := Record{Kind: KindServer, ID: "a", Sequence: 1, State: Ready, Watcher: "w"}
	fields := reflect.TypeFor[Record]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		if name == "ID" {
			continue // a different id is the record of another process
		}
		t.Run(name, func(t *testing.T) {
			changed := original
			switch field := reflect.ValueOf(&changed).Elem().Field(i); field.Kind() {
			case reflect.String:
				field.SetString(field.String() + "x")
			default:
				field.SetInt(field.Int() + 1)
			}
			one, other := New(), New()
			one.Merge(0, original)
			other.Merge(0, changed)
			qt.Assert(t, one.Digest(), qt.Not(qt.Equals), other.Digest())
			one.Merge(0, *other.Get("a"))
			other.Merge(0, *one.Get("a"))
			qt.Assert(t, one.Digest(), qt.Equals, other.Digest())
			qt.Assert(t, *one.Get("a"), qt.Equals, *other.Get("a"))
		})
	}
}

// TestReplicasAgreeOnTheWatcher merges, in many orders, the records that several proxies made of the same
// heartbeat, one of them unacknowledged: every replica ends with the same watcher.
func TestReplicasAgreeOnTheWatcher(t *testing.T) {
	var received []Record
	for _, watcher := range []string{"", "p1", "p2", "p3"} {
		record := server("a", 3, Ready)
		record.Watcher = watcher
		received = append(received, record)
	}
	random := rand.New(rand.NewPCG(2, 2))
	for range 30 {
		d := New()
		for _, i := range random.Perm(len(received)) {
			d.Merge(0, received[i])
		}
		qt.Assert(t, d.Get("a").Watcher, qt.Equals, "p3")
	}
}

func TestModifiedAtOfAnUnknownRecord(t *testing.T) {
	c := qt.New(t)
	d := New()
	_, ok := d.ModifiedAt("a")
	c.Check(ok, qt.IsFalse)
	d.Merge(7, server("a", 1, Ready))
	at, ok := d.ModifiedAt("a")
	c.Check(ok, qt.IsTrue)
	c.Check(at.Nanoseconds(), qt.Equals, int64(7))
}
