package dataplane

import (
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
)

// deadlineOf returns the deadline in the header of a call in milliseconds, 0 if there is none.
func deadlineOf(req *http1.Request) int { return parseCount(req.Header.Get(deadlineHeader)) }

// Every call tells its server how much of the client's deadline is left, for safe and unsafe requests and for
// streams. In a retry that is less by the time that the previous call took.
func TestEveryCallCarriesTheTimeLeft(t *testing.T) {
	ended := make(chan string, 9)
	startStreamAndStall := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
		return neverAnswer(ended)(req, w)
	}
	for _, test := range []struct {
		name, route   string
		first, second handler
		minFirstCall  int // least duration of the first call in milliseconds
	}{
		{"stalled", "safe", neverAnswer(ended), respondOK("x"), 1500},
		{"stalled before the stream", "stream", neverAnswer(ended), streamEvents(1, 3, true), 1500},
		{"stalled within the stream", "stream", startStreamAndStall, resumesUntil(3), 1000},
		{"full", "unsafe", rejectFull, respondOK("x"), 0},
		{"full", "firm", rejectFull, streamEvents(1, 3, true), 0},
		{"server replaced", "unsafe", rejectReplaced, respondOK("x"), 0},
	} {
		t.Run(test.route+" "+test.name, func(t *testing.T) {
			t.Parallel()
			servers := newLookupServers(t, inTurn(test.first, test.second))
			rig := newRig(t, nil, servers...)
			rig.useMinResponseTimeout(test.route)
			rig.useMinStreamTimeout(test.route)
			response := rig.dial().do("POST", "/"+test.route+"/", "a", "", "Cresshub-Deadline-Ms: 15000")
			rig.Assert(response.Status, qt.Equals, 200)
			calls := allReceived(servers)
			rig.Assert(calls, qt.HasLen, 2)
			first, second := deadlineOf(calls[0]), deadlineOf(calls[1])
			rig.Assert(first > 0 && first <= 15000, qt.IsTrue, qt.Commentf("%d", first))
			// The first call starts after the request has arrived and before its deadline header is written.
			rig.Assert(second > 0 && second <= 15000-test.minFirstCall, qt.IsTrue,
				qt.Commentf("%d after %d", second, first))
			rig.Assert(second <= first, qt.IsTrue, qt.Commentf("%d after %d", second, first))
		})
	}
}

func TestPrefillCallsCarryTheTimeLeft(t *testing.T) {
	t.Parallel()
	ended := make(chan string, 9)
	for _, prefill := range []handler{respondHandle("h"), neverAnswer(ended), rejectFull} {
		prefillers, decoders := newModelServers(t, inTurn(prefill, respondHandle("h")), streamEvents(1, 3, true))
		rig := newRig(t, nil, append(prefillers, decoders...)...)
		rig.useMinPrefillTimeout()
		response := rig.dial().do("POST", "/modelfirm/", "a", "prompt", "Cresshub-Deadline-Ms: 15000")
		rig.Assert(response.Status, qt.Equals, 200)
		previous := 15000
		for _, server := range append(prefillers, decoders...) {
			for _, req := range server.got() {
				rig.Assert(deadlineOf(req) > 0 && deadlineOf(req) <= previous, qt.IsTrue)
				previous = deadlineOf(req)
			}
		}
	}
}

// Requests without a deadline, with one that cannot be parsed, or with one beyond the route's timeout get the
// route's timeout.
func TestCallsWithoutADeadlineCarryTheTimeout(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, server)
	for i, fields := range [][]string{nil, {"Cresshub-Deadline-Ms: soon"}, {"Cresshub-Deadline-Ms: 90000"}} {
		rig.dial().do("POST", "/unsafe/", fmt.Sprint(i), "", fields...)
		deadline := deadlineOf(server.got()[i])
		rig.Assert(deadline > 0 && deadline <= int(routeTimeout.Milliseconds()), qt.IsTrue,
			qt.Commentf("%d", deadline))
	}
}

// A request ends by its route's timeout, even if the client's deadline is later, and whatever its server has
// sent so far.
func TestRouteTimeoutEndsEveryKindOfRequest(t *testing.T) {
	ended := make(chan string, 99)
	for name, partialResponse := range map[string]func(req *http1.Request) string{
		"nothing":        func(*http1.Request) string { return "" },
		"a part of head": func(req *http1.Request) string { return responseHead(req, 200, stamp) },
		"a part of body": func(req *http1.Request) string {
			return responseHead(req, 200, stamp) + contentLength("twice") + "half"
		},
		"an event": func(req *http1.Request) string { return streamHead(req, "s") + chunk(eventText(1)) },
	} {
		for _, route := range []string{"safe", "unsafe", "stream", "firm", "model", "modelfirm"} {
			t.Run(route+" "+name, func(t *testing.T) {
				t.Parallel()
				respondAndStall := func(req *http1.Request, w io.Writer) bool {
					io.WriteString(w, partialResponse(req))
					return neverAnswer(ended)(req, w)
				}
				server := newFakeServer(t, "i-1", "lookup", "", respondAndStall)
				prefiller := newFakeServer(t, "i-r", "language", catalog.Prefill, respondHandle("h"))
				decoder := newFakeServer(t, "i-w", "language", catalog.Decode, respondAndStall)
				rig := newRig(t, nil, server, prefiller, decoder)
				var got clientResult
				stalledServers := []*fakeServer{server, decoder}
				rig.retryUntilReceived(200*time.Millisecond, stalledServers, func(timeout time.Duration) int {
					rig.route(route).Timeout = timeout
					client := rig.dial()
					client.send("POST", "/"+route+"/", "a", "", "Cresshub-Deadline-Ms: 60000")
					got = client.awaitResult() // fails the test long before the client's deadline
					return got.status
				})
				if name == "an event" && got.status == 200 {
					rig.Assert(got.truncated, qt.IsTrue)
				} else {
					rig.Assert(got.status, qt.Equals, 504)
				}
				rig.Assert(<-ended, qt.Equals, "a")
				rig.awaitCallsEnded()
			})
		}
	}
}
