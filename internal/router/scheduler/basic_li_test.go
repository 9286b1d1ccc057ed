package scheduler

import (
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

// drawCounts returns how often each candidate is drawn in n draws.
func drawCounts(levelsMs []float64, arrivalsMs float64, n int) []float64 {
	scheduler := New("z0", 7)
	var all []candidate
	for _, levelMs := range levelsMs {
		all = append(all, candidate{serverState: &serverState{speed: 1, listedAt: -time.Hour}, queueMs: levelMs})
	}
	counts := make([]float64, len(levelsMs))
	for range n {
		drawn := scheduler.draw(0, all, arrivalsMs)
		for i := range all {
			if &all[i] == drawn {
				counts[i]++
			}
		}
	}
	return counts
}

func TestDrawsFollowTheProbabilitiesOfBasicLI(t *testing.T) {
	const n = 20000
	tests := []struct {
		name       string
		levelsMs   []float64
		arrivalsMs float64
	}{
		{"equal", []float64{10, 10, 10}, 30},
		{"nothing arrives", []float64{10, 5, 20}, 0},
		{"a little", []float64{10, 5, 20}, 8},
		{"much", []float64{10, 5, 20}, 300},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			weights := []float64{1, 1, 1}
			counts := drawCounts(test.levelsMs, test.arrivalsMs, n)
			for i, probability := range balance.WaterFill(test.levelsMs, weights, test.arrivalsMs) {
				qt.Check(t, counts[i]/n, isNear, probability, 0.015)
			}
		})
	}
}

// TestStaleReportsAreDrawnEvenly: reports that are 5 s old have lost their weight, so that servers get
// requests evenly although the reported loads differ widely.
func TestStaleReportsAreDrawnEvenly(t *testing.T) {
	scheduler := plainScheduler(4)
	scheduler.Split(0, &Request{Service: plainService()})
	countRequestsTo(scheduler, 0, "a", true)
	for i, id := range []string{"a", "b", "c", "d"} {
		scheduler.ObserveLoad(10*second, id, Load{Running: i, Slots: 4})
	}
	fresh, stale := map[string]int{}, map[string]int{}
	for range 2000 {
		for now, seen := range map[time.Duration]map[string]int{10 * second: fresh, 15 * second: stale} {
			call := scheduler.Choose(now, &Request{Service: plainService()}, Serve, nil)
			seen[call.Server.ID]++
			scheduler.Done(now, call, Abandoned)
		}
	}
	qt.Check(t, fresh, qt.DeepEquals, map[string]int{"a": 2000}, qt.Commentf("the shortest queue"))
	for _, n := range stale {
		qt.Check(t, float64(n), isNear, 500.0, 250)
	}
}

func TestShortQueuesArePreferredLessWithAge(t *testing.T) {
	previous := 1.0
	for _, age := range []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, second} {
		scheduler := plainScheduler(2)
		countRequestsTo(scheduler, 0, "a", true)
		scheduler.ObserveLoad(10*second, "a", Load{Running: 0, Slots: 4})
		scheduler.ObserveLoad(10*second, "b", Load{Running: 3, Slots: 4})
		fraction := float64(countRequestsTo(scheduler, 10*second+age, "a", true)) / 100
		qt.Check(t, fraction <= previous+0.1, qt.IsTrue, qt.Commentf("%v: %v after %v", age, fraction, previous))
		previous = fraction
	}
	qt.Check(t, previous, isNear, 0.5, 0.2)
}

func TestNewServersStartSlowly(t *testing.T) {
	scheduler := plainScheduler(3)
	countRequestsTo(scheduler, 0, "a", true)
	for _, id := range []string{"a", "b", "c"} {
		scheduler.ObserveLoad(60*second, id, Load{Running: 2, Slots: 4})
	}
	table := append([]*catalog.Server{}, scheduler.table.Service("plain")...)
	table = append(table, &catalog.Server{ID: "d", Service: "plain", Slots: 4, State: catalog.Ready})
	scheduler.Update(60*second, catalog.NewTable(table))
	qt.Check(t, countRequestsTo(scheduler, 60*second+100*time.Millisecond, "d", true) < 20, qt.IsTrue)
	qt.Check(t, float64(countRequestsTo(scheduler, 80*second, "d", true)), isNear, 25.0, 15)
}

func TestFullServersAreAvoidedWhileOthersAreFree(t *testing.T) {
	scheduler := plainScheduler(3)
	countRequestsTo(scheduler, 0, "a", true)
	for _, id := range []string{"a", "b", "c"} {
		scheduler.ObserveLoad(10*second, id, Load{Running: 4, Slots: 4})
	}
	qt.Check(t, countRequestsTo(scheduler, 10*second, "c", true) > 0, qt.IsTrue, qt.Commentf("all full"))
	scheduler.ObserveLoad(10*second, "a", Load{Running: 3, Slots: 4})
	qt.Check(t, countRequestsTo(scheduler, 10*second+50*time.Millisecond, "a", true), qt.Equals, 100)
}
