package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
	"cresshub/internal/testbed/nettest"
)

const stamp = "Cresshub-Server-Stamp: s"

var (
	rejectFull        = respondStatus(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 8,3,8")
	rejectReplaced    = respondStatus(421, "Cresshub-Not-Run: 1")
	respond500        = respondStatus(500, stamp)
	writeNonsense     = writeRaw("this is no HTTP\r\n\r\n")
	writeHalfResponse = writeRaw("HTTP/1.1 200 OK\r\nCresshub-Try-Id: a\r\n" + stamp +
		"\r\nContent-Length: 9\r\n\r\nhalf")
)

// closeAfter returns a handler that responds as handle does and then closes the connection.
func closeAfter(handle handler) handler {
	return func(req *http1.Request, w io.Writer) bool {
		handle(req, w)
		return false
	}
}

// The route of a request and the failure of a call determine whether the request is retried, and what the
// client is answered otherwise.
func TestRetriesAfterAFailedCall(t *testing.T) {
	good := respondOK("good")
	type testCase struct {
		name     string
		route    string
		answers  []handler // of the servers, in turn; the last one for all further calls
		status   int       // of the response to the client
		arrivals int       // calls that reach a server
		outcomes []scheduler.Outcome
	}
	served, broken, rejected, failed := scheduler.Served, scheduler.Broken, scheduler.Rejected, scheduler.Failed
	for _, test := range []testCase{
		{"reset", "unsafe", []handler{closeUnanswered, good}, 502, 1, []scheduler.Outcome{broken}},
		{"nonsense", "unsafe", []handler{writeNonsense, good}, 502, 1, []scheduler.Outcome{broken}},
		{"half a response", "unsafe", []handler{closeAfter(writeHalfResponse), good}, 502, 1,
			[]scheduler.Outcome{broken}},
		{"full", "unsafe", []handler{rejectFull, good}, 200, 2, []scheduler.Outcome{rejected, served}},
		{"full three times", "unsafe", []handler{rejectFull}, 503, 3,
			[]scheduler.Outcome{rejected, rejected, rejected}},
		{"full, then reset", "unsafe", []handler{rejectFull, closeUnanswered, good}, 502, 2,
			[]scheduler.Outcome{rejected, broken}},
		{"429 with a promise", "unsafe", []handler{respondStatus(429, "Cresshub-Not-Run: 1"), good}, 200, 2,
			[]scheduler.Outcome{rejected, served}},
		{"replaced", "unsafe", []handler{rejectReplaced, good}, 200, 2,
			[]scheduler.Outcome{scheduler.Misdirected, served}},
		{"replaced without Cresshub-Not-Run", "unsafe", []handler{respondStatus(421), good}, 200, 2,
			[]scheduler.Outcome{scheduler.Misdirected, served}},
		{"replaced three times", "unsafe", []handler{rejectReplaced}, 503, 3,
			[]scheduler.Outcome{scheduler.Misdirected, scheduler.Misdirected, scheduler.Misdirected}},
		{"503 without a promise", "unsafe", []handler{respondStatus(503), good}, 502, 1,
			[]scheduler.Outcome{broken}},
		{"429 without a promise", "unsafe", []handler{respondStatus(429), good}, 502, 1,
			[]scheduler.Outcome{broken}},
		{"408 without a promise", "unsafe", []handler{respondStatus(408), good}, 502, 1,
			[]scheduler.Outcome{broken}},
		{"its own failure", "unsafe", []handler{respond500, good}, 500, 1, []scheduler.Outcome{failed}},
		{"its own deadline", "unsafe", []handler{respondStatus(504), good}, 504, 1, []scheduler.Outcome{failed}},
		{"no stamp", "unsafe", []handler{respondStatus(200), good}, 502, 1, []scheduler.Outcome{broken}},
		{"encoded", "unsafe", []handler{respondStatus(200, stamp, "Content-Encoding: gzip"), good}, 502, 1,
			[]scheduler.Outcome{broken}},
		{"not found", "unsafe", []handler{respondStatus(404), good}, 404, 1, []scheduler.Outcome{served}},
		{"a request without an id", "unsafe", []handler{respondStatus(400, "Cresshub-Not-Run: 1"), good}, 400, 1,
			[]scheduler.Outcome{served}},
		{"a firm stream broken before its first event", "firm", []handler{closeUnanswered, good}, 502, 1,
			[]scheduler.Outcome{broken}},

		{"reset", "safe", []handler{closeUnanswered, good}, 200, 2, []scheduler.Outcome{broken, served}},
		{"nonsense", "safe", []handler{writeNonsense, good}, 200, 2, []scheduler.Outcome{broken, served}},
		{"half a response", "safe", []handler{closeAfter(writeHalfResponse), good}, 200, 2,
			[]scheduler.Outcome{broken, served}},
		{"reset three times", "safe", []handler{closeUnanswered}, 502, 3,
			[]scheduler.Outcome{broken, broken, broken}},
		{"reset, then full", "safe", []handler{closeUnanswered, rejectFull}, 502, 3,
			[]scheduler.Outcome{broken, rejected, rejected}},
		{"its own failure", "safe", []handler{respond500, good}, 200, 2, []scheduler.Outcome{failed, served}},
		{"its own failure three times", "safe", []handler{respond500}, 500, 3,
			[]scheduler.Outcome{failed, failed, failed}},
		{"its own failure, then reset", "safe", []handler{respond500, closeUnanswered}, 500, 3,
			[]scheduler.Outcome{failed, broken, broken}},
		{"503 without a promise", "safe", []handler{respondStatus(503), good}, 200, 2,
			[]scheduler.Outcome{broken, served}},
		{"a stream broken before its first event", "stream", []handler{closeUnanswered, good}, 200, 2,
			[]scheduler.Outcome{broken, served}},
	} {
		t.Run(test.route+" "+test.name, func(t *testing.T) {
			servers := newLookupServers(t, inTurn(test.answers...))
			rig := newRig(t, nil, servers...)
			response := rig.dial().do("POST", "/"+test.route+"/", "a", "once")
			rig.Assert(response.Status, qt.Equals, test.status)
			rig.Assert(response.Header.Get(tryIDHeader), qt.Equals, "a")
			rig.Assert(response.Header.Get("Retry-After") != "", qt.Equals, test.status == 503)
			rig.Assert(response.Header.Get(notRunHeader) == "" || response.Status == 400, qt.IsTrue)
			rig.Assert(requestsReceived(servers), qt.Equals, test.arrivals)
			rig.awaitCallsEnded()
			rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, test.outcomes)
			rig.Assert(rig.proxy.Stats().Retries, qt.Equals, int64(test.arrivals-1))
		})
	}
}

