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
	"closes":           func(conn *net.TCPConn) { conn.Close() },
	"resets":           func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
	"ends its sending": func(conn *net.TCPConn) { conn.CloseWrite() },
}

// A client that disconnects, at whatever stage its request is: the call in flight is aborted at its server,
// no other one follows, and a prefix cache that was prefilled for it is released.
func TestClientDisconnectsAtEachStage(t *testing.T) {
	ended := make(chan string, 999)
	held := neverAnswer(ended)
	begins := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
		return held(req, w)
	}
	goesOnAndStalls := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(2)))
		return held(req, w)
	}
	handle := respondHandle("h")
	for _, test := range []struct {
		name, route string
		read, serve []handler
		calls       int
		freed       int
	}{
		{"at its server", "safe", nil, []handler{held, respondOK("x")}, 1, 0},
		{"at its server", "unsafe", nil, []handler{held, respondOK("x")}, 1, 0},
		{"after a rejection", "unsafe", nil, []handler{rejectFull, held, respondOK("x")}, 2, 0},
		{"after a call broken off", "safe", nil, []handler{closeUnanswered, held, respondOK("x")}, 2, 0},
		{"within its stream", "firm", nil, []handler{begins, respondOK("x")}, 1, 0},
		{"within a resumed stream", "stream", nil,
			[]handler{streamChunks("s", false, eventText(1)), goesOnAndStalls, resumesUntil(9)}, 2, 0},
		{"during prefill", "model", []handler{held, handle}, []handler{begins}, 1, 0},
		{"during prefill after a rejection", "modelfirm",
			[]handler{rejectFull, held, handle}, []handler{begins}, 2, 0},
		{"while the prefix cache is fetched", "model", []handler{handle}, []handler{held, resumesUntil(9)}, 2, 1},
		{"during decode after a rejection", "modelfirm", []handler{handle}, []handler{rejectFull, held}, 3, 1},
		{"within its decoded stream", "modelfirm", []handler{handle}, []handler{begins, resumesUntil(9)}, 2, 0},
	} {
		for way, leave := range disconnects {
			t.Run(fmt.Sprintf("%s %s, %s", test.route, test.name, way), func(t *testing.T) {
				t.Parallel()
				var prefillers, decoders []*fakeServer
				if test.read == nil {
					decoders = newLookupServers(t, inTurn(test.serve...))
				} else {
					prefillers, decoders = newModelServers(t, inTurn(test.read...), inTurn(test.serve...))
				}
				rig := newRig(t, nil, append(prefillers, decoders...)...)
				calls := func() int {
					return requestsReceived(prefillers) + requestsReceived(decoders) - releasedHandles(prefillers)
				}
				client := rig.dial()
				client.send("POST", "/"+test.route+"/", "a", "prompt")
				rig.eventually("its last call came", func() bool { return calls() == test.calls })
				leave(client.Conn.(*net.TCPConn))
				select {
				case id := <-ended:
					rig.Assert(id, qt.Equals, "a")
				case <-time.After(testTimeout):
					rig.Fatal("its server did not see the end of the connection")
				}
				rig.awaitCallsEnded()
				rig.eventually("the client is removed", func() bool { return len(rig.proxy.connectedClients()) == 0 })
				rig.eventually("its handle is released", func() bool { return releasedHandles(prefillers) >= test.freed })
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

// newFullListener returns the address of a listener that accepts no further connection.
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
		within, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		conn, err := new(net.Dialer).DialContext(within, "tcp", address)
		cancel()
		if err != nil {
			return address
		}
		c.Cleanup(func() { conn.Close() })
	}
}

// A client that disconnects while a connection is being opened for it. A disconnect at about maxDialTimeout,
// as this process was not scheduled meanwhile, proves nothing: the server is unreachable by then.
func TestClientDisconnectsWhileAServerIsDialled(t *testing.T) {
	stuck := &fakeServer{Server: &catalog.Server{ID: "i-1", Service: "lookup", State: catalog.Ready}}
	stuck.Address = newFullListener(t)
	for end, inTime := time.Now().Add(testTimeout), false; !inTime; {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no disconnect is noticed in time"))
		inTime = disconnectsWhileDialled(t, stuck)
	}
}

// disconnectsWhileDialled has a client disconnect while a connection to a server that accepts none is opened.
// It checks the outcome, and returns false, where the client came to it so late that the time to open the
// connection was over before.
func disconnectsWhileDialled(t *testing.T, stuck *fakeServer) bool {
	t.Helper()
	other := newFakeServer(t, "i-2", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, stuck, other)
	client := rig.dial()
	began := time.Now()
	client.send("POST", "/safe/", "a", "")
	rig.eventually("it is dialled", func() bool { return rig.chooser.callsBegun() > 0 })
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
