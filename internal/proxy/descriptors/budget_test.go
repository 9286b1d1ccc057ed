package descriptors

import "testing"

func TestBudgetReclaimsIdleConnectionsAtItsLimits(t *testing.T) {
	b := NewBudget(reservedDescriptors+8, 0.6, 0.25)
	acquire := func(side Side, want bool) {
		t.Helper()
		if got := b.Acquire(side); got != want {
			t.Fatalf("Acquire returned %v for side %d; limits are 4 and 8, used by side %v", got, side, b.used)
		}
	}
	for i := range 4 {
		if b.Crowded() != (i > 2) {
			t.Errorf("Crowded returned %v with %d clients and a budget of 8", b.Crowded(), i)
		}
		acquire(Clients, true)
	}
	acquire(Clients, false)
	for range 4 {
		acquire(Servers, true)
	}
	acquire(Servers, false)
	var idle [2]int
	for side := range idle {
		b.SetReclaim(Side(side), func() bool {
			if idle[side] == 0 {
				return false
			}
			idle[side]--
			b.Release(Side(side))
			return true
		})
	}
	idle = [2]int{1, 1}
	acquire(Clients, true) // closes an idle client connection, but no connection to a server
	if idle != [2]int{0, 1} {
		t.Errorf("idle connections left, by side: %v", idle)
	}
	acquire(Servers, true)
	acquire(Servers, false)
	idle[Clients] = 1
	acquire(Servers, true)
	b.Release(Servers)
	acquire(Servers, true)
}

// When the limit is lowered, as during a handover between two processes that share it, idle connections are
// closed, and none is acquired until enough others have ended.
func TestResizeClosesIdleConnections(t *testing.T) {
	b := NewBudget(reservedDescriptors+16, 0.6, 0.25)
	idle := 3
	b.SetReclaim(Servers, func() bool {
		if idle == 0 {
			return false
		}
		idle--
		b.Release(Servers)
		return true
	})
	for range 12 {
		b.Acquire(Servers)
	}
	b.Resize(reservedDescriptors + 8)
	if idle != 0 || b.used[Servers] != 9 || b.Acquire(Servers) || b.Acquire(Clients) {
		t.Errorf("%d idle connections left, used by side %v of 8", idle, b.used)
	}
	b.Resize(reservedDescriptors + 16)
	if !b.Acquire(Servers) || !b.Acquire(Clients) {
		t.Error("nothing is acquired after the limit was raised again")
	}
}
