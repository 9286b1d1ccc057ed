package scheduler

import (
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/router/catalog"

	qt "github.com/frankban/quicktest"
)

// drawCounts counts how often each candidate is drawn.
func drawCounts(levels []float64, arrive float64, n int) []float64 {
	scheduler := New("z0", 7)
	var all []candidate
	for _, level := range levels {
		all = append(all, candidate{serverState: &serverState{speed: 1, listedAt: -time.Hour}, queueMs: level})
	}
	seen := make([]float64, len(levels))
	for range n {
		picked := scheduler.draw(0, all, arrive)
		for i := range all {
			if &all[i] == picked {
				seen[i]++
			}
		}
	}
	return seen
}

func TestDrawsFollowTheProbabilitiesOfBasicLI(t *testing.T) {
	const n = 20000
	tests := []struct {
		name   string
		levels []float64
		arrive float64
	}{
		{"equal", []float64{10, 10, 10}, 30},
		{"nothing arrives", []float64{10, 5, 20}, 0},
		{"a little", []float64{10, 5, 20}, 8},
		{"much", []float64{10, 5, 20}, 300},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			weights := []float64{1, 1, 1}
			seen := drawCounts(test.levels, test.arrive, n)
			for i, share := range balance.WaterFill(test.levels, weights, test.arrive) {
				qt.Check(t, seen[i]/n, isNear, share, 0.015)
			}
		})
	}
}

// TestStaleReportsAreDrawnEvenly: a report of 5 s ago with large differences says little now.
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
	last := 1.0
	for _, age := range []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, second} {
		scheduler := plainScheduler(2)
		countRequestsTo(scheduler, 0, "a", true)
		scheduler.ObserveLoad(10*second, "a", Load{Running: 0, Slots: 4})
		scheduler.ObserveLoad(10*second, "b", Load{Running: 3, Slots: 4})
		part := float64(countRequestsTo(scheduler, 10*second+age, "a", true)) / 100
		qt.Check(t, part <= last+0.1, qt.IsTrue, qt.Commentf("%v: %v after %v", age, part, last))
		last = part
	}
	qt.Check(t, last, isNear, 0.5, 0.2)
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
