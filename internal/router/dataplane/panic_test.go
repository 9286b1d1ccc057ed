package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPanicWithinACallReleasesWhatItReserved: a panic that one request causes ends its connection alone.
// Its server does not count as busy for ever, and the connection to the server is closed.
func TestPanicWithinACallReleasesWhatItReserved(t *testing.T) {
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
