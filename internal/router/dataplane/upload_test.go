package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// uploadBytes is the size of a body that is larger than the socket buffers of both sides.
const uploadBytes = 7 << 20

// withUploads is a change for newRig that permits bodies of uploadBytes.
func withUploads(settings *agentsettings.Settings, state *fakeState) {
	settings.MemoryBytes = 64 << 20 * bodyMemoryDivisor
	state.config.Limits.MaxBodyBytes = uploadBytes
}

// newServerWithSmallBuffers starts a server with a small receive buffer, so that the kernel accepts little
// that the server does not read.
func newServerWithSmallBuffers(t *testing.T, id string, serve func(net.Conn)) *fakeServer {
	t.Helper()
	server := &fakeServer{Server: &catalog.Server{ID: id, Service: "lookup", State: catalog.Ready}}
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
		})
	}}
	server.listenWith(t, small, serve)
	return server
}

// A server responds before it has read all of a large body, and reads the rest later. The client must get the
// response, and the server must read nothing but the rest of that body on the connection: the next request
// takes another connection.
func TestResponseBeforeTheBodyIsRead(t *testing.T) {
	for _, test := range []struct {
		status  int
		respond handler
	}{{200, respondOK("done")}, {500, respond500}, {400, respondStatus(400, "Cresshub-Not-Run: 1")}} {
		for _, size := range []int{100_000, uploadBytes} {
			t.Run(fmt.Sprint(test.status, " ", size), func(t *testing.T) {
				t.Parallel()
				readRest, rest := make(chan bool), make(chan []byte, 1)
				release := sync.OnceFunc(func() { close(readRest) })
				defer release()
				server := newServerWithSmallBuffers(t, "i-1", func(conn net.Conn) {
					in := bufio.NewReader(conn)
					req, body, err := http1.ReadRequestHead(in)
					if err != nil {
						return
					}
					test.respond(req, conn)
					if body.Length() == int64(size) {
						<-readRest
						all, _ := io.ReadAll(in)
						rest <- all
					}
				})
				rig := newRig(t, withUploads, server)
				client := rig.dial()
				status := client.do("POST", "/unsafe/", "a", strings.Repeat("x", size)).Status
				rig.Assert(status, qt.Equals, test.status)
				rig.Assert(client.do("POST", "/unsafe/", "b", "").Status, qt.Equals, status)
				release()
				got := <-rest
				rig.Assert(strings.Trim(string(got), "x"), qt.Equals, "")
				rig.Assert(len(got) <= size, qt.IsTrue)
				rig.awaitCallsEnded()
			})
		}
	}
}

// A server process that does not read is not a dead machine: the call ends by the request's deadline, as a
// timeout, and the server is not reported as suspect. The kernel would close the connection a little later.
// If this process is not scheduled until then, it can't tell the two cases apart and the test proves nothing.
func TestServerThatDoesNotReadTimesOut(t *testing.T) {
	t.Parallel()
	for end, inTime := time.Now().Add(3*testTimeout), false; !inTime; {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no request ended in time"))
		inTime = timesOutUnread(t)
	}
}

// timesOutUnread sends a request to a server that does not read it and checks how the call ends. It returns
// false without a check if this process noticed the deadline late, or before it had sent anything.
func timesOutUnread(t *testing.T) bool {
	t.Helper()
	const deadline, tolerance = time.Second, 200 * time.Millisecond
	server := newServerWithSmallBuffers(t, "i-1", func(conn net.Conn) {
		req, body, err := http1.ReadRequestHead(bufio.NewReader(conn))
		if err == nil && body.Length() > 0 {
			awaitHangUp(qt.New(t), conn, testTimeout)
		} else if err == nil {
			respondOK("x")(req, conn)
		}
	})
	rig := newRig(t, withUploads, server)
	client := rig.dial()
	began := time.Now()
	response := client.do("POST", "/unsafe/", "a", strings.Repeat("x", 200_000),
		fmt.Sprintf("%s: %d", deadlineHeader, deadline.Milliseconds()))
	took := time.Since(began)
	if took > deadline+tolerance || response.Status == 503 && took > deadline/4 {
		return false
	}
	rig.Assert(response.Status, qt.Equals, 504)
	rig.awaitCallsEnded()
	rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.TimedOut})
	rig.Assert(rig.state.suspected, qt.HasLen, 0)
	return true
}

// A server that does not read must notice at once that its client has disconnected.
func TestClientDisconnectsFromAServerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	received, disconnected := make(chan bool), make(chan bool)
	server := newServerWithSmallBuffers(t, "i-1", func(conn net.Conn) {
		if _, _, err := http1.ReadRequestHead(bufio.NewReader(conn)); err == nil {
			close(received)
			awaitHangUp(qt.New(t), conn, testTimeout/2) // without a reset it would take 15 s
			close(disconnected)
		}
	})
	rig := newRig(t, withUploads, server)
	client := rig.dial()
	client.send("POST", "/safe/", "a", strings.Repeat("x", 200_000))
	<-received
	client.Close()
	<-disconnected
	rig.awaitCallsEnded()
	rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
}

// awaitHangUp waits until the peer has closed the connection, without reading from it.
func awaitHangUp(c *qt.C, conn net.Conn, within time.Duration) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	c.Check(err, qt.IsNil)
	c.Check(raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(events, int(within.Milliseconds()))
		c.Check(n, qt.Equals, 1, qt.Commentf("%v", err))
	}), qt.IsNil)
}

func TestUnackedTimeoutDependsOnBodySize(t *testing.T) {
	c := qt.New(t)
	pool, spec, _ := newTestPool(t, 9)
	conn, err := pool.get(context.Background(), spec)
	c.Assert(err, qt.IsNil)
	defer pool.discard(conn)
	c.Assert(userTimeout(c, conn), qt.Equals, serverUnackedTimeout)
	conn.setUnackedTimeout(true, 20*serverUnackedTimeout)
	c.Assert(userTimeout(c, conn), qt.Equals, 20*serverUnackedTimeout+unackedMargin)
	conn.setUnackedTimeout(false, 20*serverUnackedTimeout)
	c.Assert(userTimeout(c, conn), qt.Equals, serverUnackedTimeout)
}

// userTimeout returns the TCP_USER_TIMEOUT of a connection.
func userTimeout(c *qt.C, conn *connection) (timeout time.Duration) {
	err := conn.raw.Control(func(fd uintptr) {
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		c.Check(err, qt.IsNil)
		timeout = time.Duration(ms) * time.Millisecond
	})
	c.Assert(err, qt.IsNil)
	return timeout
}
