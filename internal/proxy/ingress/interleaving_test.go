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

// awaitNoState waits until nothing is retained for any client.
func (r *testRig) awaitNoState(t *testing.T) {
	t.Helper()
	nettest.Until(t, "nothing is held", func() bool {
		r.Server.mu.Lock()
		defer r.Server.mu.Unlock()
		return len(r.clients) == 0 && len(r.openIDs) == 0 && r.Bodies.Used() == 0 && len(r.rejecting) == 0 &&
			r.Stats.InProgress.Load() == 0
	})
}

// Whatever a bad client sends and however it goes away, no state is retained for it, at most its complete
// requests are sent, each once, and others are served.
func TestBadClientsLeaveNoState(t *testing.T) {
	much := ""
	for i := range 300 {
		much += getRequest(fmt.Sprint("much-", i))
	}
	for name, text := range map[string]string{
		"a connect and nothing": "",
		"half a line":           "GET /api",
		"half a body":           postRequest("half", 90, "x"),
		"half a large body":     postRequest("half", 100_000, strings.Repeat("x", 50_000)),
		"one and gone":          getRequest("one"),
		"pipelined and gone":    getRequest("one") + getRequest("two") + getRequest("three"),
		"much and gone":         much,
		"noise":                 strings.Repeat("\x00\xff", 5000),
		"a line without end":    strings.Repeat("x", 200_000),
		"a head without end":    "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 50_000),
		"a length that is none": strings.Replace(postRequest("bad", 1, "x"), "Length: 1", "Length: -1", 1),
		"two lengths": strings.Replace(postRequest("two", 1, "x"), "\r\n\r\n",
			"\r\nContent-Length: 2\r\n\r\n", 1),
		"a chunk without end": strings.Replace(postRequest("chunk", 1, ""), "Content-Length: 1",
			"Transfer-Encoding: chunked", 1) + "fffffffffff\r\nx",
	} {
		for way, leave := range disconnectWays {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				rig := newRig(t, nil)
				zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
				rig.list(zone.Address)
				conn := nettest.Dial(t, rig.address)
				io.WriteString(conn, text) // as much as is read before it is answered and closed
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
				came := map[string]int{}
				for _, request := range zone.Received("") {
					came[request.Header.Get(idField)]++
				}
				for id, n := range came {
					if n > 1 || id == "half" || id == "bad" || id == "chunk" {
						t.Errorf("%s came %d times", id, n)
					}
				}
			})
		}
	}
}

// hedgedTarget is the latency target of requests that are to be hedged. What counts as unusually long, and is
// hedged, is a twelfth of it as long as few responses were seen.
const hedgedTarget = 10 * time.Second

// askUntilAccepted is nettest.Ask for a request that may be refused: what a stall of this machine delays
// counts as a queue. A refused request was not sent to any server.
func askUntilAccepted(t *testing.T, conn *connbuffer.Conn, text string) (response *http1.Response) {
	t.Helper()
	nettest.Until(t, "it is accepted", func() bool {
		response = nettest.Ask(t, conn, text)
		return response.Status != 503 || string(response.Body) != "refused\n"
	})
	return response
}

// Of two hedged attempts the first response is passed on, once; the other, cancelled or not, is dropped.
func TestHedgedRequestAnswersFirst(t *testing.T) {
	for _, may := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", may), func(t *testing.T) {
			t.Parallel()
			rig := newRig(t, func(settings *balance.Settings) {
				settings.MayCancel, settings.Classes[0].LatencyTarget = may, hedgedTarget
			})
			slow, answer := make(chan bool, 1), make(chan bool)
			zone := func(name string) *nettest.ScriptedServer {
				return nettest.Serve(t, func(request *http1.Request) *http1.Response {
					if request.Header.Get(idField) == "twice" {
						select {
						case slow <- true: // the first attempt
							<-answer
							return nettest.OK("late")
						default:
						}
					}
					return nettest.OK("first")
				})
			}
			a, b := zone("a"), zone("b")
			rig.list(a.Address, b.Address)
			conn := nettest.Dial(t, rig.address)
			for i := range 9 { // then the usual time of a response is known
				askUntilAccepted(t, conn, getRequest(fmt.Sprint("before-", i)))
			}
			if response := askUntilAccepted(t, conn, getRequest("twice")); response.Status != 200 ||
				string(response.Body) != "first" {
				t.Errorf("%d %s", response.Status, response.Body)
			}
			attempts := 0
			for _, request := range append(a.Received(""), b.Received("")...) {
				if request.Header.Get(idField) == "twice" { // any other that a stall delays may be hedged too
					attempts++
				}
			}
			if attempts != 2 {
				t.Errorf("it was sent %d times, want two", attempts)
			}
			close(answer)
			for i := range 9 { // the late response is not passed on to any of these
				response := askUntilAccepted(t, conn, getRequest(fmt.Sprint("after-", i)))
				if string(response.Body) != "first" {
					t.Errorf("after it: %d %s", response.Status, response.Body)
				}
			}
			conn.Close()
			rig.awaitNoState(t)
		})
	}
}

