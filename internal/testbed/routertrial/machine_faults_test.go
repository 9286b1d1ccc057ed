package routertrial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/testbed/faultinject"
)

// A cut that ends while a process starts must not hold for that process: it was given the cut, and nobody
// could tell it of the end.
func TestCutThatEndsWhileAProcessStarts(t *testing.T) {
	skipIfShort(t)
	r := newRigOf(t, Options{FaultInjection: true})
	m := r.WithDisk(false)[0]
	cut := faultinject.CommandDeaf
	for _, other := range r.WithDisk(true) {
		cut += " " + other.IP
	}
	r.Assert(m.running().Send(cut), qt.IsNil)
	m.updateFaults(m.running(), []string{cut})
	r.Assert(r.Operator.Change(r.ctx, nextConfiguration(r.Operator.Current())), qt.IsNil)
	r.await("the machine hears of the change", func() string {
		if r.Probe(r.ctx, addedKind)[200] < len(r.Machines) {
			return "not yet"
		}
		return ""
	})
}
