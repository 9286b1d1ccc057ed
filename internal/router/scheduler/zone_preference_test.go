package scheduler

import (
	"testing"
	"time"

	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

func TestWritersNearTheReader(t *testing.T) {
	tests := []struct {
		name    string
		reader  string // its zone
		writers int
		near    int // calls at each writer of the reader's zone
		far     int // calls at each other one
		only    bool
	}{
		{"idle", "z1", 11, 0, 0, true},
		{"near ones a little busier", "z1", 11, 4, 0, true},
		{"near ones much busier", "z1", 11, 50, 0, false},
		{"all busy", "z1", 11, 50, 50, true},
		{"one near writer", "z1", 3, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			zones := map[string]int{}
			for seed := range uint64(100) {
				c := warmScheduler(seed, 7, test.writers)
				for id, s := range c.servers {
					if s.Role == catalog.Decode && s.Zone == test.reader {
						c.ObserveLoad(10*second, id, Load{Running: test.near, Slots: 64})
					} else if s.Role == catalog.Decode {
						c.ObserveLoad(10*second, id, Load{Running: test.far, Slots: 64})
					}
				}
				reader := &catalog.Server{ID: "r1", Zone: test.reader}
				call := c.Choose(10*second+100*time.Millisecond, prompted("a", 1), Decode, reader)
				zones[call.Server.Zone]++
			}
			only := len(zones) == 1 && zones[test.reader] > 0
			qt.Check(t, only, qt.Equals, test.only, qt.Commentf("%v", zones))
		})
	}
}

func TestMoveWeighsOnFarWriters(t *testing.T) {
	c := warmScheduler(1, 1, 2)
	p, chain := c.pool(10*second, modelService()), newPrefixChain(prompted("a", 1))
	eligible := c.eligible(10*second, p, prompted("a", 1), Decode, &chain)
	all := c.preferZone(p, eligible, &chain, &catalog.Server{Zone: "z1"})
	for i := range all {
		want := p.transferTime(14000, all[i].Zone != "z1")
		qt.Check(t, all[i].costMs, isNear, want, 1e-9)
	}
}
