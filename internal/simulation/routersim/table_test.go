package routersim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runs plays a scenario with several seeds.
func runs(scenario func(uint64) Scenario, policy Maker, seeds uint64) Result {
	sum := Result{Policy: policy.Name}
	for seed := range seeds {
		sum.Merge(Run(scenario(seed+1), policy))
	}
	return sum
}

// fresh is the scenario with proxies that know all loads at any time, a bound of what knowing more could
// bring.
func fresh(scenario func(uint64) Scenario) func(uint64) Scenario {
	return func(seed uint64) Scenario {
		s := scenario(seed)
		s.Fresh = true
		return s
	}
}

// exchanging is the scenario with proxies that hear after a while what the others were told.
func exchanging(scenario func(uint64) Scenario) func(uint64) Scenario {
	return func(seed uint64) Scenario {
		s := scenario(seed)
		s.Exchange = 150 * time.Millisecond
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
	median, late := r.First(0.5).Round(time.Millisecond), r.First(0.95).Round(time.Millisecond)
	t.Logf("%-28s %6.3f %7.3f %7.3f %8v %8v %7.3f %7.3f", name, r.Share(), r.Of(r.InTime), r.Of(r.Failed),
		median, late, r.Reread(), r.Of(r.Direct))
}

// TestTable plays the policies against each other; with -v it prints what docs/design/routing.md shows.
func TestTable(t *testing.T) {
	const noise = 0.01
	seeds := seedsOf(3)
	for _, scenario := range []func(uint64) Scenario{Calm, Busy, Loaded} {
		heading(t, scenario(1).Name)
		ours := runs(scenario, Pairing(), seeds)
		row(t, "pairing", ours)
		for _, rival := range Rivals() {
			theirs := runs(scenario, rival, seeds)
			row(t, rival.Name, theirs)
			qt.Check(t, ours.Share() > theirs.Share()-noise, qt.IsTrue, qt.Commentf("%s", rival.Name))
		}
		if testing.Verbose() {
			row(t, "pairing, loads exchanged", runs(exchanging(scenario), Pairing(), seeds))
			row(t, "pairing, all loads known", runs(fresh(scenario), Pairing(), seeds))
		}
	}
}

// TestTableOfVariants prints other days, and holds that pairing is no worse there than a hash with bounds.
func TestTableOfVariants(t *testing.T) {
	const noise = 0.02
	seeds, rivals := seedsOf(1), Rivals()
	for _, scenario := range Variants() {
		heading(t, scenario(1).Name)
		ours := runs(scenario, Pairing(), seeds)
		row(t, "pairing", ours)
		for _, rival := range rivals[len(rivals)-2:] {
			theirs := runs(scenario, rival, seeds)
			row(t, rival.Name, theirs)
			qt.Check(t, ours.Share() > theirs.Share()-noise, qt.IsTrue, qt.Commentf("%s", rival.Name))
		}
	}
}

func TestRunsRepeat(t *testing.T) {
	one, other := Run(Calm(3), Pairing()), Run(Calm(3), Pairing())
	qt.Check(t, one.Earned, qt.Equals, other.Earned)
	qt.Check(t, one.SharedRead, qt.Equals, other.SharedRead)
	qt.Check(t, one.Moves, qt.Equals, other.Moves)
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
			s.Shared = age
			return s
		}
	}
	tenfold := func(seed uint64) Scenario {
		s := Galleries(seed)
		s.Readers, s.Writers = 10*s.Readers, 10*s.Writers
		return s
	}
	heading(t, "galleries")
	bound := Clairvoyant(Galleries(1).Engine)
	alone, known := runs(tenfold, bound, seeds), runs(Galleries, bound, seeds)
	row(t, "no queues", alone)
	row(t, bound.Name, known)
	ours := runs(Galleries, Pairing(), seeds)
	row(t, "pairing", ours)
	qt.Check(t, alone.Of(alone.InTime) > known.Of(known.InTime)-noise, qt.IsTrue)
	qt.Check(t, known.Of(known.InTime) > ours.Of(ours.InTime)-noise, qt.IsTrue)
	qt.Check(t, ours.Of(ours.InTime) > known.Of(known.InTime)-0.04, qt.IsTrue)
	if !testing.Verbose() {
		return
	}
	for _, age := range []time.Duration{15, 30, 120, 240, 0} {
		row(t, fmt.Sprintf("pairing, %d ms old", age), runs(aged(age*time.Millisecond), Pairing(), seeds))
	}
	for _, rival := range Rivals() {
		row(t, rival.Name, runs(Galleries, rival, seeds))
	}
}
