package dataplane

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

const stamp = "Cresshub-Server-Stamp: s"

var (
	full         = status(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 8,3,8")
	replaced     = status(421, "Cresshub-Not-Run: 1")
	failure500   = status(500, stamp)
	nonsense     = raw("this is no HTTP\r\n\r\n")
	halfResponse = raw("HTTP/1.1 200 OK\r\nCresshub-Try-Id: a\r\n" + stamp + "\r\nContent-Length: 9\r\n\r\nhalf")
)

// breaksOffAfter writes as its handler does and then breaks off.
func breaksOffAfter(h handler) handler {
	return func(req *http1.Request, w io.Writer) bool {
		h(req, w)
		return false
	}
}

func TestWhatFollowsAFailedCall(t *testing.T) {
	good := ok("good")
	type row struct {
		name     string
		route    string
		answers  []handler // of the servers, in turn; the last one for all further calls
		status   int
		arrivals int
		outcomes []scheduler.Outcome
	}
	served, broken, not, failed := scheduler.Served, scheduler.Broken, scheduler.Rejected, scheduler.Failed
	for _, test := range []row{
		{"reset", "unsafe", []handler{breakOff, good}, 502, 1, []scheduler.Outcome{broken}},
		{"nonsense", "unsafe", []handler{nonsense, good}, 502, 1, []scheduler.Outcome{broken}},
		{"half a response", "unsafe", []handler{breaksOffAfter(halfResponse), good}, 502, 1,
			[]scheduler.Outcome{broken}},
		{"full", "unsafe", []handler{full, good}, 200, 2, []scheduler.Outcome{not, served}},
		{"full three times", "unsafe", []handler{full}, 503, 3, []scheduler.Outcome{not, not, not}},
		{"full, then reset", "unsafe", []handler{full, breakOff, good}, 502, 2, []scheduler.Outcome{not, broken}},
		{"429 with a promise", "unsafe", []handler{status(429, "Cresshub-Not-Run: 1"), good}, 200, 2,
			[]scheduler.Outcome{not, served}},
		{"replaced", "unsafe", []handler{replaced, good}, 200, 2,
			[]scheduler.Outcome{scheduler.Misdirected, served}},
		{"replaced without Cresshub-Not-Run", "unsafe", []handler{status(421), good}, 200, 2,
			[]scheduler.Outcome{scheduler.Misdirected, served}},
		{"replaced three times", "unsafe", []handler{replaced}, 503, 3,
			[]scheduler.Outcome{scheduler.Misdirected, scheduler.Misdirected, scheduler.Misdirected}},
		{"503 without a promise", "unsafe", []handler{status(503), good}, 502, 1, []scheduler.Outcome{broken}},
		{"429 without a promise", "unsafe", []handler{status(429), good}, 502, 1, []scheduler.Outcome{broken}},
		{"408 without a promise", "unsafe", []handler{status(408), good}, 502, 1, []scheduler.Outcome{broken}},
		{"its own failure", "unsafe", []handler{failure500, good}, 500, 1, []scheduler.Outcome{failed}},
		{"its own deadline", "unsafe", []handler{status(504), good}, 504, 1, []scheduler.Outcome{failed}},
		{"no stamp", "unsafe", []handler{status(200), good}, 502, 1, []scheduler.Outcome{broken}},
		{"encoded", "unsafe", []handler{status(200, stamp, "Content-Encoding: gzip"), good}, 502, 1,
			[]scheduler.Outcome{broken}},
		{"not found", "unsafe", []handler{status(404), good}, 404, 1, []scheduler.Outcome{served}},
		{"a request without an id", "unsafe", []handler{status(400, "Cresshub-Not-Run: 1"), good}, 400, 1,
			[]scheduler.Outcome{served}},
		{"a firm stream broken before its first event", "firm", []handler{breakOff, good}, 502, 1,
			[]scheduler.Outcome{broken}},

		{"reset", "safe", []handler{breakOff, good}, 200, 2, []scheduler.Outcome{broken, served}},
		{"nonsense", "safe", []handler{nonsense, good}, 200, 2, []scheduler.Outcome{broken, served}},
		{"half a response", "safe", []handler{breaksOffAfter(halfResponse), good}, 200, 2,
			[]scheduler.Outcome{broken, served}},
		{"reset three times", "safe", []handler{breakOff}, 502, 3, []scheduler.Outcome{broken, broken, broken}},
		{"reset, then full", "safe", []handler{breakOff, full}, 502, 3, []scheduler.Outcome{broken, not, not}},
		{"its own failure", "safe", []handler{failure500, good}, 200, 2, []scheduler.Outcome{failed, served}},
		{"its own failure three times", "safe", []handler{failure500}, 500, 3,
			[]scheduler.Outcome{failed, failed, failed}},
		{"its own failure, then reset", "safe", []handler{failure500, breakOff}, 500, 3,
			[]scheduler.Outcome{failed, broken, broken}},
		{"503 without a promise", "safe", []handler{status(503), good}, 200, 2,
			[]scheduler.Outcome{broken, served}},
		{"a stream broken before its first event", "stream", []handler{breakOff, good}, 200, 2,
			[]scheduler.Outcome{broken, served}},
	} {
		t.Run(test.route+" "+test.name, func(t *testing.T) {
			servers := newLookupServers(t, inTurn(test.answers...))
			r := newRig(t, nil, servers...)
			answer := r.dial().ask("POST", "/"+test.route+"/", "a", "once")
			r.Assert(answer.Status, qt.Equals, test.status)
			r.Assert(answer.Header.Get(tryIDHeader), qt.Equals, "a")
			r.Assert(answer.Header.Get("Retry-After") != "", qt.Equals, test.status == 503)
			r.Assert(answer.Header.Get(notRunHeader) == "" || answer.Status == 400, qt.IsTrue)
			r.Assert(requestsReceived(servers), qt.Equals, test.arrivals)
			r.awaitCallsEnded()
			r.Assert(r.chooser.outcomes(), qt.DeepEquals, test.outcomes)
			r.Assert(r.proxy.Stats().Retries, qt.Equals, int64(test.arrivals-1))
		})
	}
}

func TestReplacedServersAreReported(t *testing.T) {
	servers := newLookupServers(t, inTurn(replaced, ok("x")))
	r := newRig(t, nil, servers...)
	r.Assert(r.dial().ask("POST", "/unsafe/", "a", "").Status, qt.Equals, 200)
	r.Assert(r.state.Replaced(), qt.DeepEquals, []string{"i-1"})
}

func TestSpentBudgetEndsTheRetries(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer handler
		status int
	}{
		{"reset", breakOff, 502}, {"full", full, 503}, {"its own failure", failure500, 500},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := newLookupServers(t, test.answer)
			r := newRig(t, slack(0), servers...)
			r.Assert(r.dial().ask("GET", "/safe/", "a", "").Status, qt.Equals, test.status)
			r.Assert(requestsReceived(servers), qt.Equals, 1)
			r.awaitCallsEnded()
		})
	}
}

