package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/scheduler"
)

func TestDisconnectAbortsTheCall(t *testing.T) {
	ended := make(chan string, 9)
	startAndStall := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
		return neverAnswer(ended)(req, w)
	}
	for name, test := range map[string]struct {
		route  string
		answer handler
	}{
		"unsafe, before the answer": {"unsafe", neverAnswer(ended)},
		"safe, before the answer":   {"safe", neverAnswer(ended)},
		"within a stream":           {"stream", startAndStall},
		"within a firm stream":      {"firm", startAndStall},
	} {
		t.Run(name, func(t *testing.T) {
			servers := newLookupServers(t, test.answer)
			rig := newRig(t, nil, servers...)
			client := rig.dial()
			client.send("POST", "/"+test.route+"/", "a", "")
			rig.eventually("the request has arrived", func() bool { return requestsReceived(servers) == 1 })
			client.Close()
			rig.Assert(<-ended, qt.Equals, "a")
			rig.awaitCallsEnded()
			rig.eventually("the client is removed", func() bool { return len(rig.proxy.connectedClients()) == 0 })
			rig.Assert(requestsReceived(servers), qt.Equals, 1)
			rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
			rig.Assert(rig.proxy.Stats().ClientsDisconnected, qt.Equals, int64(1))
		})
	}
}

// The disconnect of a client is detected at once even if bytes of its next request wait to be read. Otherwise
// the call in flight would go on until it counts as timed out.
func TestDisconnectBehindAPipelinedRequest(t *testing.T) {
	const next = "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: b\r\n"
	for _, route := range []string{"safe", "unsafe", "stream", "firm"} {
		for _, reset := range []bool{false, true} {
			for _, later := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %t, later %t", route, reset, later), func(t *testing.T) {
					t.Parallel()
					ended := make(chan string, 9)
					server := newFakeServer(t, "i-1", "lookup", "", neverAnswer(ended))
					rig := newRig(t, nil, server)
					client := rig.dial()
					first := fmt.Sprintf("POST /%s/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\n%s", route,
						contentLength(""))
					if later {
						io.WriteString(client, first)
						rig.eventually("the request has arrived", func() bool { return len(server.got()) == 1 })
						io.WriteString(client, next)
					} else {
						io.WriteString(client, first+next)
						rig.eventually("the request has arrived", func() bool { return len(server.got()) == 1 })
					}
					if reset {
						client.Conn.(*net.TCPConn).SetLinger(0)
					}
					client.Close()
					rig.Assert(<-ended, qt.Equals, "a")
					rig.awaitCallsEnded()
					rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
					rig.eventually("the client is removed",
						func() bool { return len(rig.proxy.connectedClients()) == 0 })
					rig.Assert(server.got(), qt.HasLen, 1)
				})
			}
		}
	}
}

// Requests in flight at the start of a drain, and those that arrive soon after it on open or new connections,
// are answered with Connection: close. Idle connections are closed.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	proceed := make(chan bool)
	server := newFakeServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		<-proceed
		return respondOK("done")(req, w)
	})
	rig := newRig(t, nil, server)
	client, slow, idle := rig.dial(), rig.dial(), rig.dial()
	rig.Assert(idle.do("GET", "/nowhere/", "i", "").Close, qt.IsFalse)
	client.send("POST", "/unsafe/", "a", "")
	io.WriteString(slow, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: b\r\nContent-Le")
	rig.eventually("the request has arrived", func() bool { return len(server.got()) == 1 })
	rig.eventually("all clients are connected", func() bool { return len(rig.proxy.connectedClients()) == 3 })

	rig.proxy.Drain()
	rig.proxy.Drain()
	_, err := idle.in.ReadByte() // closed after drainIdleGrace
	rig.Assert(err, qt.Equals, io.EOF)

	rig.backdateDrain(-testTimeout) // so that no request is late, however busy the machine is
	late := rig.dial()              // the listener is still open
	late.send("POST", "/unsafe/", "c", "")
	io.WriteString(slow, "ngth: 2\r\n\r\nhi")
	rig.eventually("all requests have arrived", func() bool { return len(server.got()) == 3 })
	rig.listener.Close()
	close(proceed)
	for _, client := range []*testClient{client, slow, late} {
		response, err := client.read()
		rig.Assert(err, qt.IsNil)
		rig.Assert(string(response.Body), qt.Equals, "done")
		rig.Assert(response.Close, qt.IsTrue)
	}
	rig.awaitNoClients()
	rig.Assert(rig.proxy.connectedClients(), qt.HasLen, 0)
}

// awaitNoClients waits until no client is connected any more.
func (r *testRig) awaitNoClients() {
	r.Helper()
	end := time.Now().Add(testTimeout)
	r.proxy.Wait(end, end)
	r.Assert(r.proxy.connectedClients(), qt.HasLen, 0)
}

