package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnproductiveComparisonsAreCounted: comparisons that find differences but change nothing are counted, so
// that they back off, as between two releases that compute digests differently. A comparison without
// differences, or one that changes the directory, resets the count.
func TestUnproductiveComparisonsAreCounted(t *testing.T) {
	c := qt.New(t)
	e := &antiEntropy{}
	unproductive := reconcileResult{differed: true}
	for range 20 {
		e.recordOutcome(unproductive)
	}
	c.Check(e.unproductiveRounds, qt.Equals, 20)
	for _, resetting := range []reconcileResult{{}, {differed: true, changed: true}} {
		e.recordOutcome(unproductive)
		e.recordOutcome(resetting)
		c.Check(e.unproductiveRounds, qt.Equals, 0)
	}
}
