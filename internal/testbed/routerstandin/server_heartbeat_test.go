package routerstandin

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/testbed/loopback"
)

// heartbeatsOf decodes the heartbeats among some calls.
func heartbeatsOf(world *testWorld, calls []*controlserver.Call) []heartbeat {
	var all []heartbeat
	for _, call := range calls {
		var next heartbeat
		world.Assert(json.Unmarshal(call.Body, &next), qt.IsNil)
		all = append(all, next)
	}
	return all
}

func TestHeartbeatsDescribeTheServer(t *testing.T) {
	world := newTestWorld(t)
	path := "PUT /api/servers/" + world.decodeServer.ID()
	world.eventually("three heartbeats come", func() bool { return len(world.control.got(path)) >= 3 })
	beats := heartbeatsOf(world, world.control.got(path))
	world.Assert(beats[0], qt.DeepEquals, heartbeat{Service: "model", Address: world.decodeServer.Address(),
		Slots: 4, State: "ready", Stage: StageDecode, Models: servedModels, Postmark: 1})
	for i, beat := range beats {
		world.Assert(beat.Postmark, qt.Equals, int64(i+1))
	}
}

// A server follows forward_to until a heartbeat fails there, and then draws from the list again.
func TestHeartbeatsFollowForwardToUntilItFails(t *testing.T) {
	world := newTestWorld(t)
	var failing bool
	second := newFakeControl(world.C)
	second.set(func(*controlserver.Call) *http1.Response {
		if failing {
			return controlserver.Text(503, "not now")
		}
		return controlserver.JSON(200, []byte("{}"))
	})
	world.control.set(func(*controlserver.Call) *http1.Response {
		answer, _ := json.Marshal(map[string]string{"forward_to": second.address})
		return controlserver.JSON(200, answer)
	})
	world.eventually("the second one is called", func() bool { return len(second.got("PUT")) > 10 })
	at := len(world.control.got("PUT"))
	second.mu.Lock()
	failing = true
	second.mu.Unlock()
	world.eventually("the first one is called again", func() bool { return len(world.control.got("PUT")) > at })
}

func TestShutdownServesOnAndDeregisters(t *testing.T) {
	world := newTestWorld(t)
	id := world.lookup.ID()
	const drain = 100 * time.Millisecond
	world.Assert(world.lookup.Shutdown(drain), qt.IsTrue)
	world.Assert(world.control.got("DELETE /api/servers/"+id), qt.HasLen, 1)
	beats := heartbeatsOf(world, world.control.got("PUT /api/servers/"+id))
	world.Assert(beats[len(beats)-1].State, qt.Equals, "draining")
	ack := world.lookup.drainAck()
	world.Assert(ack.machine, qt.Equals, "127.0.0.1")
	world.Assert(time.Since(ack.at) >= drain+drainMargin, qt.IsTrue)
	world.Assert(world.brokenRules(), qt.HasLen, 0)
}

// A crashed server sends nothing, and another one may listen at its address.
func TestCrashedServerSendsNothing(t *testing.T) {
	world := newTestWorld(t)
	options := world.lookup.Options()
	options.Address = net.JoinHostPort(loopback.OwnIP(), "0") // nobody else is given its port after the crash
	crashed, err := StartServer(options)
	world.Assert(err, qt.IsNil)
	world.Cleanup(crashed.Stop)
	heartbeats := func(server *Server) int { return len(world.control.got("PUT /api/servers/" + server.ID())) }
	world.eventually("it sends heartbeats", func() bool { return heartbeats(crashed) > 0 })
	crashed.Crash()
	next, err := StartServer(crashed.Options())
	world.Assert(err, qt.IsNil)
	world.Cleanup(next.Stop)
	world.Assert(next.Address(), qt.Equals, crashed.Address())
	const onTheWay = 1 // heartbeat that may have been sent at the crash
	limit := heartbeats(crashed) + onTheWay
	world.eventually("the next one sends heartbeats", func() bool { return heartbeats(next) > onTheWay+2 })
	world.Assert(heartbeats(crashed) <= limit, qt.IsTrue)
	world.Assert(world.control.got("DELETE"), qt.HasLen, 0)
}
