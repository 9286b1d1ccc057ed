package ingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cresshub/balance"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/testbed/nettest"
)

// awaitNoState waits until the proxy retains no state of any client.
func (r *testRig) awaitNoState(t *testing.T) {
	t.Helper()
	nettest.Until(t, "the proxy retains no state", func() bool {
		r.Server.mu.Lock()
		defer r.Server.mu.Unlock()
		return len(r.clients) == 0 && len(r.openIDs) == 0 && r.Bodies.Used() == 0 && len(r.rejecting) == 0 &&
			r.Stats.InProgress.Load() == 0
	})
}

// Whatever a misbehaving client sends and however it disconnects, no state is retained for it, none but its
// complete requests are sent to servers, each at most once, and other clients are served.
func TestMisbehavingClientsLeaveNoState(t *testing.T) {
	manyRequests := ""
	for i := range 300 {
		manyRequests += getRequest(fmt.Sprint("much-", i))
	}
	for name, text := range map[string]string{
		"a connection without a request": "",
		"half a line":                    "GET /api",
		"half a body":                    postRequest("half", 90, "x"),
		"half a large body":              postRequest("half", 100_000, strings.Repeat("x", 50_000)),
		"one request":                    getRequest("one"),
		"pipelined requests":             getRequest("one") + getRequest("two") + getRequest("three"),
		"many pipelined requests":        manyRequests,
		"noise":                          strings.Repeat("\x00\xff", 5000),
		"a line without end":             strings.Repeat("x", 200_000),
		"a head without end":             "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 50_000),
		"a negative length":              strings.Replace(postRequest("bad", 1, "x"), "Length: 1", "Length: -1", 1),
		"two lengths": strings.Replace(postRequest("two", 1, "x"), "\r\n\r\n",
			"\r\nContent-Length: 2\r\n\r\n", 1),
		"a chunk without end": strings.Replace(postRequest("chunk", 1, ""), "Content-Length: 1",
			"Transfer-Encoding: chunked", 1) + "fffffffffff\r\nx",
	} {
		for way, leave := range disconnectWays {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				rig := newRig(t, nil)
				backend := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
				rig.setServers(backend.Address)
				conn := nettest.Dial(t, rig.address)
				io.WriteString(conn, text) // as much as the proxy reads before it responds and closes
				leave(conn.Conn.(*net.TCPConn))
				if way == "ends sending" {
					io.Copy(io.Discard, conn)
					conn.Close()
				}
				other := strings.Replace(getRequest("other"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
				response := nettest.Ask(t, nettest.Dial(t, rig.address), other)
				if response.Status != 200 {
					t.Errorf("another client gets %d", response.Status)
				}
				rig.awaitNoState(t)
				received := map[string]int{}
				for _, request := range backend.Received("") {
					received[request.Header.Get(idField)]++
				}
				for id, n := range received {
					if n > 1 || id == "half" || id == "bad" || id == "chunk" {
						t.Errorf("the server received request %s %d times", id, n)
					}
				}
			})
		}
	}
}

// hedgeLatencyTarget is the latency target of requests that the tests want hedged. While few responses have
// been seen, a request is hedged after a twelfth of its latency target.
const hedgeLatencyTarget = 10 * time.Second

// askUntilNotRejected is nettest.Ask for a request that may be rejected, since a stall of the test machine
// looks like a queue at the servers: it repeats the request until it is not. A rejected request was not sent
// to any server.
func askUntilNotRejected(t *testing.T, conn *connbuffer.Conn, text string) (response *http1.Response) {
	t.Helper()
	nettest.Until(t, "the request is not rejected", func() bool {
		response = nettest.Ask(t, conn, text)
		return response.Status != 503 || string(response.Body) != "refused\n"
	})
	return response
}

