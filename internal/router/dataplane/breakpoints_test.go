package dataplane

import (
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
)

// breakOffAt answers the first request with the first point bytes of what handle writes and then closes the
// connection, and all others as next does. The flag says whether those bytes were the complete response.
func breakOffAt(point int, handle, next handler) (handler, *atomic.Bool) {
	whole := new(atomic.Bool)
	first := func(req *http1.Request, w io.Writer) bool {
		var all bytes.Buffer
		handle(req, &all)
		whole.Store(point >= all.Len())
		w.Write(all.Bytes()[:min(point, all.Len())])
		return false
	}
	return inTurn(first, next), whole
}

// clientResult is what a client got in response to a request.
type clientResult struct {
	status int // 0 where no head arrived
	body   string
	cut    bool // the body was truncated, or no head arrived
}

// awaitResult reads one response, complete or not.
func (c *testClient) awaitResult() clientResult {
	response, err := c.read()
	if response == nil {
		return clientResult{cut: true}
	}
	return clientResult{response.Status, string(response.Body), err != nil}
}

// A server that breaks off after any number of bytes of its response: no client takes a part for the whole,
// no request that may run once is sent twice, and a stream that may be resumed is complete.
func TestResponseBrokenOffAtEveryPoint(t *testing.T) {
	plain, stream := respondOK("the body"), streamEvents(1, 3, true)
	for _, test := range []struct {
		route string
		first handler
		next  handler
		check func(g clientResult, whole bool, calls int) bool
	}{
		{"unsafe", plain, plain, func(g clientResult, whole bool, calls int) bool {
			return calls == 1 && (whole && g == clientResult{200, "the body", false} || !whole && g.status == 502)
		}},
		{"safe", plain, plain, func(g clientResult, whole bool, calls int) bool {
			return g == clientResult{200, "the body", false} && (calls == 1) == whole
		}},
		{"stream", stream, resumesUntil(3), func(g clientResult, whole bool, calls int) bool {
			return g == clientResult{200, eventsText(1, 3), false} && (calls == 1) == whole
		}},
		{"firm", stream, stream, func(g clientResult, whole bool, calls int) bool {
			if whole {
				return calls == 1 && g == clientResult{200, eventsText(1, 3), false}
			}
			begun := g.cut && g.body != "" && strings.HasPrefix(eventsText(1, 3), g.body)
			return calls == 1 && (g.status == 502 || begun)
		}},
	} {
		t.Run(test.route, func(t *testing.T) {
			t.Parallel()
			for point, whole := 0, false; !whole; point++ {
				answers, all := breakOffAt(point, test.first, test.next)
				servers := newLookupServers(t, answers)
				rig := newRig(t, nil, servers...)
				client := rig.dial()
				client.send("POST", "/"+test.route+"/", "a", "")
				g := client.awaitResult()
				whole = all.Load()
				rig.awaitCallsEnded()
				if !test.check(g, whole, requestsReceived(servers)) {
					t.Fatalf("broken off after %d bytes: %+v with %d calls", point, g, requestsReceived(servers))
				}
			}
		})
	}
}

// A prefill server that breaks off at any point costs one retry at most, and none once the head of its
// response has said that it accepted the call: the decode server prefills the prompt itself.
func TestPrefillBrokenOffAtEveryPoint(t *testing.T) {
	for point, whole := 0, false; !whole; point++ {
		answers, all := breakOffAt(point, respondHandle("h"), respondHandle("h"))
		prefillers := []*fakeServer{newFakeServer(t, "i-r", "language", catalog.Prefill, answers)}
		decoders := []*fakeServer{newFakeServer(t, "i-w", "language", catalog.Decode, streamEvents(1, 2, true))}
		rig := newRig(t, withRetrySlack(100), prefillers[0], decoders[0])
		response := rig.dial().do("POST", "/modelfirm/", "a", "prompt")
		rig.Assert(rig.proxy.Stats().Retries <= 1, qt.IsTrue)
		if whole = all.Load(); whole {
			rig.Assert(rig.proxy.Stats().Retries, qt.Equals, int64(0))
		}
		whole = all.Load()
		rig.Assert(string(response.Body), qt.Equals, eventsText(1, 2))
		rig.awaitCallsEnded()
		rig.Assert(len(decoders[0].got()), qt.Equals, 1)
		handed := decoders[0].got()[0].Header.Get(kvFromHeader) != ""
		rig.Assert(handed, qt.Equals, whole, qt.Commentf("%d bytes", point))
	}
}

// Two breaks of one stream, at every pair of events.
func TestStreamIsResumedTwice(t *testing.T) {
	for first := range 5 {
		for second := first; second < 6; second++ {
			servers := newLookupServers(t,
				inTurn(streamEvents(1, first, false), streamEvents(first+1, second, false), resumesUntil(6)))
			rig := newRig(t, nil, servers...)
			rig.Assert(string(rig.dial().do("POST", "/stream/", "a", "").Body), qt.Equals, eventsText(1, 6))
		}
	}
}
