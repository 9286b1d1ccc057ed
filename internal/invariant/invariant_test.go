package invariant

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestViolationsAreCountedAndReported checks that a false condition is counted and reported to the handler,
// and that a true one is not.
func TestViolationsAreCountedAndReported(t *testing.T) {
	c := qt.New(t)
	var reported []string
	SetHandler(func(v *ViolationError) { reported = append(reported, v.Error()) })
	defer handler.Store(nil)
	before := Counts()[FenceRises].Violations
	Assert(true, FenceRises, "%d", 1)
	Assert(false, FenceRises, "fence %d after %d", 1, 2)
	c.Assert(reported, qt.HasLen, 1)
	c.Assert(reported[0], qt.Matches, "invariant fence_rises: fence 1 after 2; .*")
	c.Assert(Counts()[FenceRises].Violations-before, qt.Equals, int64(1))
	PanicOnViolation()
	violate := func() { Assert(false, EnoughReplicas, "too few") }
	c.Assert(violate, qt.PanicMatches, ".*enough_replicas: too few.*")
}

// TestEachCheckHasAName checks that the names are not empty and differ.
func TestEachCheckHasAName(t *testing.T) {
	seen := map[string]bool{}
	for _, count := range Counts() {
		name := count.Check.String()
		qt.Check(t, name, qt.Not(qt.Equals), "")
		qt.Check(t, seen[name], qt.IsFalse, qt.Commentf(name))
		seen[name] = true
	}
}
