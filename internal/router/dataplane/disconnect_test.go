package dataplane

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// disconnects are the ways in which a client disconnects.
var disconnects = map[string]func(conn *net.TCPConn){
	"closes":                     func(conn *net.TCPConn) { conn.Close() },
	"resets":                     func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
	"half-closes its connection": func(conn *net.TCPConn) { conn.CloseWrite() },
}

// When a client disconnects, at any stage of its request, the call in flight is aborted and no further call
// is made. The handle of a prefilled prompt is released, unless its decode server has begun the stream.
func TestClientDisconnectsAtEachStage(t *testing.T) {
	ended := make(chan string, 999)
	stall := neverAnswer(ended)
	startAndStall := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
		return stall(req, w)
	}
	resumeAndStall := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(2)))
		return stall(req, w)
	}
	handle := respondHandle("h")
	for _, test := range []struct {
		name, route    string
		prefill, serve []handler // of the prefill servers and of all others, in turn
		calls          int       // that reach a server before the client disconnects
		released       int       // least number of handles that are released
	}{
		{"at its server", "safe", nil, []handler{stall, respondOK("x")}, 1, 0},
		{"at its server", "unsafe", nil, []handler{stall, respondOK("x")}, 1, 0},
		{"after a rejection", "unsafe", nil, []handler{rejectFull, stall, respondOK("x")}, 2, 0},
		{"after a call broken off", "safe", nil, []handler{closeUnanswered, stall, respondOK("x")}, 2, 0},
		{"within its stream", "firm", nil, []handler{startAndStall, respondOK("x")}, 1, 0},
		{"within a resumed stream", "stream", nil,
			[]handler{streamChunks("s", false, eventText(1)), resumeAndStall, resumesUntil(9)}, 2, 0},
		{"during prefill", "model", []handler{stall, handle}, []handler{startAndStall}, 1, 0},
		{"during prefill after a rejection", "modelfirm",
			[]handler{rejectFull, stall, handle}, []handler{startAndStall}, 2, 0},
		{"while the prefix cache is fetched", "model",
			[]handler{handle}, []handler{stall, resumesUntil(9)}, 2, 1},
		{"during decode after a rejection", "modelfirm",
			[]handler{handle}, []handler{rejectFull, stall}, 3, 1},
		{"within its decoded stream", "modelfirm",
			[]handler{handle}, []handler{startAndStall, resumesUntil(9)}, 2, 0},
	} {
		for manner, disconnect := range disconnects {
			t.Run(fmt.Sprintf("%s %s, %s", test.route, test.name, manner), func(t *testing.T) {
				t.Parallel()
				var prefillers, decoders []*fakeServer
				if test.prefill == nil {
					decoders = newLookupServers(t, inTurn(test.serve...))
				} else {
					prefillers, decoders = newModelServers(t, inTurn(test.prefill...), inTurn(test.serve...))
				}
				rig := newRig(t, nil, append(prefillers, decoders...)...)
				calls := func() int {
					return requestsReceived(prefillers) + requestsReceived(decoders) - releasedHandles(prefillers)
				}
				client := rig.dial()
				client.send("POST", "/"+test.route+"/", "a", "prompt")
				rig.eventually("its last call has arrived", func() bool { return calls() == test.calls })
				disconnect(client.Conn.(*net.TCPConn))
				select {
				case id := <-ended:
					rig.Assert(id, qt.Equals, "a")
				case <-time.After(testTimeout):
					rig.Fatal("its server did not see the end of the connection")
				}
				rig.awaitCallsEnded()
				rig.eventually("the client is removed", func() bool { return len(rig.proxy.connectedClients()) == 0 })
				rig.eventually("its handle is released",
					func() bool { return releasedHandles(prefillers) >= test.released })
				rig.eventually("no call to release it is in flight",
					func() bool { return len(rig.proxy.handles.slots) == 0 })
				rig.Assert(releasedHandles(prefillers) <= 1, qt.IsTrue)
				rig.Assert(calls(), qt.Equals, test.calls)
				outcomes := rig.chooser.outcomes()
				rig.Assert(outcomes[len(outcomes)-1], qt.Equals, scheduler.Abandoned)
			})
		}
	}
}

// newFullListener returns the address of a listener whose backlog is full, so that connecting to it times
// out.
func newFullListener(t *testing.T) string {
	t.Helper()
	c := qt.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { unix.Close(fd) })
	c.Assert(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	c.Assert(unix.Listen(fd, 0), qt.IsNil)
	name, err := unix.Getsockname(fd)
	c.Assert(err, qt.IsNil)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		cancel()
		if err != nil {
			return address
		}
		c.Cleanup(func() { conn.Close() })
	}
}

// When a client disconnects while a connection to a server is being opened for it, the call is abandoned. A
// disconnect that comes only at about maxDialTimeout, because this process was not scheduled, proves nothing:
// the server counts as unreachable by then. The test tries again in this case.
func TestClientDisconnectsWhileAServerIsDialled(t *testing.T) {
	full := &fakeServer{Server: &catalog.Server{ID: "i-1", Service: "lookup", State: catalog.Ready}}
	full.Address = newFullListener(t)
	for end, inTime := time.Now().Add(testTimeout), false; !inTime; {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no disconnect is noticed in time"))
		inTime = disconnectWhileDialling(t, full)
	}
}

// disconnectWhileDialling has a client disconnect while a connection to a server with a full backlog is being
// opened, and checks the outcome. It returns false if the client disconnected so late that the dial timeout
// was over before.
func disconnectWhileDialling(t *testing.T, full *fakeServer) bool {
	t.Helper()
	other := newFakeServer(t, "i-2", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, full, other)
	client := rig.dial()
	began := time.Now()
	client.send("POST", "/safe/", "a", "")
	rig.eventually("its server is being dialled", func() bool { return rig.chooser.callsBegun() > 0 })
	client.Close()
	closedAfter := time.Since(began)
	rig.eventually("the client is removed", func() bool { return len(rig.proxy.connectedClients()) == 0 })
	rig.awaitCallsEnded()
	if rig.chooser.outcomes()[0] == scheduler.Unreachable && closedAfter > maxDialTimeout/2 {
		return false
	}
	rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
	rig.Assert(other.got(), qt.HasLen, 0)
	return true
}