func TestUnreachableServersAreNoAttempts(t *testing.T) {
	dead := newServer(t, "i-0", "lookup", "", ok("x"))
	alive := newServer(t, "i-1", "lookup", "", ok("x")) // opened first: it may get the port that dead gives back
	dead.listener.Close()
	r := newRig(t, slack(0), dead, alive)
	r.Assert(r.dial().ask("POST", "/unsafe/", "a", "").Status, qt.Equals, 200)
	r.awaitCallsEnded()
	r.Assert(r.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Unreachable, scheduler.Served})

	r = newRig(t, nil, dead)
	r.Assert(r.dial().ask("POST", "/unsafe/", "a", "").Status, qt.Equals, 503)
}

func TestServerThatTimesOut(t *testing.T) {
	ended := make(chan string, 9)
	for _, test := range []struct {
		name, route, deadline string
		status, arrivals      int
	}{
		{"not idempotent", "unsafe", "300", 504, 1},
		{"no time for another server", "safe", "300", 504, 1},
		{"another server", "safe", "4000", 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			servers := newLookupServers(t, inTurn(neverAnswer(ended), ok("x")))
			r := newRig(t, nil, servers...)
			answer := r.dial().ask("POST", "/"+test.route+"/", "a", "", "Cresshub-Deadline-Ms: "+test.deadline)
			r.Assert(answer.Status, qt.Equals, test.status)
			r.Assert(requestsReceived(servers), qt.Equals, test.arrivals)
			<-ended // the connection does not outlive its request
			r.awaitCallsEnded()
			r.Assert(r.chooser.outcomes()[0], qt.Equals, scheduler.TimedOut)
		})
	}
}

func TestLargeRequestRejectedBeforeItIsRead(t *testing.T) {
	early := &server{Server: &catalog.Server{ID: "i-1", Service: "lookup", State: catalog.Ready}}
	early.listen(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		if req, _, err := http1.ReadRequestHead(in); err == nil {
			full(req, conn)
			io.Copy(io.Discard, in) // closing at once might swallow the answer
		}
	})
	late := newServer(t, "i-2", "lookup", "", ok("x"))
	r := newRig(t, nil, early, late)
	answer := r.dial().ask("POST", "/unsafe/", "a", strings.Repeat("x", 200_000))
	r.Assert(answer.Status, qt.Equals, 200)
	r.Assert(late.got(), qt.HasLen, 1)
}

// TestServersThatRefuseConnectionsAreSuspected reports a server whose process has ended, and no other.
func TestServersThatRefuseConnectionsAreSuspected(t *testing.T) {
	away := newServer(t, "away", "lookup", "", ok("x"))
	r := newRig(t, nil, away)
	away.listener.Close() // after the rig has its ports, or the proxy could be given this one and call itself
	r.Assert(r.dial().ask("GET", "/safe/", "a", "").Status, qt.Equals, 503)
	r.Assert(r.state.suspected, qt.DeepEquals, []string{"away"})
	r = newRig(t, nil, newServer(t, "broken", "lookup", "", breakOff))
	r.Assert(r.dial().ask("POST", "/unsafe/", "a", "").Status, qt.Equals, 502)
	r.Assert(r.state.suspected, qt.HasLen, 0)
}