// Where every server has rejected a request it is refused at once, for it never ran; where the last attempt
// broke off, what must not run twice has failed.
func TestNoServerLeftToAttempt(t *testing.T) {
	away := &http1.Response{Status: 503, Header: http1.Header{{Name: "X-Not-Processed", Value: "1"}}}
	for name, test := range map[string]struct {
		responses []*http1.Response
		want      string
	}{
		"turned away":           {[]*http1.Response{away, away, away}, "503 refused"},
		"broken off":            {[]*http1.Response{nettest.CloseConn}, "502 failed"},
		"away, then broken off": {[]*http1.Response{away, nettest.CloseConn}, "502 failed"},
		"away, then an error":   {[]*http1.Response{away, away, {Status: 500}}, "502 failed"},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newRig(t, nil)
			next := make(chan *http1.Response, 9)
			for _, response := range test.responses {
				next <- response
			}
			zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return <-next })
			rig.list(zone.Address, zone.Address)
			far := nettest.Dial(t, rig.address)
			began := time.Now()
			io.WriteString(far, postRequest("id", 1, "x"))
			if got := nextOutcome(far); got != test.want {
				t.Error(got)
			}
			if took := time.Since(began); took > 5*time.Second { // of a deadline of 30 s
				t.Errorf("after %v", took)
			}
			if n := len(zone.Received("")); n != len(test.responses) || len(next) > 0 {
				t.Errorf("%d attempts came, want %d", n, len(test.responses))
			}
			far.Close()
			rig.awaitNoState(t)
		})
	}
}

// Where a server answers before the request is complete, and closes, its response is passed on or the attempt
// fails: the request is not sent again, and nothing is retained.
func TestResponseBeforeRequestIsComplete(t *testing.T) {
	for _, status := range []int{200, 500} {
		rig := newRig(t, nil)
		heads := make(chan bool, 9)
		zone := nettest.Listen(t, func(conn *connbuffer.Conn) {
			if _, _, err := http1.ReadRequestHead(conn.In); err == nil {
				heads <- true
				fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nContent-Length: 5\r\n\r\nearly", status)
			}
		})
		rig.list(zone, zone)
		conn := nettest.Dial(t, rig.address)
		go io.WriteString(conn, postRequest("id", 1<<20, strings.Repeat("x", 1<<20)))
		if got := nextOutcome(conn); got == "nothing" || got == "200 early" && status == 500 {
			t.Errorf("%d: %s", status, got)
		}
		if len(heads) != 1 {
			t.Errorf("%d: %d attempts", status, len(heads))
		}
		conn.Close()
		rig.awaitNoState(t)
	}
}

// A body may be as slow as each chunk of it arrives within a stall, whatever part of the coding is buffered
// already; the time-out of the head does not apply to it.
func TestStallTimeoutRestartsWithEachChunk(t *testing.T) {
	for _, size := range []int{1000, 100_000} { // buffered, and streamed
		rig := newRig(t, nil)
		limits := *rig.limits.Load()
		limits.HeadTimeout = 200 * time.Millisecond
		rig.SetLimits(limits)
		zone := nettest.Serve(t, func(request *http1.Request) *http1.Response {
			return nettest.OK(fmt.Sprint(len(request.Body)))
		})
		if size > http1.MaxBufferedBody {
			zone.Address = nettest.Listen(t, func(conn *connbuffer.Conn) {
				_, body, err := http1.ReadRequestHead(conn.In)
				if err == nil {
					n, _ := io.Copy(io.Discard, body)
					nettest.OK(fmt.Sprint(n)).Write(conn.Out)
					conn.Flush()
				}
			})
		}
		rig.list(zone.Address)
		conn := nettest.Dial(t, rig.address)
		text := strings.Replace(postRequest("id", 1, ""), "Content-Length: 1", "Transfer-Encoding: chunked", 1)
		io.WriteString(conn, text+fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)))
		time.Sleep(300 * time.Millisecond) // longer than the time-out of a head
		io.WriteString(conn, "1\r\nx\r\n")
		time.Sleep(300 * time.Millisecond)
		io.WriteString(conn, "0\r\n\r\n")
		if got, want := nextOutcome(conn), fmt.Sprint("200 ", size+1); got != want {
			t.Errorf("%d bytes: %s", size, got)
		}
	}
}

