package groupstate

import (
	"testing"
	"time"
)

func TestFollowerUsesListUntilMaxAge(t *testing.T) {
	f := NewFollower(0, 4*time.Second, time.Second)
	if !f.Fresh(5*time.Second) || f.Fresh(5*time.Second+1) {
		t.Error("the first list is not waited for as the next would be")
	}
	if !f.Observe(6*time.Second, EndpointView{Version: 5, DiscoveryIndex: 7}, 7) || !f.Fresh(10*time.Second) {
		t.Error("a new list is not taken")
	}
	if f.Observe(9*time.Second, EndpointView{Version: 5, DiscoveryIndex: 7}, 7) || f.Fresh(12*time.Second) {
		t.Error("the same list counts as new")
	}
	if f.Observe(12*time.Second, EndpointView{Version: 6, DiscoveryIndex: 7}, 8) {
		t.Error("a list behind this member's own was taken")
	}
	if f.Version() != 5 || f.Age(8*time.Second) != 2*time.Second {
		t.Errorf("version %d, age %v", f.Version(), f.Age(8*time.Second))
	}
}
