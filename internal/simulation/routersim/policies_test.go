package routersim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runSeeds plays a scenario with several seeds and merges the results.
func runSeeds(scenario func(uint64) Scenario, policy PolicyFactory, seeds uint64) Result {
	sum := Result{Policy: policy.Name}
	for seed := range seeds {
		sum.Merge(Run(scenario(seed+1), policy))
	}
	return sum
}

// allLoadsKnown is the scenario with proxies that know all loads at any time, a bound of what knowing more
// could bring.
func allLoadsKnown(scenario func(uint64) Scenario) func(uint64) Scenario {
	return func(seed uint64) Scenario {
		s := scenario(seed)
		s.AllLoadsKnown = true
		return s
	}
}

// exchangingLoads is the scenario with proxies that exchange the loads that servers reported to them.
func exchangingLoads(scenario func(uint64) Scenario) func(uint64) Scenario {
	return func(seed uint64) Scenario {
		s := scenario(seed)
		s.LoadExchangeDelay = 150 * time.Millisecond
		return s
	}
}

// seedCount is how many seeds a scenario is played with: more of them where the table is to be read.
func seedCount(few uint64) uint64 {
	const toRead = 16
	if testing.Verbose() {
		return toRead
	}
	return few
}

// logHeading begins a table of results.
func logHeading(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s", name)
	t.Logf("%-28s %6s %7s %7s %8s %8s %7s %7s", "", "value", "in time", "failed", "median", "p95", "prefill",
		"direct")
}

func logRow(t *testing.T, name string, r Result) {
	t.Helper()
	median := r.FirstTokenTime(0.5).Round(time.Millisecond)
	p95 := r.FirstTokenTime(0.95).Round(time.Millisecond)
	t.Logf("%-28s %6.3f %7.3f %7.3f %8v %8v %7.3f %7.3f", name, r.EarnedFraction(), r.Fraction(r.InTime),
		r.Fraction(r.Failed), median, p95, r.PrefilledFraction(), r.Fraction(r.Direct))
}

// TestSchedulerIsNoWorseThanBaselines plays the policies against each other; with -v it prints the tables of
// docs/design/routing.md.
func TestSchedulerIsNoWorseThanBaselines(t *testing.T) {
	const noise = 0.01
	seeds := seedCount(3)
	for _, scenario := range []func(uint64) Scenario{Calm, Busy, Loaded} {
		logHeading(t, scenario(1).Name)
		ours := runSeeds(scenario, Scheduler(), seeds)
		logRow(t, "scheduler", ours)
		for _, baseline := range Baselines() {
			theirs := runSeeds(scenario, baseline, seeds)
			logRow(t, baseline.Name, theirs)
			qt.Check(t, ours.EarnedFraction() > theirs.EarnedFraction()-noise, qt.IsTrue,
				qt.Commentf("%s", baseline.Name))
		}
		if testing.Verbose() {
			logRow(t, "scheduler, loads exchanged", runSeeds(exchangingLoads(scenario), Scheduler(), seeds))
			logRow(t, "scheduler, all loads known", runSeeds(allLoadsKnown(scenario), Scheduler(), seeds))
		}
	}
}

// TestSchedulerIsNoWorseThanBaselinesInVariants checks under other loads, faults and engines that the
// scheduler is no worse than the least known queue and the bounded hash.
func TestSchedulerIsNoWorseThanBaselinesInVariants(t *testing.T) {
	const noise = 0.02
	seeds, baselines := seedCount(1), Baselines()
	for _, scenario := range Variants() {
		logHeading(t, scenario(1).Name)
		ours := runSeeds(scenario, Scheduler(), seeds)
		logRow(t, "scheduler", ours)
		for _, baseline := range baselines[len(baselines)-2:] {
			theirs := runSeeds(scenario, baseline, seeds)
			logRow(t, baseline.Name, theirs)
			qt.Check(t, ours.EarnedFraction() > theirs.EarnedFraction()-noise, qt.IsTrue,
				qt.Commentf("%s", baseline.Name))
		}
	}
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	one, other := Run(Calm(3), Scheduler()), Run(Calm(3), Scheduler())
	qt.Check(t, one.EarnedValue, qt.Equals, other.EarnedValue)
	qt.Check(t, one.SharedPrefilled, qt.Equals, other.SharedPrefilled)
	qt.Check(t, one.Transfers, qt.Equals, other.Transfers)
}

// TestSchedulerIsNearTheClairvoyantBound shows what of the late answers is due to the prompts' own length: a
// clairvoyant with ten times as many servers has no queues, one with the same servers loses little to them.
// With -v it prints the table of docs/experiments/long-prompts.md.
func TestSchedulerIsNearTheClairvoyantBound(t *testing.T) {
	const noise = 0.01
	seeds := seedCount(2)
	aged := func(age time.Duration) func(uint64) Scenario {
		return func(seed uint64) Scenario {
			s := Galleries(seed)
			s.PeerLoadDelay = age
			return s
		}
	}
	tenfold := func(seed uint64) Scenario {
		s := Galleries(seed)
		s.PrefillServers, s.DecodeServers = 10*s.PrefillServers, 10*s.DecodeServers
		return s
	}
	logHeading(t, "galleries")
	bound := Clairvoyant(Galleries(1).Engine)
	alone, known := runSeeds(tenfold, bound, seeds), runSeeds(Galleries, bound, seeds)
	logRow(t, "no queues", alone)
	logRow(t, bound.Name, known)
	ours := runSeeds(Galleries, Scheduler(), seeds)
	logRow(t, "scheduler", ours)
	qt.Check(t, alone.Fraction(alone.InTime) > known.Fraction(known.InTime)-noise, qt.IsTrue)
	qt.Check(t, known.Fraction(known.InTime) > ours.Fraction(ours.InTime)-noise, qt.IsTrue)
	qt.Check(t, ours.Fraction(ours.InTime) > known.Fraction(known.InTime)-0.04, qt.IsTrue)
	if !testing.Verbose() {
		return
	}
	for _, age := range []time.Duration{15, 30, 120, 240, 0} {
		ofAge := runSeeds(aged(age*time.Millisecond), Scheduler(), seeds)
		logRow(t, fmt.Sprintf("scheduler, %d ms old", age), ofAge)
	}
	for _, baseline := range Baselines() {
		logRow(t, baseline.Name, runSeeds(Galleries, baseline, seeds))
	}
}
