package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A panic during a call closes only the connection of the client whose request caused it. The call does not
// count as in flight any more, its connection to the server is closed, and the memory of its body is
// released.
func TestPanicInACallReleasesItsResources(t *testing.T) {
	handle := respondStatus(200, stampHeader+": a.1", loadHeader+": 1,0,4")
	rig := newRig(t, nil, newFakeServer(t, "a", "lookup", "", handle))
	rig.chooser.panicsInObserveLoad.Store(true)
	client := rig.dial()
	client.send("POST", "/unsafe/x", "try-1", "")
	_, err := client.read()
	rig.Assert(err, qt.Not(qt.IsNil))
	rig.eventually("the call has ended", rig.chooser.allCallsEndedOnce)
	rig.eventually("the connection is closed", func() bool { return rig.proxy.pool.openCount() == 0 })
	rig.Check(rig.proxy.bodies.Used(), qt.Equals, int64(0))
	rig.chooser.panicsInObserveLoad.Store(false)
	rig.Check(rig.dial().do("POST", "/unsafe/x", "try-2", "").Status, qt.Equals, 200)
}
