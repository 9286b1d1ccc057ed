package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/scheduler"
)

func TestDisconnectEndsTheCall(t *testing.T) {
	ended := make(chan string, 9)
	beginning := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(event(1)))
		return neverAnswer(ended)(req, w)
	}
	for name, test := range map[string]struct {
		route  string
		answer handler
	}{
		"unsafe, before the answer": {"unsafe", neverAnswer(ended)},
		"safe, before the answer":   {"safe", neverAnswer(ended)},
		"within a stream":           {"stream", beginning},
		"within a firm stream":      {"firm", beginning},
	} {
		t.Run(name, func(t *testing.T) {
			servers := newLookupServers(t, test.answer)
			r := newRig(t, nil, servers...)
			p := r.dial()
			p.send("POST", "/"+test.route+"/", "a", "")
			r.eventually("it came", func() bool { return requestsReceived(servers) == 1 })
			p.Close()
			r.Assert(<-ended, qt.Equals, "a")
			r.awaitCallsEnded()
			r.eventually("the client is gone", func() bool { return len(r.proxy.connectedClients()) == 0 })
			r.Assert(requestsReceived(servers), qt.Equals, 1)
			r.Assert(r.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
			r.Assert(r.proxy.Stats().ClientsDisconnected, qt.Equals, int64(1))
		})
	}
}

// A client that has sent more than one request and disconnects is noticed as soon as any other. Otherwise
// its call would count as timed out.
func TestDisconnectBehindAPipelinedRequest(t *testing.T) {
	const next = "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: b\r\n"
	for _, route := range []string{"safe", "unsafe", "stream", "firm"} {
		for _, reset := range []bool{false, true} {
			for _, later := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, reset %t, later %t", route, reset, later), func(t *testing.T) {
					t.Parallel()
					gone := make(chan string, 9)
					s := newServer(t, "i-1", "lookup", "", neverAnswer(gone))
					r := newRig(t, nil, s)
					p := r.dial()
					first := fmt.Sprintf("POST /%s/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\n%s", route, length(""))
					if later {
						io.WriteString(p, first)
						r.eventually("it came", func() bool { return len(s.got()) == 1 })
						io.WriteString(p, next)
					} else {
						io.WriteString(p, first+next)
						r.eventually("it came", func() bool { return len(s.got()) == 1 })
					}
					if reset {
						p.Conn.(*net.TCPConn).SetLinger(0)
					}
					p.Close()
					r.Assert(<-gone, qt.Equals, "a")
					r.awaitCallsEnded()
					r.Assert(r.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
					r.eventually("the client is gone", func() bool { return len(r.proxy.connectedClients()) == 0 })
					r.Assert(s.got(), qt.HasLen, 1)
				})
			}
		}
	}
}

func TestDrainAnswersWhatWasRead(t *testing.T) {
	goOn := make(chan bool)
	s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		<-goOn
		return ok("done")(req, w)
	})
	r := newRig(t, nil, s)
	p, slow, idle := r.dial(), r.dial(), r.dial()
	r.Assert(idle.ask("GET", "/nowhere/", "i", "").Close, qt.IsFalse)
	p.send("POST", "/unsafe/", "a", "")
	io.WriteString(slow, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: b\r\nContent-Le")
	r.eventually("it came", func() bool { return len(s.got()) == 1 })
	r.eventually("all are there", func() bool { return len(r.proxy.connectedClients()) == 3 })

	r.proxy.Drain()
	r.proxy.Drain()
	_, err := idle.in.ReadByte() // it is closed after a little while, without a request
	r.Assert(err, qt.Equals, io.EOF)

	late := r.dial() // the listener is still there
	late.send("POST", "/unsafe/", "c", "")
	io.WriteString(slow, "ngth: 2\r\n\r\nhi")
	r.eventually("they came", func() bool { return len(s.got()) == 3 })
	r.listener.Close()
	close(goOn)
	for _, p := range []*testClient{p, slow, late} {
		answer, err := p.read()
		r.Assert(err, qt.IsNil)
		r.Assert(string(answer.Body), qt.Equals, "done")
		r.Assert(answer.Close, qt.IsTrue)
	}
	r.awaitEmpty()
	r.Assert(r.proxy.connectedClients(), qt.HasLen, 0)
}

