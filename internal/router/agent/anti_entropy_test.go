package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Comparisons that differ and bring nothing new become rarer: two releases whose digests are made otherwise
// differ in each. One that is equal, or brings something, ends that.
func TestFruitlessComparisonsBecomeRarer(t *testing.T) {
	c := qt.New(t)
	e := &antiEntropy{}
	inVain := reconciliation{differed: true}
	for range 20 {
		e.recordOutcome(inVain)
	}
	c.Check(e.fruitless, qt.Equals, 20)
	for _, ending := range []reconciliation{{}, {differed: true, changed: true}} {
		e.recordOutcome(inVain)
		e.recordOutcome(ending)
		c.Check(e.fruitless, qt.Equals, 0)
	}
}
