package sockets

import "testing"

func TestBudget(t *testing.T) {
	b := NewBudget(reserve + 8)
	for i := range 6 { // a quarter is kept from clients
		if !b.Client() {
			t.Fatalf("client %d turned away", i)
		}
	}
	if b.Client() || !b.Outward() || !b.Outward() || b.Outward() {
		t.Fatal("the limits are not 6 and 8")
	}
	idle := 1
	b.OnShort(func() bool {
		if idle == 0 {
			return false
		}
		idle--
		b.Give()
		return true
	})
	if !b.Outward() || idle != 0 {
		t.Error("an idle connection was not closed for one that is needed")
	}
	if b.Outward() {
		t.Error("more places than there are")
	}
	b.Give()
	if !b.Outward() {
		t.Error("a place given back is lost")
	}
}