func TestReplacedServersAreReported(t *testing.T) {
	servers := newLookupServers(t, inTurn(rejectReplaced, respondOK("x")))
	rig := newRig(t, nil, servers...)
	rig.Assert(rig.dial().do("POST", "/unsafe/", "a", "").Status, qt.Equals, 200)
	rig.Assert(rig.state.Replaced(), qt.DeepEquals, []string{"i-1"})
}

func TestExhaustedRetryBudgetEndsRetries(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer handler
		status int
	}{
		{"reset", closeUnanswered, 502}, {"full", rejectFull, 503}, {"its own failure", respond500, 500},
	} {
		t.Run(test.name, func(t *testing.T) {
			servers := newLookupServers(t, test.answer)
			rig := newRig(t, withRetrySlack(0), servers...)
			rig.Assert(rig.dial().do("GET", "/safe/", "a", "").Status, qt.Equals, test.status)
			rig.Assert(requestsReceived(servers), qt.Equals, 1)
			rig.awaitCallsEnded()
		})
	}
}

// newRefusingServer returns a server whose process has ended: its address refuses connections.
func newRefusingServer(t *testing.T, id string) *fakeServer {
	t.Helper()
	return &fakeServer{Server: &catalog.Server{ID: id, Service: "lookup", Slots: 8, State: catalog.Ready,
		Address: nettest.RefusingAddress(t)}}
}