// Of the responses to a request and to its hedged attempt, the first is passed on, once; the other is
// dropped, whether its attempt may be cancelled or not.
func TestHedgedRequestPassesOnFirstResponse(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", mayCancel), func(t *testing.T) {
			t.Parallel()
			rig := newRig(t, func(settings *balance.Settings) {
				settings.MayCancel, settings.Classes[0].LatencyTarget = mayCancel, hedgeLatencyTarget
			})
			slow, respond := make(chan bool, 1), make(chan bool)
			newBackend := func(name string) *nettest.ScriptedServer {
				return nettest.Serve(t, func(request *http1.Request) *http1.Response {
					if request.Header.Get(idField) == "twice" {
						select {
						case slow <- true: // the first attempt
							<-respond
							return nettest.OK("late")
						default:
						}
					}
					return nettest.OK("first")
				})
			}
			a, b := newBackend("a"), newBackend("b")
			rig.setServers(a.Address, b.Address)
			conn := nettest.Dial(t, rig.address)
			for i := range 9 { // the proxy learns the usual latency
				askUntilNotRejected(t, conn, getRequest(fmt.Sprint("before-", i)))
			}
			if response := askUntilNotRejected(t, conn, getRequest("twice")); response.Status != 200 ||
				string(response.Body) != "first" {
				t.Errorf("%d %s", response.Status, response.Body)
			}
			attempts := 0
			for _, request := range append(a.Received(""), b.Received("")...) {
				if request.Header.Get(idField) == "twice" { // other requests may be hedged too, after a stall
					attempts++
				}
			}
			if attempts != 2 {
				t.Errorf("the request was sent %d times, want 2", attempts)
			}
			close(respond)
			for i := range 9 { // none of these gets the late response
				response := askUntilNotRejected(t, conn, getRequest(fmt.Sprint("after-", i)))
				if string(response.Body) != "first" {
					t.Errorf("after the hedged request: %d %s", response.Status, response.Body)
				}
			}
			conn.Close()
			rig.awaitNoState(t)
		})
	}
}

// A request that every server rejected is rejected at once, as it was never executed. A request that must be
// executed at most once fails if the connection of its last attempt was closed without a response.
func TestNoServerLeftToAttempt(t *testing.T) {
	rejected := &http1.Response{Status: 503, Header: http1.Header{{Name: "X-Not-Processed", Value: "1"}}}
	for name, test := range map[string]struct {
		responses []*http1.Response
		want      string
	}{
		"rejected by all servers":          {[]*http1.Response{rejected, rejected, rejected}, "503 refused"},
		"connection closed":                {[]*http1.Response{nettest.CloseConn}, "502 failed"},
		"rejected, then connection closed": {[]*http1.Response{rejected, nettest.CloseConn}, "502 failed"},
		"rejected, then an error":          {[]*http1.Response{rejected, rejected, {Status: 500}}, "502 failed"},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newRig(t, nil)
			next := make(chan *http1.Response, 9)
			for _, response := range test.responses {
				next <- response
			}
			backend := nettest.Serve(t, func(*http1.Request) *http1.Response { return <-next })
			rig.setServers(backend.Address, backend.Address)
			far := nettest.Dial(t, rig.address)
			began := time.Now()
			io.WriteString(far, postRequest("id", 1, "x"))
			if got := nextOutcome(far); got != test.want {
				t.Error(got)
			}
			if took := time.Since(began); took > 5*time.Second { // of a deadline of 30 s
				t.Errorf("the response came after %v", took)
			}
			if n := len(backend.Received("")); n != len(test.responses) || len(next) > 0 {
				t.Errorf("the server received %d attempts, want %d", n, len(test.responses))
			}
			far.Close()
			rig.awaitNoState(t)
		})
	}
}

// If a server responds before the request is complete, and closes the connection, its response is passed on
// or the attempt fails. Either way the request is not sent again, and no state is retained.
func TestResponseBeforeRequestIsComplete(t *testing.T) {
	for _, status := range []int{200, 500} {
		rig := newRig(t, nil)
		heads := make(chan bool, 9)
		backend := nettest.Listen(t, func(conn *connbuffer.Conn) {
			if _, _, err := http1.ReadRequestHead(conn.In); err == nil {
				heads <- true
				fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: 5\r\n\r\nearly", status)
			}
		})
		rig.setServers(backend, backend)
		conn := nettest.Dial(t, rig.address)
		go io.WriteString(conn, postRequest("id", 1<<20, strings.Repeat("x", 1<<20)))
		if got := nextOutcome(conn); got == "nothing" || got == "200 early" && status == 500 {
			t.Errorf("server's status %d: the client reads %q", status, got)
		}
		if len(heads) != 1 {
			t.Errorf("server's status %d: %d attempts, want 1", status, len(heads))
		}
		conn.Close()
		rig.awaitNoState(t)
	}
}

