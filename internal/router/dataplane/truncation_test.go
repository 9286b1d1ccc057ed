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

// truncateAt returns a handler that truncates the first response: it writes the first length bytes of the
// response of handle and closes the connection. All further requests are handled by next. The flag reports
// whether those bytes were the complete response.
func truncateAt(length int, handle, next handler) (handler, *atomic.Bool) {
	complete := new(atomic.Bool)
	first := func(req *http1.Request, w io.Writer) bool {
		var all bytes.Buffer
		handle(req, &all)
		complete.Store(length >= all.Len())
		w.Write(all.Bytes()[:min(length, all.Len())])
		return false
	}
	return inTurn(first, next), complete
}

// clientResult is what a client received in response to a request.
type clientResult struct {
	status    int // 0 if no head arrived
	body      string
	truncated bool // the body was truncated, or no head arrived
}

// awaitResult reads one response, complete or not.
func (c *testClient) awaitResult() clientResult {
	response, err := c.read()
	if response == nil {
		return clientResult{truncated: true}
	}
	return clientResult{response.Status, string(response.Body), err != nil}
}

// A server closes the connection after any number of bytes of its response. No client must take a truncated
// response for a complete one, no request that must not run twice may be sent again, and a resumable stream
// must be complete.
func TestResponseTruncatedAtEveryByte(t *testing.T) {
	plain, stream := respondOK("the body"), streamEvents(1, 3, true)
	for _, test := range []struct {
		route string
		first handler
		next  handler
		check func(got clientResult, complete bool, calls int) bool
	}{
		{"unsafe", plain, plain, func(got clientResult, complete bool, calls int) bool {
			return calls == 1 &&
				(complete && got == clientResult{200, "the body", false} || !complete && got.status == 502)
		}},
		{"safe", plain, plain, func(got clientResult, complete bool, calls int) bool {
			return got == clientResult{200, "the body", false} && (calls == 1) == complete
		}},
		{"stream", stream, resumesUntil(3), func(got clientResult, complete bool, calls int) bool {
			return got == clientResult{200, eventsText(1, 3), false} && (calls == 1) == complete
		}},
		{"firm", stream, stream, func(got clientResult, complete bool, calls int) bool {
			if complete {
				return calls == 1 && got == clientResult{200, eventsText(1, 3), false}
			}
			partial := got.truncated && got.body != "" && strings.HasPrefix(eventsText(1, 3), got.body)
			return calls == 1 && (got.status == 502 || partial)
		}},
	} {
		t.Run(test.route, func(t *testing.T) {
			t.Parallel()
			for length, complete := 0, false; !complete; length++ {
				handle, completeFlag := truncateAt(length, test.first, test.next)
				servers := newLookupServers(t, handle)
				rig := newRig(t, nil, servers...)
				client := rig.dial()
				client.send("POST", "/"+test.route+"/", "a", "")
				got := client.awaitResult()
				complete = completeFlag.Load()
				rig.awaitCallsEnded()
				if !test.check(got, complete, requestsReceived(servers)) {
					t.Fatalf("response truncated to %d bytes: %+v with %d calls", length, got, requestsReceived(servers))
				}
			}
		})
	}
}

// A prefill server that truncates its response at any byte costs at most one retry, and none once the head of
// its response has shown that it accepted the call. The decode server then prefills the prompt itself.
func TestPrefillResponseTruncatedAtEveryByte(t *testing.T) {
	for length, complete := 0, false; !complete; length++ {
		handle, completeFlag := truncateAt(length, respondHandle("h"), respondHandle("h"))
		prefillers := []*fakeServer{newFakeServer(t, "i-r", "language", catalog.Prefill, handle)}
		decoders := []*fakeServer{newFakeServer(t, "i-w", "language", catalog.Decode, streamEvents(1, 2, true))}
		rig := newRig(t, withRetrySlack(100), prefillers[0], decoders[0])
		response := rig.dial().do("POST", "/modelfirm/", "a", "prompt")
		rig.Assert(rig.proxy.Stats().Retries <= 1, qt.IsTrue)
		if complete = completeFlag.Load(); complete {
			rig.Assert(rig.proxy.Stats().Retries, qt.Equals, int64(0))
		}
		complete = completeFlag.Load()
		rig.Assert(string(response.Body), qt.Equals, eventsText(1, 2))
		rig.awaitCallsEnded()
		rig.Assert(len(decoders[0].got()), qt.Equals, 1)
		hasHandle := decoders[0].got()[0].Header.Get(kvFromHeader) != ""
		rig.Assert(hasHandle, qt.Equals, complete, qt.Commentf("%d bytes", length))
	}
}

// A stream is truncated twice, after every pair of events.
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
