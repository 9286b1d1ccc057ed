package dataplane

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPanicWithinACallReleasesWhatItReserved: a panic that one request causes ends its connection alone.
// Its server does not count as busy for ever, and the connection to the server is closed.
func TestPanicWithinACallReleasesWhatItReserved(t *testing.T) {
	answer := status(200, stampHeader+": a.1", loadHeader+": 1,0,4")
	r := newRig(t, nil, newServer(t, "a", "lookup", "", answer))
	r.chooser.panicsInCalls.Store(true)
	client := r.dial()
	client.send("POST", "/unsafe/x", "try-1", "")
	_, err := client.read()
	r.Assert(err, qt.Not(qt.IsNil))
	r.eventually("the call has ended", r.chooser.paired)
	r.eventually("the connection is closed", func() bool { return r.proxy.pool.openCount() == 0 })
	r.Check(r.proxy.bodies.Used(), qt.Equals, int64(0))
	r.chooser.panicsInCalls.Store(false)
	r.Check(r.dial().ask("POST", "/unsafe/x", "try-2", "").Status, qt.Equals, 200)
}
