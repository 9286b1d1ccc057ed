package sockets

import "testing"

func TestBudget(t *testing.T) {
	b := NewBudget(reserve+8, 0.6, 0.25)
	take := func(side Side, want bool) {
		t.Helper()
		if got := b.Take(side); got != want {
			t.Fatalf("%v of side %d, limits are 4 and 8; used %v", got, side, b.used)
		}
	}
	for i := range 4 {
		if b.Crowded() != (i > 2) {
			t.Errorf("crowded %v with %d clients of 8 places", b.Crowded(), i)
		}
		take(Clients, true)
	}
	take(Clients, false)
	for range 4 {
		take(Servers, true)
	}
	take(Servers, false)
	var idle [2]int
	for side := range idle {
		b.OnShort(Side(side), func() bool {
			if idle[side] == 0 {
				return false
			}
			idle[side]--
			b.Give(Side(side))
			return true
		})
	}
	idle = [2]int{1, 1}
	take(Clients, true) // a flood of clients costs no connection to a server
	if idle != [2]int{0, 1} {
		t.Errorf("idle left: %v", idle)
	}
	take(Servers, true)
	take(Servers, false)
	idle[Clients] = 1
	take(Servers, true)
	b.Give(Servers)
	take(Servers, true)
}
