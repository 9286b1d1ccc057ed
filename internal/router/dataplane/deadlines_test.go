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

// deadlineOf is the time that a call was given, in milliseconds; 0 where none is told.
func deadlineOf(req *http1.Request) int { return parseCount(req.Header.Get(deadlineHeader)) }

// Every call tells its server what is left of the client's time: safe and unsafe requests, streams, prefill
// and what follows it, and a retry so much less as the previous call took.
func TestEveryCallCarriesTheTimeLeft(t *testing.T) {
	ended := make(chan string, 9)
	begins := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
		return neverAnswer(ended)(req, w)
	}
	for _, test := range []struct {
		name, route   string
		first, second handler
		shorter       int // milliseconds that the first call takes at least, from its start on
	}{
		{"stalled", "safe", neverAnswer(ended), respondOK("x"), 1500},
		{"stalled before the stream", "stream", neverAnswer(ended), streamEvents(1, 3, true), 1500},
		{"stalled within the stream", "stream", begins, resumesUntil(3), 1000},
		{"full", "unsafe", rejectFull, respondOK("x"), 0},
		{"full", "firm", rejectFull, streamEvents(1, 3, true), 0},
		{"server replaced", "unsafe", rejectReplaced, respondOK("x"), 0},
	} {
		t.Run(test.route+" "+test.name, func(t *testing.T) {
			t.Parallel()
			servers := newLookupServers(t, inTurn(test.first, test.second))
			rig := newRig(t, nil, servers...)
			rig.useResponseMinimum(test.route)
			rig.useStreamMinimum(test.route)
			response := rig.dial().do("POST", "/"+test.route+"/", "a", "", "Cresshub-Deadline-Ms: 15000")
			rig.Assert(response.Status, qt.Equals, 200)
			calls := allReceived(servers)
			rig.Assert(calls, qt.HasLen, 2)
			first, second := deadlineOf(calls[0]), deadlineOf(calls[1])
			rig.Assert(first > 0 && first <= 15000, qt.IsTrue, qt.Commentf("%d", first))
			// The first call's time runs from its start, which is after the request's arrival and before its
			// deadline is written.
			rig.Assert(second > 0 && second <= 15000-test.shorter, qt.IsTrue,
				qt.Commentf("%d after %d", second, first))
			rig.Assert(second <= first, qt.IsTrue, qt.Commentf("%d after %d", second, first))
		})
	}
}

func TestPrefillCallsCarryTheTimeLeft(t *testing.T) {
	t.Parallel()
	ended := make(chan string, 9)
	for _, read := range []handler{respondHandle("h"), neverAnswer(ended), rejectFull} {
		prefillers, decoders := newModelServers(t, inTurn(read, respondHandle("h")), streamEvents(1, 3, true))
		rig := newRig(t, nil, append(prefillers, decoders...)...)
		rig.usePrefillMinimum()
		response := rig.dial().do("POST", "/modelfirm/", "a", "prompt", "Cresshub-Deadline-Ms: 15000")
		rig.Assert(response.Status, qt.Equals, 200)
		before := 15000
		for _, server := range append(prefillers, decoders...) {
			for _, req := range server.got() {
				rig.Assert(deadlineOf(req) > 0 && deadlineOf(req) <= before, qt.IsTrue)
				before = deadlineOf(req)
			}
		}
	}
}

// A client that names no deadline, or none that can be parsed, has the route's timeout.
func TestCallsWithoutADeadlineCarryTheTimeout(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, server)
	for i, fields := range [][]string{nil, {"Cresshub-Deadline-Ms: soon"}, {"Cresshub-Deadline-Ms: 90000"}} {
		rig.dial().do("POST", "/unsafe/", fmt.Sprint(i), "", fields...)
		told := deadlineOf(server.got()[i])
		rig.Assert(told > 0 && told <= int(routeTimeout.Milliseconds()), qt.IsTrue, qt.Commentf("%d", told))
	}
}

// A request that would last longer than its route's timeout is ended by then, however long the client would
// wait and whatever its server has sent so far.
func TestRouteTimeoutEndsEveryKindOfRequest(t *testing.T) {
	ended := make(chan string, 99)
	for name, part := range map[string]func(req *http1.Request) string{
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
				answer := func(req *http1.Request, w io.Writer) bool {
					io.WriteString(w, part(req))
					return neverAnswer(ended)(req, w)
				}
				server := newFakeServer(t, "i-1", "lookup", "", answer)
				reader := newFakeServer(t, "i-r", "language", catalog.Prefill, respondHandle("h"))
				writer := newFakeServer(t, "i-w", "language", catalog.Decode, answer)
				rig := newRig(t, nil, server, reader, writer)
				var got clientResult
				timesOut := []*fakeServer{server, writer}
				rig.untilReceived(200*time.Millisecond, timesOut, func(timeout time.Duration) int {
					rig.route(route).Timeout = timeout
					client := rig.dial()
					client.send("POST", "/"+route+"/", "a", "", "Cresshub-Deadline-Ms: 60000")
					got = client.awaitResult() // far within the client's deadline, or the test fails
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
