package dataplane

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// stall makes the proxy count all time from now on, for an hour, as time in which its process was stalled.
func (r *testRig) stall() { r.proxy.clock.InjectStall(time.Now().Add(time.Hour), time.Hour) }

// newUnreachableServer returns a server whose machine does not respond to connection attempts, because the
// backlog of its listener is full.
func newUnreachableServer(t *testing.T) *fakeServer {
	t.Helper()
	c := qt.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = syscall.Close(fd) })
	c.Assert(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	c.Assert(syscall.Listen(fd, 0), qt.IsNil)
	name, err := syscall.Getsockname(fd)
	c.Assert(err, qt.IsNil)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for { // until the backlog is full
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		c.Cleanup(func() { conn.Close() })
	}
	return &fakeServer{Server: &catalog.Server{ID: "i-0", Service: "lookup", Address: address,
		State: catalog.Ready}}
}

// A process that was stalled can't tell whether a server is unreachable or silent. If the request's deadline
// ends the call, the server is neither reported as suspect nor counted as timed out. Without a stall it is.
func TestServerIsNotBlamedForStallOfThisProcess(t *testing.T) {
	const deadline = 2 * minDialTimeout
	for _, test := range []struct {
		name      string
		server    func(t *testing.T) *fakeServer
		stalled   bool
		outcome   scheduler.Outcome
		suspected int
	}{
		{"unreachable", newUnreachableServer, false, scheduler.Unreachable, 1},
		{"unreachable, stalled", newUnreachableServer, true, scheduler.Abandoned, 0},
		{"silent", newSilentServer, false, scheduler.TimedOut, 0},
		{"silent, stalled", newSilentServer, true, scheduler.Abandoned, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			rig := newRig(t, nil, test.server(t))
			rig.useMinResponseTimeout("unsafe")
			if test.stalled {
				rig.stall()
			}
			rig.dial().do("POST", "/unsafe/", "a", "",
				fmt.Sprintf("Cresshub-Deadline-Ms: %d", deadline.Milliseconds()))
			rig.awaitCallsEnded()
			rig.Assert(rig.chooser.outcomes()[0], qt.Equals, test.outcome)
			rig.state.mu.Lock()
			defer rig.state.mu.Unlock()
			rig.Assert(rig.state.suspected, qt.HasLen, test.suspected)
		})
	}
}

// newSilentServer returns a server that reads requests and never answers.
func newSilentServer(t *testing.T) *fakeServer {
	t.Helper()
	return newFakeServer(t, "i-0", "lookup", "", neverAnswer(make(chan string, 9)))
}

// After a stall, a response that has arrived meanwhile is read although the call's timeout has passed, and so
// is one that arrives soon after the stall.
func TestResponseReceivedDuringStallIsRead(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nCresshub-Try-Id: a\r\nContent-Length: 0\r\n\r\n"
	for _, arrived := range []bool{true, false} {
		rig := newRig(t, nil)
		near, far := tcpPair(t)
		now := time.Now()
		route := rig.route("safe")
		req := &request{Request: &http1.Request{Method: "GET"}, tryID: "a", route: route,
			service:  rig.state.config.Services[route.Targets[0].Service],
			deadline: now.Add(testTimeout), hardDeadline: now.Add(testTimeout)}
		req.scheduling.Service = req.service
		socket, err := newSocket(near, rig.proxy.clock)
		rig.Assert(err, qt.IsNil)
		call := &call{roundTrip: newRoundTrip(&client{proxy: rig.proxy, socket: socket}, req),
			conn: &connection{socket: socket}, choice: &scheduler.Call{Server: &catalog.Server{ID: "i-1"}},
			sendStarted: now.Add(-2 * time.Second)}
		rig.proxy.clock.InjectStall(now, 1900*time.Millisecond)
		call.setReadDeadline(call.sendStarted, now.Add(-time.Second), req.deadline)
		if arrived {
			io.WriteString(far, response)
		} else {
			go io.WriteString(far, response)
		}
		call.awaitResponse()
		head, failure := call.readHead()
		rig.Assert(failure, qt.IsNil)
		rig.Assert(head.head.Status, qt.Equals, 200)
	}
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	near, err = net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	far, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}
