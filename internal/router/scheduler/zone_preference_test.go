package scheduler

import (
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestDecodeServersInTheZoneArePreferred(t *testing.T) {
	tests := []struct {
		name     string
		zone     string // of the prefill server
		servers  int
		inside   int // calls at each decode server in the zone
		outside  int // calls at each decode server outside the zone
		onlyZone bool
	}{
		{"idle", "z1", 11, 0, 0, true},
		{"zone a little busier", "z1", 11, 4, 0, true},
		{"zone much busier", "z1", 11, 50, 0, false},
		{"all busy", "z1", 11, 50, 50, true},
		{"one server in the zone", "z1", 3, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			zones := map[string]int{}
			for seed := range uint64(100) {
				scheduler := warmScheduler(seed, 7, test.servers)
				for id, s := range scheduler.servers {
					if s.Role == catalog.Decode && s.Zone == test.zone {
						scheduler.ObserveLoad(10*second, id, Load{Running: test.inside, Slots: 64})
					} else if s.Role == catalog.Decode {
						scheduler.ObserveLoad(10*second, id, Load{Running: test.outside, Slots: 64})
					}
				}
				prefillServer := &catalog.Server{ID: "r1", Zone: test.zone}
				call := scheduler.Choose(10*second+100*time.Millisecond, promptRequest("a", 1), Decode, prefillServer)
				zones[call.Server.Zone]++
			}
			onlyZone := len(zones) == 1 && zones[test.zone] > 0
			qt.Check(t, onlyZone, qt.Equals, test.onlyZone, qt.Commentf("%v", zones))
		})
	}
}

func TestTransferCostsMoreAcrossZones(t *testing.T) {
	scheduler := warmScheduler(1, 1, 2)
	p, chain := scheduler.pool(10*second, modelService()), newPrefixChain(promptRequest("a", 1))
	candidates := scheduler.eligible(10*second, p, promptRequest("a", 1), Decode, &chain)
	all := scheduler.preferZone(p, candidates, &chain, &catalog.Server{Zone: "z1"})
	for i := range all {
		want := p.transferTime(14000, all[i].Zone != "z1")
		qt.Check(t, all[i].costMs, isNear, want, 1e-9)
	}
}
