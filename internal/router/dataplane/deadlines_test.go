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
		io.WriteString(w, streamHead(req, "s")+chunk(event(1)))
		return neverAnswer(ended)(req, w)
	}
	for _, test := range []struct {
		name, route   string
		first, second handler
		shorter       int // milliseconds that the first call takes at least, from its start on
	}{
		{"stalled", "safe", neverAnswer(ended), ok("x"), 1500},
		{"stalled before the stream", "stream", neverAnswer(ended), events(1, 3, true), 1500},
		{"stalled within the stream", "stream", begins, resumesUntil(3), 1000},
		{"full", "unsafe", full, ok("x"), 0},
		{"full", "firm", full, events(1, 3, true), 0},
		{"server replaced", "unsafe", replaced, ok("x"), 0},
	} {
		t.Run(test.route+" "+test.name, func(t *testing.T) {
			t.Parallel()
			servers := newLookupServers(t, inTurn(test.first, test.second))
			r := newRig(t, nil, servers...)
			answer := r.dial().ask("POST", "/"+test.route+"/", "a", "", "Cresshub-Deadline-Ms: 4500")
			r.Assert(answer.Status, qt.Equals, 200)
			first, second := deadlineOf(servers[0].got()[0]), deadlineOf(servers[1].got()[0])
			r.Assert(first > 0 && first <= 4500, qt.IsTrue, qt.Commentf("%d", first))
			// The first call's time runs from its start, which is after the request's arrival and before its
			// deadline is written.
			r.Assert(second > 0 && second <= 4500-test.shorter, qt.IsTrue, qt.Commentf("%d after %d", second, first))
			r.Assert(second <= first, qt.IsTrue, qt.Commentf("%d after %d", second, first))
			r.Assert(requestsReceived(servers), qt.Equals, 2)
		})
	}
}

func TestPrefillCallsCarryTheTimeLeft(t *testing.T) {
	t.Parallel()
	ended := make(chan string, 9)
	for _, read := range []handler{prefillsPrompt("h"), neverAnswer(ended), full} {
		prefillers, decoders := newModelServers(t, inTurn(read, prefillsPrompt("h")), events(1, 3, true))
		r := newRig(t, nil, append(prefillers, decoders...)...)
		answer := r.dial().ask("POST", "/modelfirm/", "a", "prompt", "Cresshub-Deadline-Ms: 1500")
		r.Assert(answer.Status, qt.Equals, 200)
		before := 1500
		for _, s := range append(prefillers, decoders...) {
			for _, req := range s.got() {
				r.Assert(deadlineOf(req) > 0 && deadlineOf(req) <= before, qt.IsTrue)
				before = deadlineOf(req)
			}
		}
	}
}

// A client that names no deadline, or none that can be parsed, has the route's timeout.
func TestCallsWithoutADeadlineCarryTheTimeout(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", ok("x"))
	r := newRig(t, nil, s)
	for i, fields := range [][]string{nil, {"Cresshub-Deadline-Ms: soon"}, {"Cresshub-Deadline-Ms: 90000"}} {
		r.dial().ask("POST", "/unsafe/", fmt.Sprint(i), "", fields...)
		told := deadlineOf(s.got()[i])
		r.Assert(told > 0 && told <= 5000, qt.IsTrue, qt.Commentf("%d", told))
	}
}

// A request that would last longer than its route's timeout is ended by then, however long the client would
// wait and whatever its server has sent so far.
func TestRouteTimeoutEndsEveryKindOfRequest(t *testing.T) {
	ended := make(chan string, 99)
	for name, part := range map[string]func(req *http1.Request) string{
		"nothing":        func(*http1.Request) string { return "" },
		"a part of head": func(req *http1.Request) string { return head(req, 200, stamp) },
		"a part of body": func(req *http1.Request) string {
			return head(req, 200, stamp) + length("twice") + "half"
		},
		"an event": func(req *http1.Request) string { return streamHead(req, "s") + chunk(event(1)) },
	} {
		for _, route := range []string{"safe", "unsafe", "stream", "firm", "model", "modelfirm"} {
			t.Run(route+" "+name, func(t *testing.T) {
				t.Parallel()
				answer := func(req *http1.Request, w io.Writer) bool {
					io.WriteString(w, part(req))
					return neverAnswer(ended)(req, w)
				}
				s := newServer(t, "i-1", "lookup", "", answer)
				reader := newServer(t, "i-r", "language", catalog.Prefill, prefillsPrompt("h"))
				writer := newServer(t, "i-w", "language", catalog.Decode, answer)
				r := newRig(t, nil, s, reader, writer)
				r.state.config.Match("h", "/"+route+"/").Timeout = 200 * time.Millisecond
				p := r.dial()
				p.send("POST", "/"+route+"/", "a", "", "Cresshub-Deadline-Ms: 60000")
				got := p.result() // far within the client's deadline, or the test fails
				if name == "an event" && got.status == 200 {
					r.Assert(got.cut, qt.IsTrue)
				} else {
					r.Assert(got.status, qt.Equals, 504)
				}
				r.Assert(<-ended, qt.Equals, "a")
				r.awaitCallsEnded()
			})
		}
	}
}
