package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/directory"
)

// TestLateNewsOfAnEarlierProcessEndsNobody: what an earlier process of a machine sent may come after its
// successor is known, as when a cut held it up. The successor must be able to say that it runs.
func TestLateNewsOfAnEarlierProcessEndsNobody(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent(t)
	earlier := directory.Record{Kind: directory.KindProxy, ID: "p1", Sequence: 3, State: directory.Ready,
		Address: "10.0.0.9"}
	successor := earlier
	successor.ID, successor.Sequence = "p2", 1
	a.state.merge(a.now(), []directory.Record{earlier, successor})
	a.markPredecessorsLost("p1") // it called before it died, and the call comes only now
	successor.Sequence++         // the successor hears what is said of it, and says that it runs
	a.state.merge(a.now(), []directory.Record{successor})
	a.markPredecessorsLost("p2")
	a.state.read(func(d *directory.Directory) {
		c.Check(d.Get("p2").Live(), qt.IsTrue)
		c.Check(d.Get("p1").Live(), qt.IsFalse)
	})
}
