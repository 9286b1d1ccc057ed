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

// brokenAt answers the first request with so many bytes of what h writes and then breaks off, and the
// others as next does. It reports whether the complete response was written.
func brokenAt(point int, h, next handler) (handler, *atomic.Bool) {
	whole := new(atomic.Bool)
	first := func(req *http1.Request, w io.Writer) bool {
		var all bytes.Buffer
		h(req, &all)
		whole.Store(point >= all.Len())
		w.Write(all.Bytes()[:min(point, all.Len())])
		return false
	}
	return inTurn(first, next), whole
}

// result is what a client got.
type result struct {
	status int
	body   string
	cut    bool
}

func (p *testClient) result() result {
	answer, err := p.read()
	if answer == nil {
		return result{cut: true}
	}
	return result{answer.Status, string(answer.Body), err != nil}
}

// A server that breaks off after any number of bytes of its response: no client takes a part for the whole,
// no request that may run once is sent twice, and a stream that may be resumed is complete.
func TestResponseBrokenOffAtEveryPoint(t *testing.T) {
	plain, stream := ok("the body"), events(1, 3, true)
	for _, test := range []struct {
		route string
		first handler
		next  handler
		check func(g result, whole bool, calls int) bool
	}{
		{"unsafe", plain, plain, func(g result, whole bool, calls int) bool {
			return calls == 1 && (whole && g == result{200, "the body", false} || !whole && g.status == 502)
		}},
		{"safe", plain, plain, func(g result, whole bool, calls int) bool {
			return g == result{200, "the body", false} && (calls == 1) == whole
		}},
		{"stream", stream, resumesUntil(3), func(g result, whole bool, calls int) bool {
			return g == result{200, eventsText(1, 3), false} && (calls == 1) == whole
		}},
		{"firm", stream, stream, func(g result, whole bool, calls int) bool {
			if whole {
				return calls == 1 && g == result{200, eventsText(1, 3), false}
			}
			begun := g.cut && g.body != "" && strings.HasPrefix(eventsText(1, 3), g.body)
			return calls == 1 && (g.status == 502 || begun)
		}},
	} {
		t.Run(test.route, func(t *testing.T) {
			t.Parallel()
			for point, whole := 0, false; !whole; point++ {
				answers, all := brokenAt(point, test.first, test.next)
				servers := newLookupServers(t, answers)
				r := newRig(t, nil, servers...)
				p := r.dial()
				p.send("POST", "/"+test.route+"/", "a", "")
				g := p.result()
				whole = all.Load()
				r.awaitCallsEnded()
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
		answers, all := brokenAt(point, prefillsPrompt("h"), prefillsPrompt("h"))
		prefillers := []*server{newServer(t, "i-r", "language", catalog.Prefill, answers)}
		decoders := []*server{newServer(t, "i-w", "language", catalog.Decode, events(1, 2, true))}
		r := newRig(t, slack(100), prefillers[0], decoders[0])
		answer := r.dial().ask("POST", "/modelfirm/", "a", "prompt")
		r.Assert(r.proxy.Stats().Retries <= 1, qt.IsTrue)
		if whole = all.Load(); whole {
			r.Assert(r.proxy.Stats().Retries, qt.Equals, int64(0))
		}
		whole = all.Load()
		r.Assert(string(answer.Body), qt.Equals, eventsText(1, 2))
		r.awaitCallsEnded()
		r.Assert(len(decoders[0].got()), qt.Equals, 1)
		handed := decoders[0].got()[0].Header.Get(kvFromHeader) != ""
		r.Assert(handed, qt.Equals, whole, qt.Commentf("%d bytes", point))
	}
}

// Two breaks of one stream, at every pair of events.
func TestStreamIsResumedTwice(t *testing.T) {
	for first := range 5 {
		for second := first; second < 6; second++ {
			servers := newLookupServers(t,
				inTurn(events(1, first, false), events(first+1, second, false), resumesUntil(6)))
			r := newRig(t, nil, servers...)
			r.Assert(string(r.dial().ask("POST", "/stream/", "a", "").Body), qt.Equals, eventsText(1, 6))
		}
	}
}
