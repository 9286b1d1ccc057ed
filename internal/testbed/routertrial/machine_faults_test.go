package routertrial

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/testbed/faultinject"
)

// A partition that heals while a process starts must not stay in force for that process: its command line has
// the partition, and until it listens nobody can tell it of the end.
func TestPartitionThatHealsDuringAStart(t *testing.T) {
	skipIfShort(t)
	r := newRigOf(t, Options{FaultInjection: true})
	m := r.WithDisk(false)[0]
	partition := faultinject.CommandDeaf
	for _, other := range r.WithDisk(true) {
		partition += " " + other.IP
	}
	r.Assert(m.running().Send(partition), qt.IsNil)
	m.updateFaults(m.running(), []string{partition})
	r.Assert(r.Operator.Change(r.ctx, nextConfiguration(r.Operator.Current())), qt.IsNil)
	r.await("the machine hears of the change", func() string {
		if r.Probe(r.ctx, addedKind)[200] < len(r.Machines) {
			return "not yet"
		}
		return ""
	})
}