func TestCallsToUnreachableServersAreNotCountedAsAttempts(t *testing.T) {
	refusing := newRefusingServer(t, "i-0")
	running := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
	rig := newRig(t, withRetrySlack(0), refusing, running)
	rig.Assert(rig.dial().do("POST", "/unsafe/", "a", "").Status, qt.Equals, 200)
	rig.awaitCallsEnded()
	rig.Assert(rig.chooser.outcomes(), qt.DeepEquals,
		[]scheduler.Outcome{scheduler.Unreachable, scheduler.Served})

	rig = newRig(t, nil, refusing)
	rig.Assert(rig.dial().do("POST", "/unsafe/", "a", "").Status, qt.Equals, 503)
}

func TestTimedOutCallIsRetriedOnlyIfSafe(t *testing.T) {
	ended := make(chan string, 9)
	for _, test := range []struct {
		name, route      string
		deadline         time.Duration
		status, arrivals int
	}{
		{"not idempotent", "unsafe", 300 * time.Millisecond, 504, 1},
		{"no time for another server", "safe", 300 * time.Millisecond, 504, 1},
		{"another server", "safe", 15 * time.Second, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			servers := newLookupServers(t, inTurn(neverAnswer(ended), respondOK("x")))
			rig := newRig(t, nil, servers...)
			rig.useMinResponseTimeout(test.route)
			var response *http1.Response
			rig.retryUntilReceived(test.deadline, servers, func(deadline time.Duration) int {
				response = rig.dial().do("POST", "/"+test.route+"/", "a", "",
					fmt.Sprintf("Cresshub-Deadline-Ms: %d", deadline.Milliseconds()))
				return response.Status
			})
			rig.Assert(response.Status, qt.Equals, test.status)
			<-ended // the connection of the timed-out call is closed
			rig.Assert(requestsReceived(servers), qt.Equals, test.arrivals)
			rig.awaitCallsEnded()
			// Earlier outcomes may be of calls that did not reach a server.
			outcomes := rig.chooser.outcomes()
			rig.Assert(outcomes[len(outcomes)-test.arrivals], qt.Equals, scheduler.TimedOut)
		})
	}
}

func TestLargeRequestRejectedBeforeItsBodyIsReadIsRetried(t *testing.T) {
	early := &fakeServer{Server: &catalog.Server{ID: "i-1", Service: "lookup", State: catalog.Ready}}
	early.listen(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		if req, _, err := http1.ReadRequestHead(in); err == nil {
			rejectFull(req, conn)
			io.Copy(io.Discard, in) // closing with unread bytes would reset the connection and the response
		}
	})
	late := newFakeServer(t, "i-2", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, early, late)
	response := rig.dial().do("POST", "/unsafe/", "a", strings.Repeat("x", 200_000))
	rig.Assert(response.Status, qt.Equals, 200)
	rig.Assert(late.got(), qt.HasLen, 1)
}

// A server whose address refuses connections is reported as suspect. One that accepts the connection and
// closes it without a response is not.
func TestServersThatRefuseConnectionsAreSuspected(t *testing.T) {
	rig := newRig(t, nil, newRefusingServer(t, "away"))
	rig.Assert(rig.dial().do("GET", "/safe/", "a", "").Status, qt.Equals, 503)
	rig.Assert(rig.state.suspected, qt.DeepEquals, []string{"away"})
	rig = newRig(t, nil, newFakeServer(t, "broken", "lookup", "", closeUnanswered))
	rig.Assert(rig.dial().do("POST", "/unsafe/", "a", "").Status, qt.Equals, 502)
	rig.Assert(rig.state.suspected, qt.HasLen, 0)
}