// backdateDrain begins a drain, unless one has begun, and sets its start to that long ago. A negative value
// is a start in the future.
func (r *testRig) backdateDrain(ago time.Duration) {
	r.proxy.Drain()
	r.proxy.mu.Lock()
	defer r.proxy.mu.Unlock()
	r.proxy.drainStarted = time.Now().Add(-ago)
}

// A request that is read late in a drain might outlast the process. It is rejected with 503, so that its
// client sends it elsewhere, and no server gets it.
func TestLateRequestsOfADrainAreRejected(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondOK("done"))
	rig := newRig(t, nil, server)
	slow := rig.dial()
	io.WriteString(slow, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\nContent-Le")
	rig.eventually("the client is connected", func() bool { return len(rig.proxy.connectedClients()) == 1 })
	rig.backdateDrain(drainAcceptTime + time.Millisecond)
	io.WriteString(slow, "ngth: 2\r\n\r\nhi")
	response, err := slow.read()
	rig.Assert(err, qt.IsNil)
	rig.Assert(response.Status, qt.Equals, 503)
	rig.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	rig.Assert(response.Close, qt.IsTrue)
	rig.awaitNoClients()
	rig.Assert(server.got(), qt.HasLen, 0)
}

// The head of a stream that began before a drain does not announce the end of its connection. Late in the
// drain the connection accepts no further request all the same.
func TestKeepAliveConnectionsEndLateInADrain(t *testing.T) {
	proceed := make(chan bool)
	server := newFakeServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
		<-proceed
		io.WriteString(w, chunk(eventText(2))+"0\r\n\r\n")
		return true
	})
	rig := newRig(t, nil, server)
	client := rig.dial()
	client.send("POST", "/stream/", "a", "")
	rig.eventually("its first event is forwarded",
		func() bool { _, err := client.in.Peek(1); return err == nil })
	rig.backdateDrain(drainAcceptTime + time.Millisecond)
	close(proceed)
	response, err := client.read()
	rig.Assert(err, qt.IsNil)
	rig.Assert(response.Close, qt.IsFalse)
	client.send("POST", "/stream/", "b", "")
	if response, err := client.read(); err == nil {
		rig.Assert(response.Status, qt.Equals, 503)
	}
	rig.awaitNoClients()
	rig.Assert(server.got(), qt.HasLen, 1)
}

func TestWaitAbortsRequestsInFlight(t *testing.T) {
	ended := make(chan string, 9)
	server := newFakeServer(t, "i-1", "lookup", "", neverAnswer(ended))
	rig := newRig(t, nil, server)
	client := rig.dial()
	client.send("POST", "/unsafe/", "a", "")
	rig.eventually("the request has arrived", func() bool { return len(server.got()) == 1 })
	rig.proxy.Drain()
	rig.proxy.Wait(time.Now().Add(100*time.Millisecond), time.Now().Add(testTimeout))
	response, err := client.read()
	rig.Assert(err, qt.IsNil)
	rig.Assert(response.Status, qt.Equals, 504)
	<-ended
}

// A request that arrives on an idle connection within drainIdleGrace is answered. If this process was not
// scheduled for a while and sent the request later, that proves nothing, because the connection may have been
// closed; the test then tries again.
func TestRequestsWithinTheDrainGraceAreAnswered(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
	for end, inTime := time.Now().Add(testTimeout), false; !inTime; {
		rig := newRig(t, nil, server)
		rig.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no request is sent in time"))
		client := rig.dial()
		rig.Assert(client.do("GET", "/safe/", "a", "").Close, qt.IsFalse)
		began := time.Now()
		rig.proxy.Drain()
		client.post("safe", "b", "")
		inTime = time.Since(began) < drainIdleGrace
		response, err := client.read()
		if inTime {
			rig.Assert(err, qt.IsNil)
			rig.Assert(response.Status, qt.Equals, 200)
			rig.Assert(response.Close, qt.IsTrue)
			_, err = client.in.ReadByte()
			rig.Assert(err, qt.Equals, io.EOF)
		}
		client.Close()
		rig.awaitNoClients()
	}
}

func TestServerConnectionsAreDividedAmongProxies(t *testing.T) {
	ended := make(chan string, 9)
	server := newFakeServer(t, "i-1", "lookup", "", neverAnswer(ended))
	rig := newRig(t, func(_ *agentsettings.Settings, state *fakeState) { state.proxies = 50 },
		server) // 100 / 50 each
	var waiting []*testClient
	for range 2 {
		client := rig.dial()
		client.send("POST", "/unsafe/", "a", "")
		waiting = append(waiting, client)
	}
	rig.eventually("both requests have arrived", func() bool { return len(server.got()) == 2 })
	rig.Assert(rig.dial().do("POST", "/unsafe/", "b", "").Status, qt.Equals, 503)
	rig.Assert(server.got(), qt.HasLen, 2)
	for _, client := range waiting {
		client.Close()
		<-ended
	}
}

