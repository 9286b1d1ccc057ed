package dataplane

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// prefillsPrompt answers as a prefill server does.
func prefillsPrompt(handle string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		if req.Method == "DELETE" {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\n", length(""))
			return true
		}
		body := fmt.Sprintf(`{"claim_ticket":%q,"tokens":1460,"edition":1}`, handle)
		fmt.Fprint(w, head(req, 200, "Content-Type: application/json"), length(body), body)
		return true
	}
}

// pair starts prefillers and decoders that share a handler each.
func newModelServers(t *testing.T, read, write handler) (prefillers, decoders []*server) {
	t.Helper()
	for _, n := range []string{"1", "2", "3"} {
		prefillers = append(prefillers, newServer(t, "i-r"+n, "language", catalog.Prefill, read))
		decoders = append(decoders, newServer(t, "i-w"+n, "language", catalog.Decode, write))
	}
	return prefillers, decoders
}

func TestSplitsPrefillFromDecode(t *testing.T) {
	prefillers, decoders := newModelServers(t, prefillsPrompt("3fa0"), events(1, 5, true))
	r := newRig(t, nil, append(prefillers, decoders...)...)
	p := r.dial()
	for i := range 3 {
		answer := p.ask("POST", "/modelfirm/x", fmt.Sprint("a", i), "prompt", "Cresshub-Tokens: 1460,80")
		r.Assert(answer.Status, qt.Equals, 200)
		r.Assert(string(answer.Body), qt.Equals, eventsText(1, 5))
	}
	r.Assert(prefillers[0].got(), qt.HasLen, 3)
	r.Assert(decoders[0].got(), qt.HasLen, 3)
	read, write := prefillers[0].got()[0], decoders[0].got()[0]
	r.Assert(read.Header.Get(stageHeader), qt.Equals, "reading")
	r.Assert(read.Header.Get(kvFromHeader), qt.Equals, "")
	r.Assert(read.Header.Get(expectServerHeader), qt.Equals, "i-r1")
	r.Assert(write.Header.Get(kvFromHeader), qt.Equals, prefillers[0].Address+"/3fa0")
	r.Assert(write.Header.Get(stageHeader), qt.Equals, "")
	r.Assert(write.Header.Get(expectServerHeader), qt.Equals, "i-w1")
	for _, req := range []*http1.Request{read, write} {
		r.Assert(req.Target, qt.Equals, "/modelfirm/x")
		r.Assert(string(req.Body), qt.Equals, "prompt")
		r.Assert(req.Header.Get(tryIDHeader), qt.Equals, "a0")
	}
	r.awaitCallsEnded()
	r.Assert(r.proxy.Stats().Retries, qt.Equals, int64(0))
	r.Assert(r.proxy.Stats().Dialled, qt.Equals, int64(2))
}