// awaitEmpty waits until every client has disconnected.
func (r *rig) awaitEmpty() {
	r.Helper()
	end := time.Now().Add(testTimeout)
	r.proxy.Wait(end, end)
	r.Assert(r.proxy.connectedClients(), qt.HasLen, 0)
}

// drainLate begins a drain and lets it look as if it had begun that long ago.
func (r *rig) drainLate(ago time.Duration) {
	r.proxy.Drain()
	r.proxy.mu.Lock()
	defer r.proxy.mu.Unlock()
	r.proxy.drainStarted = time.Now().Add(-ago)
}

// A request that is read late in a drain may last longer than the process: its client is told to send it
// elsewhere, and no server gets it.
func TestLateRequestsOfADrainAreRejected(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", ok("done"))
	r := newRig(t, nil, s)
	slow := r.dial()
	io.WriteString(slow, "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\nContent-Le")
	r.eventually("it is there", func() bool { return len(r.proxy.connectedClients()) == 1 })
	r.drainLate(drainAcceptTime + time.Millisecond)
	io.WriteString(slow, "ngth: 2\r\n\r\nhi")
	answer, err := slow.read()
	r.Assert(err, qt.IsNil)
	r.Assert(answer.Status, qt.Equals, 503)
	r.Assert(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	r.Assert(answer.Close, qt.IsTrue)
	r.awaitEmpty()
	r.Assert(s.got(), qt.HasLen, 0)
}

// A stream that began before a drain did not say that its connection ends. Late in the drain the connection
// accepts no further request all the same.
func TestKeepAliveConnectionsEndLateInADrain(t *testing.T) {
	goOn := make(chan bool)
	s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(event(1)))
		<-goOn
		io.WriteString(w, chunk(event(2))+"0\r\n\r\n")
		return true
	})
	r := newRig(t, nil, s)
	p := r.dial()
	p.send("POST", "/stream/", "a", "")
	r.eventually("its first event has passed", func() bool { _, err := p.in.Peek(1); return err == nil })
	r.drainLate(drainAcceptTime + time.Millisecond)
	close(goOn)
	answer, err := p.read()
	r.Assert(err, qt.IsNil)
	r.Assert(answer.Close, qt.IsFalse)
	p.send("POST", "/stream/", "b", "")
	if answer, err := p.read(); err == nil {
		r.Assert(answer.Status, qt.Equals, 503)
	}
	r.awaitEmpty()
	r.Assert(s.got(), qt.HasLen, 1)
}

func TestWaitAbortsRequestsInFlight(t *testing.T) {
	ended := make(chan string, 9)
	s := newServer(t, "i-1", "lookup", "", neverAnswer(ended))
	r := newRig(t, nil, s)
	p := r.dial()
	p.send("POST", "/unsafe/", "a", "")
	r.eventually("it came", func() bool { return len(s.got()) == 1 })
	r.proxy.Drain()
	r.proxy.Wait(time.Now().Add(100*time.Millisecond), time.Now().Add(testTimeout))
	answer, err := p.read()
	r.Assert(err, qt.IsNil)
	r.Assert(answer.Status, qt.Equals, 504)
	<-ended
}

func TestRequestsReadInADrainOfAnIdleConnection(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", ok("x"))
	r := newRig(t, nil, s)
	p := r.dial()
	r.Assert(p.ask("GET", "/safe/", "a", "").Close, qt.IsFalse)
	r.proxy.Drain()
	answer := p.ask("GET", "/safe/", "b", "")
	r.Assert(answer.Status, qt.Equals, 200)
	r.Assert(answer.Close, qt.IsTrue)
	_, err := p.in.ReadByte()
	r.Assert(err, qt.Equals, io.EOF)
	r.awaitEmpty()
}

func TestServerConnectionsAreDividedAmongProxies(t *testing.T) {
	ended := make(chan string, 9)
	s := newServer(t, "i-1", "lookup", "", neverAnswer(ended))
	r := newRig(t, func(_ *agentsettings.Settings, state *fakeState) { state.proxies = 50 }, s) // 100 / 50 each
	var waiting []*testClient
	for range 2 {
		p := r.dial()
		p.send("POST", "/unsafe/", "a", "")
		waiting = append(waiting, p)
	}
	r.eventually("they came", func() bool { return len(s.got()) == 2 })
	r.Assert(r.dial().ask("POST", "/unsafe/", "b", "").Status, qt.Equals, 503)
	r.Assert(s.got(), qt.HasLen, 2)
	for _, p := range waiting {
		p.Close()
		<-ended
	}
}

