package routerstandin

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
)

// heartbeatsOf decodes the heartbeats among some calls.
func heartbeatsOf(w *world, calls []*controlserver.Call) []heartbeat {
	var all []heartbeat
	for _, call := range calls {
		var next heartbeat
		w.Assert(json.Unmarshal(call.Body, &next), qt.IsNil)
		all = append(all, next)
	}
	return all
}

func TestHeartbeatsDescribeTheServer(t *testing.T) {
	w := newWorld(t)
	path := "PUT /api/servers/" + w.decodeServer.ID()
	w.until("three heartbeats come", func() bool { return len(w.control.got(path)) >= 3 })
	beats := heartbeatsOf(w, w.control.got(path))
	w.Assert(beats[0], qt.DeepEquals, heartbeat{Service: "model", Address: w.decodeServer.Address(), Slots: 4,
		State: "ready", Stage: StageDecode, Models: servedModels, Postmark: 1})
	for i, beat := range beats {
		w.Assert(beat.Postmark, qt.Equals, int64(i+1))
	}
}

// A server follows forward_to until a heartbeat fails there, and then draws from the list again.
func TestHeartbeatsFollowForwardToUntilItFails(t *testing.T) {
	w := newWorld(t)
	var failing bool
	second := newFakeControl(w.C)
	second.set(func(*controlserver.Call) *http1.Response {
		if failing {
			return controlserver.Text(503, "not now")
		}
		return controlserver.JSON(200, []byte("{}"))
	})
	w.control.set(func(*controlserver.Call) *http1.Response {
		answer, _ := json.Marshal(map[string]string{"forward_to": second.address})
		return controlserver.JSON(200, answer)
	})
	w.until("the second one is called", func() bool { return len(second.got("PUT")) > 10 })
	at := len(w.control.got("PUT"))
	second.mu.Lock()
	failing = true
	second.mu.Unlock()
	w.until("the first one is called again", func() bool { return len(w.control.got("PUT")) > at })
}

func TestShutdownServesOnAndDeregisters(t *testing.T) {
	w := newWorld(t)
	id := w.lookup.ID()
	const drain = 100 * time.Millisecond
	w.Assert(w.lookup.Shutdown(drain), qt.IsTrue)
	w.Assert(w.control.got("DELETE /api/servers/"+id), qt.HasLen, 1)
	beats := heartbeatsOf(w, w.control.got("PUT /api/servers/"+id))
	w.Assert(beats[len(beats)-1].State, qt.Equals, "draining")
	ack := w.lookup.drainAck()
	w.Assert(ack.machine, qt.Equals, "127.0.0.1")
	w.Assert(time.Since(ack.at) >= drain+drainMargin, qt.IsTrue)
	w.Assert(w.broken(), qt.HasLen, 0)
}

// A crashed server sends nothing, and another one may listen at its address.
func TestCrashedServerSendsNothing(t *testing.T) {
	w := newWorld(t)
	options := w.lookup.Options()
	w.lookup.Crash()
	next, err := StartServer(options)
	w.Assert(err, qt.IsNil)
	w.Cleanup(next.Stop)
	w.Assert(next.Address(), qt.Equals, w.lookup.Address())
	heartbeats := func(server *Server) int { return len(w.control.got("PUT /api/servers/" + server.ID())) }
	const onTheWay = 1 // heartbeat that may have been sent at the crash
	limit := heartbeats(w.lookup) + onTheWay
	w.until("the next one sends heartbeats", func() bool { return heartbeats(next) > onTheWay+2 })
	w.Assert(heartbeats(w.lookup) <= limit, qt.IsTrue)
	w.Assert(w.control.got("DELETE"), qt.HasLen, 0)
}