func TestWhatFollowsAFailedPrefillOrDecode(t *testing.T) {
	handle, written := prefillsPrompt("h"), events(1, 2, true)
	expired := status(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 1,0,8")
	read, write, serve := scheduler.Prefill, scheduler.Decode, scheduler.Serve
	for _, test := range []struct {
		name    string
		route   string
		read    []handler
		write   []handler
		slack   float64
		status  int
		roles   []scheduler.Role // of the calls that came, prefill first
		retries int64
		freed   int
	}{
		{"prefill rejected", "modelfirm", []handler{full, handle}, []handler{written}, 100, 200,
			[]scheduler.Role{read, read, write}, 1, 0},
		{"prefill rejected and no retry left", "modelfirm", []handler{full}, []handler{written}, 0, 503,
			[]scheduler.Role{read}, 0, 0},
		{"prefill rejected and one attempt allowed", "single", []handler{full}, []handler{written}, 100, 503,
			[]scheduler.Role{read}, 0, 0},
		{"prefill broken off and no retry left", "modelfirm", []handler{breakOff}, []handler{written}, 0, 503,
			[]scheduler.Role{read}, 0, 0},
		{"prefill broken off and a retry left", "modelfirm", []handler{breakOff, handle}, []handler{written},
			100, 200, []scheduler.Role{read, read, write}, 2, 0},
		{"prefill broken off and one attempt allowed", "single", []handler{breakOff}, []handler{written},
			100, 200, []scheduler.Role{read, serve}, 1, 0},
		{"prefill answered without a handle", "modelfirm", []handler{ok("{}")}, []handler{written}, 0, 200,
			[]scheduler.Role{read, serve}, 0, 0},
		{"prefill answered 500", "modelfirm", []handler{failure500}, []handler{written}, 0, 200,
			[]scheduler.Role{read, serve}, 0, 0},
		{"prefill at a replaced server", "modelfirm", []handler{replaced, handle}, []handler{written}, 100, 200,
			[]scheduler.Role{read, read, write}, 1, 0},
		{"handle expired", "modelfirm", []handler{handle}, []handler{expired, written}, 100, 200,
			[]scheduler.Role{read, write, serve}, 1, 1},
		{"handle expired and no retry left", "modelfirm", []handler{handle}, []handler{expired}, 0, 503,
			[]scheduler.Role{read, write}, 0, 1},
		{"decode rejected", "modelfirm", []handler{handle}, []handler{full, written}, 100, 200,
			[]scheduler.Role{read, write, write}, 1, 0},
		{"decode rejected by all", "modelfirm", []handler{handle}, []handler{full}, 100, 503,
			[]scheduler.Role{read, write, write, write}, 2, 1},
		{"decode broken off", "modelfirm", []handler{handle}, []handler{breakOff, written}, 100, 502,
			[]scheduler.Role{read, write}, 0, 1},
		{"decode of an idempotent request broken off", "model", []handler{handle}, []handler{breakOff, written},
			100, 200, []scheduler.Role{read, write, serve}, 1, 1},
		{"stream broken off and resumed", "model", []handler{handle},
			[]handler{streams("s1", false, event(1)), resumesUntil(2)}, 100, 200,
			[]scheduler.Role{read, write, serve}, 1,
			0},
	} {
		t.Run(test.name, func(t *testing.T) {
			prefillers, decoders := newModelServers(t, inTurn(test.read...), inTurn(test.write...))
			r := newRig(t, slack(test.slack), append(prefillers, decoders...)...)
			answer := r.dial().ask("POST", "/"+test.route+"/", "a", "prompt")
			r.Assert(answer.Status, qt.Equals, test.status)
			if test.status == 200 {
				r.Assert(string(answer.Body), qt.Equals, eventsText(1, 2))
			}
			r.awaitCallsEnded()
			r.eventually("handles are released", func() bool { return releasedHandles(prefillers) == test.freed })
			r.Assert(roles(prefillers, decoders), qt.DeepEquals, test.roles)
			r.Assert(r.proxy.Stats().Retries, qt.Equals, test.retries)
		})
	}
}

// releasedHandles is how many calls to release a handle arrived.
func releasedHandles(prefillers []*server) (count int) {
	for _, s := range prefillers {
		for _, req := range s.got() {
			if req.Method == "DELETE" && req.Target == "/api/kv-handle/h" {
				count++
			}
		}
	}
	return count
}

// roles tells the roles of all calls that came.
func roles(prefillers, decoders []*server) (roles []scheduler.Role) {
	for _, s := range append(prefillers, decoders...) {
		for _, req := range s.got() {
			switch {
			case req.Method == "DELETE":
			case req.Header.Get(stageHeader) != "":
				roles = append(roles, scheduler.Prefill)
			case req.Header.Get(kvFromHeader) != "":
				roles = append(roles, scheduler.Decode)
			default:
				roles = append(roles, scheduler.Serve)
			}
		}
	}
	return roles
}

func TestPrefillThatTimesOutIsNotRepeated(t *testing.T) {
	t.Parallel()
	ended := make(chan string, 9)
	prefillers, decoders := newModelServers(t, neverAnswer(ended), events(1, 2, true))
	r := newRig(t, nil, append(prefillers, decoders...)...)
	answer := r.dial().ask("POST", "/modelfirm/", "a", "prompt", "Cresshub-Deadline-Ms: 1000")
	r.Assert(answer.Status, qt.Equals, 200)
	r.Assert(<-ended, qt.Equals, "a")
	r.Assert(roles(prefillers, decoders), qt.DeepEquals, []scheduler.Role{scheduler.Prefill, scheduler.Serve})
}

func TestWithoutPrefillOrDecodeServers(t *testing.T) {
	_, decoders := newModelServers(t, breakOff, events(1, 2, true))
	r := newRig(t, nil, decoders...)
	r.Assert(r.dial().ask("POST", "/modelfirm/", "a", "").Status, qt.Equals, 200)
	r.Assert(roles(nil, decoders), qt.DeepEquals, []scheduler.Role{scheduler.Serve})

	prefillers, _ := newModelServers(t, prefillsPrompt("h"), breakOff)
	r = newRig(t, nil, prefillers...)
	r.Assert(r.dial().ask("POST", "/modelfirm/", "a", "").Status, qt.Equals, 503)
	r.eventually("the handle is released", func() bool { return releasedHandles(prefillers) == 1 })
}

func TestClientDisconnectsDuringPrefillOrDecode(t *testing.T) {
	ended := make(chan string, 9)
	t.Run("during prefill", func(t *testing.T) {
		prefillers, decoders := newModelServers(t, neverAnswer(ended), breakOff)
		r := newRig(t, nil, append(prefillers, decoders...)...)
		p := r.dial()
		p.send("POST", "/model/", "a", "prompt")
		r.eventually("it came", func() bool { return len(prefillers[0].got()) == 1 })
		p.Close()
		r.Assert(<-ended, qt.Equals, "a")
		r.awaitCallsEnded()
		r.Assert(roles(prefillers, decoders), qt.DeepEquals, []scheduler.Role{scheduler.Prefill})
		r.Assert(r.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
	})
	t.Run("during decode", func(t *testing.T) {
		prefillers, decoders := newModelServers(t, prefillsPrompt("h"), neverAnswer(ended))
		r := newRig(t, nil, append(prefillers, decoders...)...)
		p := r.dial()
		p.send("POST", "/model/", "a", "prompt")
		r.eventually("it came", func() bool { return len(decoders[0].got()) == 1 })
		p.Close()
		r.Assert(<-ended, qt.Equals, "a")
		r.eventually("the handle is released", func() bool { return releasedHandles(prefillers) == 1 })
		r.awaitCallsEnded()
		r.Assert(roles(prefillers, decoders), qt.DeepEquals, []scheduler.Role{scheduler.Prefill, scheduler.Decode})
		r.Assert(r.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Served, scheduler.Abandoned})
	})
}

// twice answers each request as h does, and right before each response but the first on a connection it sends
// the previous one once more.
func twice(h handler) handler {
	var mu sync.Mutex
	before := map[io.Writer]string{}
	return func(req *http1.Request, w io.Writer) bool {
		var text strings.Builder
		goesOn := h(req, &text)
		mu.Lock()
		surplus := before[w]
		before[w] = text.String()
		mu.Unlock()
		io.WriteString(w, surplus+text.String())
		return goesOn
	}
}

// A server that rejects a call a second time, too late, does not reject the next call, which runs: else the
// request would run twice or be rejected though it has run.
func TestSurplusRejectionIsNotTheNextOnes(t *testing.T) {
	expired := status(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 1,0,8")
	prefiller := newServer(t, "i-r", "language", catalog.Prefill, prefillsPrompt("h"))
	var decoders []*server
	for _, id := range []string{"i-w1", "i-w2"} {
		decoders = append(decoders, newServer(t, id, "language", catalog.Decode,
			twice(inTurn(expired, events(1, 2, true)))))
	}
	r := newRig(t, nil, append(decoders, prefiller)...)
	answer := r.dial().ask("POST", "/modelfirm/", "a", "prompt")
	r.Assert(answer.Status, qt.Equals, 200)
	r.Assert(string(answer.Body), qt.Equals, eventsText(1, 2))
	r.Assert(decoders[0].got(), qt.HasLen, 2) // the second one ran
	r.Assert(decoders[1].got(), qt.HasLen, 0)
}
