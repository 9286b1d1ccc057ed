package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/directory"
)

// TestDelayedMessageOfAPredecessorIsRefutable: a message that an earlier process of a machine has sent may
// arrive after its successor is known, for example when a partition has delayed it. It marks the successor
// lost, which the successor must be able to refute.
func TestDelayedMessageOfAPredecessorIsRefutable(t *testing.T) {
	c := qt.New(t)
	agent := newTestAgent(t)
	earlier := directory.Record{Kind: directory.KindProxy, ID: "p1", Sequence: 3, State: directory.Ready,
		Address: "10.0.0.9"}
	successor := earlier
	successor.ID, successor.Sequence = "p2", 1
	agent.state.merge(agent.now(), []directory.Record{earlier, successor})
	agent.failures.markPredecessorsLost("p1") // a delayed call of the earlier process
	successor.Sequence++                      // the successor learns that it is marked lost, and refutes it
	agent.state.merge(agent.now(), []directory.Record{successor})
	agent.failures.markPredecessorsLost("p2")
	agent.state.read(func(d *directory.Directory) {
		c.Check(d.Get("p2").Live(), qt.IsTrue)
		c.Check(d.Get("p1").Live(), qt.IsFalse)
	})
}
