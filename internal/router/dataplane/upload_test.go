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

// upload is larger than the socket buffers of both sides.
const upload = 7 << 20

func withUploads(settings *agentsettings.Settings, state *fakeState) {
	settings.MemoryBytes = 64 << 20 * bodyMemoryDivisor
	state.config.Limits.MaxBodyBytes = upload
}

// newServerWithSmallBuffers starts a server whose system buffers little of what its process does not read.
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

// A server that answers before it has read a long body, and reads on later: the client has its response,
// and the server finds nothing but that body where the rest of it is due. What follows takes another
// connection.
func TestResponseBeforeTheBodyIsRead(t *testing.T) {
	for _, answer := range []struct {
		status int
		answer handler
	}{{200, respondOK("done")}, {500, respond500}, {400, respondStatus(400, "Cresshub-Not-Run: 1")}} {
		for _, size := range []int{100_000, upload} {
			t.Run(fmt.Sprint(answer.status, " ", size), func(t *testing.T) {
				t.Parallel()
				readOn, rest := make(chan bool), make(chan []byte, 1)
				release := sync.OnceFunc(func() { close(readOn) })
				defer release()
				server := newServerWithSmallBuffers(t, "i-1", func(conn net.Conn) {
					in := bufio.NewReader(conn)
					req, body, err := http1.ReadRequestHead(in)
					if err != nil {
						return
					}
					answer.answer(req, conn)
					if body.Length() == int64(size) {
						<-readOn
						all, _ := io.ReadAll(in)
						rest <- all
					}
				})
				rig := newRig(t, withUploads, server)
				client := rig.dial()
				status := client.do("POST", "/unsafe/", "a", strings.Repeat("x", size)).Status
				rig.Assert(status, qt.Equals, answer.status)
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

// A process that does not read has stalled, and is not a dead machine: its request has all its time. The
// system gives the connection up a little later. Where this process was not scheduled until then it can't
// tell the two apart, and the test proves nothing.
func TestServerThatDoesNotReadTimesOut(t *testing.T) {
	t.Parallel()
	for end, inTime := time.Now().Add(3*testTimeout), false; !inTime; {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no request ends in time"))
		inTime = timesOutUnread(t)
	}
}

// timesOutUnread sends a request to a server that does not read it. It checks how that ends, and reports
// whether it could: this process may notice the deadline late, or before it has sent anything.
func timesOutUnread(t *testing.T) bool {
	t.Helper()
	const deadline, late = time.Second, 200 * time.Millisecond
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
	if took > deadline+late || response.Status == 503 && took > deadline/4 {
		return false
	}
	rig.Assert(response.Status, qt.Equals, 504)
	rig.awaitCallsEnded()
	rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.TimedOut})
	rig.Assert(rig.state.suspected, qt.HasLen, 0)
	return true
}

// A server that does not read notices at once that its client has disconnected.
func TestClientDisconnectsFromAServerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	came, gone := make(chan bool), make(chan bool)
	server := newServerWithSmallBuffers(t, "i-1", func(conn net.Conn) {
		if _, _, err := http1.ReadRequestHead(bufio.NewReader(conn)); err == nil {
			close(came)
			awaitHangUp(qt.New(t), conn, testTimeout/2) // without a reset it takes 15 s
			close(gone)
		}
	})
	rig := newRig(t, withUploads, server)
	client := rig.dial()
	client.send("POST", "/safe/", "a", strings.Repeat("x", 200_000))
	<-came
	client.Close()
	<-gone
	rig.awaitCallsEnded()
	rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
}

// awaitHangUp waits until the other side has ended the connection, of which nothing is read.
func awaitHangUp(c *qt.C, conn net.Conn, within time.Duration) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	c.Check(err, qt.IsNil)
	c.Check(raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(events, int(within.Milliseconds()))
		c.Check(n, qt.Equals, 1, qt.Commentf("%v", err))
	}), qt.IsNil)
}

func TestSmallRequestsFindDeadMachinesSoon(t *testing.T) {
	c := qt.New(t)
	pool, w, _ := newTestPool(t, 9)
	conn, err := pool.get(context.Background(), w)
	c.Assert(err, qt.IsNil)
	defer pool.discard(conn)
	c.Assert(userTimeout(c, conn), qt.Equals, serverUnackedTimeout)
	conn.setUnackedTimeout(true, 20*serverUnackedTimeout)
	c.Assert(userTimeout(c, conn), qt.Equals, 20*serverUnackedTimeout+unackedMargin)
	conn.setUnackedTimeout(false, 20*serverUnackedTimeout)
	c.Assert(userTimeout(c, conn), qt.Equals, serverUnackedTimeout)
}

func userTimeout(c *qt.C, conn *connection) (timeout time.Duration) {
	err := conn.raw.Control(func(fd uintptr) {
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		c.Check(err, qt.IsNil)
		timeout = time.Duration(ms) * time.Millisecond
	})
	c.Assert(err, qt.IsNil)
	return timeout
}
