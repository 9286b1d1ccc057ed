package directory

import (
	"math/rand/v2"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each field of a record is in the digest: replicas that differ in any are found to differ, and end with the
// same record once they have exchanged it, whichever of them begins.
func TestEachFieldIsInTheDigestAndRepaired(t *testing.T) {
	plain := Record{Kind: KindServer, ID: "a", Sequence: 1, State: Ready, Watcher: "w"}
	fields := reflect.TypeFor[Record]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		if name == "ID" {
			continue // another process
		}
		t.Run(name, func(t *testing.T) {
			changed := plain
			switch field := reflect.ValueOf(&changed).Elem().Field(i); field.Kind() {
			case reflect.String:
				field.SetString(field.String() + "x")
			default:
				field.SetInt(field.Int() + 1)
			}
			one, other := New(), New()
			one.Merge(0, plain)
			other.Merge(0, changed)
			qt.Assert(t, one.Digest(), qt.Not(qt.Equals), other.Digest())
			one.Merge(0, *other.Get("a"))
			other.Merge(0, *one.Get("a"))
			qt.Assert(t, one.Digest(), qt.Equals, other.Digest())
			qt.Assert(t, *one.Get("a"), qt.Equals, *other.Get("a"))
		})
	}
}

// Of the heartbeats of one sequence that several proxies received, acknowledged or not, all replicas end
// with the same, in whichever order they learn of them.
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