// A body may take any time as long as each of its chunks arrives within StallTimeout, whatever part of the
// chunked coding is buffered already. HeadTimeout does not apply to a body.
func TestStallTimeoutRestartsWithEachChunk(t *testing.T) {
	for _, size := range []int{1000, 100_000} { // buffered, and streamed
		rig := newRig(t, nil)
		limits := *rig.limits.Load()
		limits.HeadTimeout = 200 * time.Millisecond
		rig.SetLimits(limits)
		backend := nettest.Serve(t, func(request *http1.Request) *http1.Response {
			return nettest.OK(fmt.Sprint(len(request.Body)))
		})
		if size > http1.MaxBufferedBody {
			backend.Address = nettest.Listen(t, func(conn *connbuffer.Conn) {
				_, body, err := http1.ReadRequestHead(conn.In)
				if err == nil {
					n, _ := io.Copy(io.Discard, body)
					nettest.OK(fmt.Sprint(n)).Write(conn.Out)
					conn.Flush()
				}
			})
		}
		rig.setServers(backend.Address)
		conn := nettest.Dial(t, rig.address)
		text := strings.Replace(postRequest("id", 1, ""), "Content-Length: 1", "Transfer-Encoding: chunked", 1)
		io.WriteString(conn, text+fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)))
		time.Sleep(300 * time.Millisecond) // longer than HeadTimeout
		io.WriteString(conn, "1\r\nx\r\n")
		time.Sleep(300 * time.Millisecond)
		io.WriteString(conn, "0\r\n\r\n")
		if got, want := nextOutcome(conn), fmt.Sprint("200 ", size+1); got != want {
			t.Errorf("body of %d bytes: the client reads %q", size, got)
		}
	}
}

// A hedged attempt of a large request may be decided while the first attempt waits for its connection. The
// body can be read only once: one of the two attempts sends all of it, and the other is never sent.
func TestUploadIsReadByOneAttempt(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			checkHedgedUpload(t, framing)
		})
	}
}

