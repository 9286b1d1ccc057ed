package agentsim

import (
	"math/rand"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	stallsTime       = 40 * time.Second
	minStall         = 100 * time.Millisecond
	maxStall         = 5 * time.Second
	maxBetweenStalls = 2 * time.Second
	// quotaPeriod is how often the quota of a processor is refilled.
	quotaPeriod = 100 * time.Millisecond
)

// between draws a duration.
func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int63n(int64(longest-shortest)))
}

// stallAgainAndAgain has machines stall until the time is over.
func (f *Fleet) stallAgainAndAgain(machines []*Machine, duration time.Duration) {
	var stalling sync.WaitGroup
	end := time.Now().Add(duration)
	for _, m := range machines {
		random := rand.New(rand.NewSource(f.Random.Int63()))
		stalling.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(between(random, minStall, maxBetweenStalls))
				m.Stall(between(random, minStall, maxStall))
			}
		})
	}
	stalling.Wait()
}

// limitProcessor has machines run for a share of each quotaPeriod alone, until the time is over.
func limitProcessor(machines []*Machine, share float64, duration time.Duration) {
	var limited sync.WaitGroup
	end := time.Now().Add(duration)
	runs := time.Duration(share * float64(quotaPeriod))
	for _, m := range machines {
		limited.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(runs)
				thaw := m.process.Load().network.Freeze()
				time.Sleep(quotaPeriod - runs)
				thaw()
			}
		})
	}
	limited.Wait()
}

// half returns one machine with a disk and four others of the fleet of inFleet.
func (f *Fleet) half() []*Machine {
	return append(f.WithDisk(true)[:1:1], f.WithDisk(false)[:4]...)
}

// checkCrashIsFound has a server crash, and checks that the machines find out as soon as they do without
// stalls.
func (f *Fleet) checkCrashIsFound() {
	crashed := f.Servers[0]
	crashed.Crash()
	f.Await("the crash is known", 3*HeartbeatInterval, func() string { return f.nobodyKnows(crashed) })
}

// TestStalledMachinesLoseNoServer has half of the machines stall for 0.1 to 5 s again and again: all servers
// are healthy, and none is marked lost, by those that stalled or by those that ran. One that does crash is
// found.
func TestStalledMachinesLoseNoServer(t *testing.T) {
	for seed := range int64(8) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			inFleet(t, Options{Servers: 12, Seed: seed}, func(f *Fleet) {
				since := f.Now()
				f.stallAgainAndAgain(f.half(), stallsTime)
				f.CheckNoneLost(since)
				f.Await("all agree again", agreeTime, f.Converged)
				f.CheckNoneLost(since)
				f.checkCrashIsFound()
			})
		})
	}
}

// TestServersAreFoundDeadWhileMachinesStall: the machines that run find a dead server although others stall.
func TestServersAreFoundDeadWhileMachinesStall(t *testing.T) {
	inFleet(t, Options{Servers: 12, Seed: 1}, func(f *Fleet) {
		stalled, ran := f.half(), f.Except(f.half()...)
		var stalling sync.WaitGroup
		stalling.Go(func() { f.stallAgainAndAgain(stalled, stallsTime) })
		time.Sleep(stallsTime / 4)
		crashed := f.Servers[0]
		crashed.Crash()
		// Its watcher may be one that stalls, whose place another has to take first.
		f.Await("the machines that run know", 12*HeartbeatInterval, func() string {
			for _, m := range ran {
				if m.Node().Servers().ByID(crashed.ID) != nil {
					return m.Name + " knows " + crashed.ID
				}
			}
			return ""
		})
		stalling.Wait()
	})
}

// TestProcessorQuotasLoseNoServer has half of the machines run for three tenths of the time, a tenth of a
// second each.
func TestProcessorQuotasLoseNoServer(t *testing.T) {
	inFleet(t, Options{Servers: 12, Seed: 3}, func(f *Fleet) {
		since := f.Now()
		limitProcessor(f.half(), 0.3, stallsTime)
		f.CheckNoneLost(since)
		qt.Check(f.TB, f.Converged(), qt.Equals, "")
		f.checkCrashIsFound()
	})
}