func TestConnectionsToUnlistedServersAreClosed(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, server)
	rig.Assert(rig.dial().do("POST", "/unsafe/", "a", "").Status, qt.Equals, 200)
	rig.state.mu.Lock()
	rig.state.table = tableOf(nil)
	rig.state.mu.Unlock()
	rig.eventually("its connections are closed", func() bool {
		rig.proxy.pool.sweep()
		rig.proxy.pool.mu.Lock()
		defer rig.proxy.pool.mu.Unlock()
		return len(rig.proxy.pool.servers) == 0
	})
}

// Closing a connection on which unread bytes wait would reset it, and the client could lose the last
// response. The client sends the bytes before that response: if it sent them later, the connection would be
// closed already.
func TestResponseSurvivesUnreadBytesBehindItsRequest(t *testing.T) {
	sent := make(chan bool)
	server := newFakeServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		<-sent
		return respondOK("x")(req, w)
	})
	rig := newRig(t, nil, server)
	client := rig.dial()
	client.send("POST", "/unsafe/", "a", "", "Connection: close")
	client.send("POST", "/unsafe/", "b", strings.Repeat("x", 50_000))
	close(sent)
	response, err := client.read()
	rig.Assert(err, qt.IsNil)
	rig.Assert(response.Status, qt.Equals, 200)
	_, err = client.in.ReadByte()
	rig.Assert(err, qt.Equals, io.EOF)
	rig.Assert(server.got(), qt.HasLen, 1)
}

func TestPanicEndsOneConnectionOnly(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, server)
	rig.chooser.panicsInChoose.Store(true)
	client := rig.dial()
	client.send("POST", "/unsafe/", "a", "")
	_, err := client.read()
	rig.Assert(err, qt.Not(qt.IsNil))
	rig.chooser.panicsInChoose.Store(false)
	rig.Assert(rig.dial().do("POST", "/unsafe/", "b", "").Status, qt.Equals, 200)
	rig.eventually("the connection is removed", func() bool { return len(rig.proxy.connectedClients()) == 1 })
}

// Every request that reaches a server during a drain is answered completely, although idle connections are
// being closed.
func TestDrainUnderLoad(t *testing.T) {
	for range 5 {
		server := newFakeServer(t, "i-1", "lookup", "", respondOK("done"))
		rig := newRig(t, nil, server)
		var wg sync.WaitGroup
		answered := make(chan string, 1<<16)
		halfWay := make(chan bool, 1<<16)
		for n := range 16 {
			wg.Go(func() {
				client := &testClient{C: rig.C}
				for i := range 200 {
					id := fmt.Sprintf("c%d-%d", n, i)
					if i == 100 {
						halfWay <- true
					}
					if client.Conn == nil && !client.connect(rig.address) {
						return // the listener is closed
					}
					client.post("unsafe", id, "x")
					response, err := client.read()
					if err == nil && string(response.Body) == "done" {
						answered <- id
					}
					if err != nil || response.Close {
						client.Close()
						client.Conn = nil
					}
				}
			})
		}
		<-halfWay
		rig.proxy.Drain()
		for range 8 {
			<-halfWay
		}
		rig.listener.Close()
		rig.awaitNoClients()
		wg.Wait()
		close(answered)
		got := map[string]bool{}
		for id := range answered {
			got[id] = true
		}
		for _, req := range server.got() {
			id := req.Header.Get(tryIDHeader)
			rig.Assert(got[id], qt.IsTrue, qt.Commentf("%s reached the server and was not answered", id))
		}
	}
}

// A process that was frozen or not scheduled for a while sends its responses late, after their deadlines. It
// still sends them, because closing the connections would tell the clients nothing.
func TestLateResponsesAreSent(t *testing.T) {
	rig := newRig(t, nil)
	synctest.Test(t, func(t *testing.T) { // in a bubble, because the client has only minWriteTime to read
		c := qt.New(t)
		proxyConn, clientConn := net.Pipe()
		defer clientConn.Close()
		late := &client{proxy: rig.proxy, socket: &socket{Conn: rig.proxy.clock.Wrap(proxyConn)}}
		req := &request{Request: &http1.Request{Method: "GET"}, tryID: "a",
			deadline: time.Now().Add(-time.Second)}
		go func() {
			defer proxyConn.Close()
			late.socket.SetWriteDeadline(req.writeDeadline())
			late.sendLocalReply(req, errNoRoute)
		}()
		response, err := (&testClient{Conn: clientConn, in: bufio.NewReader(clientConn)}).read()
		c.Assert(err, qt.IsNil)
		c.Assert(response.Status, qt.Equals, 404)
	})
}
