package routersim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runSeeds plays a scenario with several seeds.
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

// exchangingLoads is the scenario with proxies that hear after a while what the others were told.
func exchangingLoads(scenario func(uint64) Scenario) func(uint64) Scenario {
	return func(seed uint64) Scenario {
		s := scenario(seed)
		s.LoadExchangeDelay = 150 * time.Millisecond
		return s
	}
}

// seedsOf is how many seeds a scenario is played with: more of them where the table is to be read.
func seedsOf(few uint64) uint64 {
	const read = 16
	if testing.Verbose() {
		return read
	}
	return few
}

func heading(t *testing.T, name string) {
	t.Logf("%s", name)
	t.Logf("%-28s %6s %7s %7s %8s %8s %7s %7s", "", "worth", "in time", "failed", "median", "p95", "reread",
		"direct")
}

func row(t *testing.T, name string, r Result) {
	median, late := r.FirstTokenTime(0.5).Round(time.Millisecond), r.FirstTokenTime(0.95).Round(time.Millisecond)
	t.Logf("%-28s %6.3f %7.3f %7.3f %8v %8v %7.3f %7.3f", name, r.EarnedFraction(), r.Fraction(r.InTime),
		r.Fraction(r.Failed),
		median, late, r.RecomputedFraction(), r.Fraction(r.Direct))
}

// TestTable plays the policies against each other; with -v it prints what docs/design/routing.md shows.
func TestTable(t *testing.T) {
	const noise = 0.01
	seeds := seedsOf(3)
	for _, scenario := range []func(uint64) Scenario{Calm, Busy, Loaded} {
		heading(t, scenario(1).Name)
		ours := runSeeds(scenario, Scheduler(), seeds)
		row(t, "pairing", ours)
		for _, rival := range Baselines() {
			theirs := runSeeds(scenario, rival, seeds)
			row(t, rival.Name, theirs)
			qt.Check(t, ours.EarnedFraction() > theirs.EarnedFraction()-noise, qt.IsTrue, qt.Commentf("%s",
				rival.Name))
		}
		if testing.Verbose() {
			row(t, "pairing, loads exchanged", runSeeds(exchangingLoads(scenario), Scheduler(), seeds))
			row(t, "pairing, all loads known", runSeeds(allLoadsKnown(scenario), Scheduler(), seeds))
		}
	}
}

// TestTableOfVariants prints other days, and holds that pairing is no worse there than a hash with bounds.
func TestTableOfVariants(t *testing.T) {
	const noise = 0.02
	seeds, rivals := seedsOf(1), Baselines()
	for _, scenario := range Variants() {
		heading(t, scenario(1).Name)
		ours := runSeeds(scenario, Scheduler(), seeds)
		row(t, "pairing", ours)
		for _, rival := range rivals[len(rivals)-2:] {
			theirs := runSeeds(scenario, rival, seeds)
			row(t, rival.Name, theirs)
			qt.Check(t, ours.EarnedFraction() > theirs.EarnedFraction()-noise, qt.IsTrue, qt.Commentf("%s",
				rival.Name))
		}
	}
}

func TestRunsRepeat(t *testing.T) {
	one, other := Run(Calm(3), Scheduler()), Run(Calm(3), Scheduler())
	qt.Check(t, one.EarnedValue, qt.Equals, other.EarnedValue)
	qt.Check(t, one.SharedPrefilled, qt.Equals, other.SharedPrefilled)
	qt.Check(t, one.Transfers, qt.Equals, other.Transfers)
}

// TestGalleries tells what of the late answers is the prompts' own length: a clairvoyant with ten times as
// many servers has no queues, one with the same servers loses little to them. With -v it prints what
// docs/experiments/long-prompts.md shows.
func TestGalleries(t *testing.T) {
	const noise = 0.01
	seeds := seedsOf(2)
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
	heading(t, "galleries")
	bound := Clairvoyant(Galleries(1).Engine)
	alone, known := runSeeds(tenfold, bound, seeds), runSeeds(Galleries, bound, seeds)
	row(t, "no queues", alone)
	row(t, bound.Name, known)
	ours := runSeeds(Galleries, Scheduler(), seeds)
	row(t, "pairing", ours)
	qt.Check(t, alone.Fraction(alone.InTime) > known.Fraction(known.InTime)-noise, qt.IsTrue)
	qt.Check(t, known.Fraction(known.InTime) > ours.Fraction(ours.InTime)-noise, qt.IsTrue)
	qt.Check(t, ours.Fraction(ours.InTime) > known.Fraction(known.InTime)-0.04, qt.IsTrue)
	if !testing.Verbose() {
		return
	}
	for _, age := range []time.Duration{15, 30, 120, 240, 0} {
		row(t, fmt.Sprintf("pairing, %d ms old", age), runSeeds(aged(age*time.Millisecond), Scheduler(), seeds))
	}
	for _, rival := range Baselines() {
		row(t, rival.Name, runSeeds(Galleries, rival, seeds))
	}
}