func TestConnectionsToUnlistedServersAreClosed(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", ok("x"))
	r := newRig(t, nil, s)
	r.Assert(r.dial().ask("POST", "/unsafe/", "a", "").Status, qt.Equals, 200)
	r.state.mu.Lock()
	r.state.table = tableOf(nil)
	r.state.mu.Unlock()
	r.eventually("its connections are closed", func() bool {
		r.proxy.pool.sweep()
		r.proxy.pool.mu.Lock()
		defer r.proxy.pool.mu.Unlock()
		return len(r.proxy.pool.servers) == 0
	})
}

// The bytes behind the last request that is answered must not take the response with them.
func TestResponseSurvivesWhatFollowsIt(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", ok("x"))
	r := newRig(t, nil, s)
	p := r.dial()
	p.send("POST", "/unsafe/", "a", "", "Connection: close")
	p.send("POST", "/unsafe/", "b", strings.Repeat("x", 50_000))
	answer, err := p.read()
	r.Assert(err, qt.IsNil)
	r.Assert(answer.Status, qt.Equals, 200)
	_, err = p.in.ReadByte()
	r.Assert(err, qt.Equals, io.EOF)
	r.Assert(s.got(), qt.HasLen, 1)
}

func TestPanicEndsOneConnectionOnly(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", ok("x"))
	r := newRig(t, nil, s)
	r.chooser.panics.Store(true)
	p := r.dial()
	p.send("POST", "/unsafe/", "a", "")
	_, err := p.read()
	r.Assert(err, qt.Not(qt.IsNil))
	r.chooser.panics.Store(false)
	r.Assert(r.dial().ask("POST", "/unsafe/", "b", "").Status, qt.Equals, 200)
	r.eventually("the connection is removed", func() bool { return len(r.proxy.connectedClients()) == 1 })
}

// Whatever was forwarded to a server is answered completely, though idle connections are closed meanwhile.
func TestDrainUnderLoad(t *testing.T) {
	for range 5 {
		s := newServer(t, "i-1", "lookup", "", ok("done"))
		r := newRig(t, nil, s)
		var under sync.WaitGroup
		answered := make(chan string, 1<<16)
		halfWay := make(chan bool, 1<<16)
		for n := range 16 {
			under.Go(func() {
				p := &testClient{C: r.C}
				for i := range 200 {
					id := fmt.Sprintf("c%d-%d", n, i)
					if i == 100 {
						halfWay <- true
					}
					if p.Conn == nil && !p.connect(r.address) {
						return // the listener is closed
					}
					p.post("unsafe", id, "x")
					answer, err := p.read()
					if err == nil && string(answer.Body) == "done" {
						answered <- id
					}
					if err != nil || answer.Close {
						p.Close()
						p.Conn = nil
					}
				}
			})
		}
		<-halfWay
		r.proxy.Drain()
		for range 8 {
			<-halfWay
		}
		r.listener.Close()
		r.awaitEmpty()
		under.Wait()
		close(answered)
		got := map[string]bool{}
		for id := range answered {
			got[id] = true
		}
		for _, req := range s.got() {
			id := req.Header.Get(tryIDHeader)
			r.Assert(got[id], qt.IsTrue, qt.Commentf("%s came to the server and was not answered", id))
		}
	}
}

// A process that was not scheduled for a while, or was frozen, is late with the responses that were due
// meanwhile. It sends them all the same: to end the connection would tell the client nothing.
func TestLateResponsesAreSent(t *testing.T) {
	r := newRig(t, nil)
	near, far := net.Pipe()
	defer far.Close()
	late := &client{proxy: r.proxy, socket: &socket{Conn: near}}
	req := &request{Request: &http1.Request{Method: "GET"}, tryID: "a", deadline: time.Now().Add(-time.Second)}
	go func() {
		defer near.Close()
		late.socket.SetWriteDeadline(req.writeDeadline())
		late.sendLocalReply(req, errNoRoute)
	}()
	answer, err := (&testClient{Conn: far, in: bufio.NewReader(far)}).read()
	r.Assert(err, qt.IsNil)
	r.Assert(answer.Status, qt.Equals, 404)
}
