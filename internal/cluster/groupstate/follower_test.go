package groupstate

import (
	"testing"
	"time"
)

func TestFollowerUsesListUntilMaxAge(t *testing.T) {
	f := NewFollower(0, 4*time.Second, time.Second)
	if !f.Fresh(5*time.Second) || f.Fresh(5*time.Second+1) {
		t.Error("the first publication is not awaited for maxAge and jitter")
	}
	if !f.Observe(6*time.Second, EndpointView{Version: 5, DiscoveryIndex: 7}, 7) || !f.Fresh(10*time.Second) {
		t.Error("a new list was not accepted")
	}
	if f.Observe(9*time.Second, EndpointView{Version: 5, DiscoveryIndex: 7}, 7) || f.Fresh(12*time.Second) {
		t.Error("a list of the same version was accepted as new")
	}
	if f.Observe(12*time.Second, EndpointView{Version: 6, DiscoveryIndex: 7}, 8) {
		t.Error("a list older than this member's own was accepted")
	}
	if f.Version() != 5 || f.Age(8*time.Second) != 2*time.Second {
		t.Errorf("version %d, age %v", f.Version(), f.Age(8*time.Second))
	}
}