// A hedged attempt of a large request may be decided while the first waits for its connection. Its body can
// be read once: one of the two has all of it, and the other is never sent.
func TestUploadIsReadByOneAttempt(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			checkHedgedUpload(t, framing)
		})
	}
}

// checkHedgedUpload hedges a request with a large body of that framing.
func checkHedgedUpload(t *testing.T, framing string) {
	t.Helper()
	rig := newRig(t, func(settings *balance.Settings) { settings.Classes[0].LatencyTarget = hedgedTarget })
	bodies := make(chan string, 9)
	zone := nettest.Listen(t, func(conn *connbuffer.Conn) {
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
	rig.list(zone, zone)
	conn := nettest.Dial(t, rig.address)
	for i := range 9 {
		askUntilAccepted(t, conn, getRequest(fmt.Sprint("before-", i)))
	}
	nettest.Until(t, "all their attempts end", func() bool {
		rig.Server.mu.Lock()
		defer rig.Server.mu.Unlock()
		return len(rig.openIDs) == 0
	})
	rig.mu.Lock()
	from, both := rig.lookups, make(chan bool)
	rig.onLookup = func(n int) {
		switch n - from { // 1 and 3 as the attempts are decided, 2 and 4 right before their first bytes
		case 2:
			<-both
		case 4:
			close(both)
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
	nettest.Until(t, "it is accepted", func() bool { // as by askUntilAccepted, but a refusal ends the connection
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
	whole := 0
	for len(bodies) > 0 {
		switch got := <-bodies; {
		case got == "100000 100000 <nil>":
			whole++
		case strings.HasSuffix(got, "<nil>"):
			t.Errorf("taken for whole: %s", got)
		}
	}
	if whole != 1 {
		t.Errorf("%d whole ones came", whole)
	}
}

// A response that its server breaks off while it is streamed ends so that the client can tell, also where the
// end of the connection delimits it and more of the client's bytes wait behind the request.
func TestBrokenStreamResetsClient(t *testing.T) {
	for _, behind := range []string{"", "GET /api HTTP/1.0\r\n"} {
		rig := newRig(t, nil)
		passed := make(chan bool)
		zone := nettest.Listen(t, func(conn *connbuffer.Conn) {
			if _, err := http1.ReadRequest(conn.In); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 100_000))
			<-passed
			conn.Conn.(*net.TCPConn).SetLinger(0)
		})
		rig.list(zone)
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, strings.Replace(getRequest("id"), "HTTP/1.1", "HTTP/1.0", 1)+behind)
		response, body, err := http1.ReadResponseHead(conn.In, "GET")
		if err != nil || response.Status != 200 {
			t.Fatalf("%+v, %v", response, err)
		}
		if _, err := io.ReadFull(body, make([]byte, 70_000)); err != nil {
			t.Fatal(err)
		}
		close(passed)
		if n, err := io.Copy(io.Discard, body); err == nil {
			t.Errorf("behind %q: it ends after %d bytes as if it were whole", behind, 70_000+n)
		}
	}
}

// A client that goes away just as the last byte of its large body is sent is counted out again, whichever of
// the two is noticed first.
func TestClientGoneAsUploadCompletes(t *testing.T) {
	for _, leavesFirst := range []bool{true, false} {
		rig := newRig(t, nil)
		sent, left := make(chan bool, 1), make(chan bool)
		rig.onBodySent = func() {
			if leavesFirst {
				sent <- true
				<-left
			}
		}
		got := make(chan bool, 1)
		zone := nettest.Listen(t, func(conn *connbuffer.Conn) {
			if _, body, err := http1.ReadRequestHead(conn.In); err == nil {
				io.Copy(io.Discard, body)
				got <- true
				io.Copy(io.Discard, conn) // and no response
			}
		})
		rig.list(zone)
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, postRequest("id", 100_000, strings.Repeat("x", 100_000)))
		<-got
		if leavesFirst {
			<-sent
		} else {
			nettest.Until(t, "it counts", func() bool { return rig.Stats.InProgress.Load() == 1 })
		}
		conn.Close()
		nettest.Until(t, "it counts as gone", func() bool { return rig.Stats.ClientDisconnected.Load() == 1 })
		nettest.Until(t, "its connection is closed", func() bool {
			rig.Server.mu.Lock()
			defer rig.Server.mu.Unlock()
			return len(rig.clients) == 0
		})
		close(left)
		rig.awaitNoState(t)
	}
}