// checkHedgedUpload checks a hedged request whose large body has the given framing header field.
func checkHedgedUpload(t *testing.T, framing string) {
	t.Helper()
	rig := newRig(t, func(settings *balance.Settings) { settings.Classes[0].LatencyTarget = hedgeLatencyTarget })
	bodies := make(chan string, 9)
	backend := nettest.Listen(t, func(conn *connbuffer.Conn) {
		for {
			request, body, err := http1.ReadRequestHead(conn.In)
			if err != nil {
				return
			}
			text, err := io.ReadAll(body)
			if request.Header.Get(idField) == "twice" {
				bodies <- fmt.Sprint(len(text), strings.Count(string(text), "x"), err)
			}
			if err != nil {
				return
			}
			nettest.OK("own").Write(conn.Out)
			conn.Flush()
		}
	})
	rig.setServers(backend, backend)
	conn := nettest.Dial(t, rig.address)
	for i := range 9 {
		askUntilNotRejected(t, conn, getRequest(fmt.Sprint("before-", i)))
	}
	nettest.Until(t, "all attempts have ended", func() bool {
		rig.Server.mu.Lock()
		defer rig.Server.mu.Unlock()
		return len(rig.openIDs) == 0
	})
	rig.mu.Lock()
	previous, bothReady := rig.lookups, make(chan bool)
	rig.onLookup = func(n int) {
		switch n - previous { // 1 and 3 as the attempts start, 2 and 4 just before their first bytes
		case 2:
			<-bothReady
		case 4:
			close(bothReady)
		}
	}
	rig.mu.Unlock()
	text := strings.Replace(postRequest("twice", 1, ""), "assign", "lookup", 1)
	text = strings.Replace(text, "Content-Length: 1", framing, 1)
	if body := strings.Repeat("x", 100_000); framing[0] == 'C' {
		text += body
	} else {
		text += fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	got := ""
	// As in askUntilNotRejected, but the connection ends with a rejection.
	nettest.Until(t, "the request is not rejected", func() bool {
		conn.Close()
		conn = nettest.Dial(t, rig.address)
		go io.WriteString(conn, text)
		got = nextOutcome(conn)
		return got != "503 refused"
	})
	if got != "200 own" {
		t.Error(got)
	}
	conn.Close()
	rig.awaitNoState(t)
	complete := 0
	for len(bodies) > 0 {
		switch got := <-bodies; {
		case got == "100000 100000 <nil>":
			complete++
		case strings.HasSuffix(got, "<nil>"):
			t.Errorf("an incomplete body was read without an error: %s", got)
		}
	}
	if complete != 1 {
		t.Errorf("the server received %d complete bodies, want 1", complete)
	}
}

// A response that its server truncates while it is streamed ends with a reset, so that the client can tell,
// even if the end of the connection delimits the response and bytes of the client are unread behind its
// request.
func TestBrokenStreamResetsClient(t *testing.T) {
	for _, pipelined := range []string{"", "GET /api HTTP/1.0\r\n"} {
		rig := newRig(t, nil)
		passed := make(chan bool)
		backend := nettest.Listen(t, func(conn *connbuffer.Conn) {
			if _, err := http1.ReadRequest(conn.In); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 100_000))
			<-passed
			conn.Conn.(*net.TCPConn).SetLinger(0)
		})
		rig.setServers(backend)
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, strings.Replace(getRequest("id"), "HTTP/1.1", "HTTP/1.0", 1)+pipelined)
		response, body, err := http1.ReadResponseHead(conn.In, "GET")
		if err != nil || response.Status != 200 {
			t.Fatalf("%+v, %v", response, err)
		}
		if _, err := io.ReadFull(body, make([]byte, 70_000)); err != nil {
			t.Fatal(err)
		}
		close(passed)
		if n, err := io.Copy(io.Discard, body); err == nil {
			t.Errorf("pipelined %q: the response ends without an error after %d bytes", pipelined, 70_000+n)
		}
	}
}

// A request whose client disconnects just as the last byte of its large body is sent does not stay counted as
// in progress, whichever of the two is noticed first.
func TestClientDisconnectsAsUploadCompletes(t *testing.T) {
	for _, disconnectsFirst := range []bool{true, false} {
		rig := newRig(t, nil)
		sent, disconnected := make(chan bool, 1), make(chan bool)
		rig.onBodySent = func() {
			if disconnectsFirst {
				sent <- true
				<-disconnected
			}
		}
		bodyReceived := make(chan bool, 1)
		backend := nettest.Listen(t, func(conn *connbuffer.Conn) {
			if _, body, err := http1.ReadRequestHead(conn.In); err == nil {
				io.Copy(io.Discard, body)
				bodyReceived <- true
				io.Copy(io.Discard, conn) // without a response
			}
		})
		rig.setServers(backend)
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, postRequest("id", 100_000, strings.Repeat("x", 100_000)))
		<-bodyReceived
		if disconnectsFirst {
			<-sent
		} else {
			nettest.Until(t, "the request counts as in progress", func() bool {
				return rig.Stats.InProgress.Load() == 1
			})
		}
		conn.Close()
		nettest.Until(t, "the disconnect is counted", func() bool {
			return rig.Stats.ClientDisconnected.Load() == 1
		})
		nettest.Until(t, "the client's connection is closed", func() bool {
			rig.Server.mu.Lock()
			defer rig.Server.mu.Unlock()
			return len(rig.clients) == 0
		})
		close(disconnected)
		rig.awaitNoState(t)
	}
}
