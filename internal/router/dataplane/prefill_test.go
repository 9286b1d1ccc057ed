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

// respondHandle responds as a prefill server does: with a handle of the prefix cache, or to its release.
func respondHandle(handle string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		if req.Method == "DELETE" {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\n", contentLength(""))
			return true
		}
		body := fmt.Sprintf(`{"claim_ticket":%q,"tokens":1460,"edition":1}`, handle)
		fmt.Fprint(w, responseHead(req, 200, "Content-Type: application/json"), contentLength(body), body)
		return true
	}
}

// newModelServers starts three prefill and three decode servers. Those of a kind share a handler.
func newModelServers(t *testing.T, read, write handler) (prefillers, decoders []*fakeServer) {
	t.Helper()
	for _, n := range []string{"1", "2", "3"} {
		prefillers = append(prefillers, newFakeServer(t, "i-r"+n, "language", catalog.Prefill, read))
		decoders = append(decoders, newFakeServer(t, "i-w"+n, "language", catalog.Decode, write))
	}
	return prefillers, decoders
}

func TestSplitsPrefillFromDecode(t *testing.T) {
	prefillers, decoders := newModelServers(t, respondHandle("3fa0"), streamEvents(1, 5, true))
	rig := newRig(t, nil, append(prefillers, decoders...)...)
	client := rig.dial()
	for i := range 3 {
		response := client.do("POST", "/modelfirm/x", fmt.Sprint("a", i), "prompt", "Cresshub-Tokens: 1460,80")
		rig.Assert(response.Status, qt.Equals, 200)
		rig.Assert(string(response.Body), qt.Equals, eventsText(1, 5))
	}
	rig.Assert(prefillers[0].got(), qt.HasLen, 3)
	rig.Assert(decoders[0].got(), qt.HasLen, 3)
	read, write := prefillers[0].got()[0], decoders[0].got()[0]
	rig.Assert(read.Header.Get(stageHeader), qt.Equals, "reading")
	rig.Assert(read.Header.Get(kvFromHeader), qt.Equals, "")
	rig.Assert(read.Header.Get(expectServerHeader), qt.Equals, "i-r1")
	rig.Assert(write.Header.Get(kvFromHeader), qt.Equals, prefillers[0].Address+"/3fa0")
	rig.Assert(write.Header.Get(stageHeader), qt.Equals, "")
	rig.Assert(write.Header.Get(expectServerHeader), qt.Equals, "i-w1")
	for _, req := range []*http1.Request{read, write} {
		rig.Assert(req.Target, qt.Equals, "/modelfirm/x")
		rig.Assert(string(req.Body), qt.Equals, "prompt")
		rig.Assert(req.Header.Get(tryIDHeader), qt.Equals, "a0")
	}
	rig.awaitCallsEnded()
	rig.Assert(rig.proxy.Stats().Retries, qt.Equals, int64(0))
	rig.Assert(rig.proxy.Stats().Dialled, qt.Equals, int64(2))
}

func TestWhatFollowsAFailedPrefillOrDecode(t *testing.T) {
	handle, written := respondHandle("h"), streamEvents(1, 2, true)
	expired := respondStatus(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 1,0,8")
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
		{"prefill rejected", "modelfirm", []handler{rejectFull, handle}, []handler{written}, 100, 200,
			[]scheduler.Role{read, read, write}, 1, 0},
		{"prefill rejected and no retry left", "modelfirm", []handler{rejectFull}, []handler{written}, 0, 503,
			[]scheduler.Role{read}, 0, 0},
		{"prefill rejected and one attempt allowed", "single", []handler{rejectFull}, []handler{written}, 100, 503,
			[]scheduler.Role{read}, 0, 0},
		{"prefill broken off and no retry left", "modelfirm", []handler{closeUnanswered}, []handler{written}, 0,
			503,
			[]scheduler.Role{read}, 0, 0},
		{"prefill broken off and a retry left", "modelfirm", []handler{closeUnanswered, handle}, []handler{written},
			100, 200, []scheduler.Role{read, read, write}, 2, 0},
		{"prefill broken off and one attempt allowed", "single", []handler{closeUnanswered}, []handler{written},
			100, 200, []scheduler.Role{read, serve}, 1, 0},
		{"prefill answered without a handle", "modelfirm", []handler{respondOK("{}")}, []handler{written}, 0, 200,
			[]scheduler.Role{read, serve}, 0, 0},
		{"prefill answered 500", "modelfirm", []handler{respond500}, []handler{written}, 0, 200,
			[]scheduler.Role{read, serve}, 0, 0},
		{"prefill at a replaced server", "modelfirm", []handler{rejectReplaced, handle}, []handler{written}, 100,
			200,
			[]scheduler.Role{read, read, write}, 1, 0},
		{"handle expired", "modelfirm", []handler{handle}, []handler{expired, written}, 100, 200,
			[]scheduler.Role{read, write, serve}, 1, 1},
		{"handle expired and no retry left", "modelfirm", []handler{handle}, []handler{expired}, 0, 503,
			[]scheduler.Role{read, write}, 0, 1},
		{"decode rejected", "modelfirm", []handler{handle}, []handler{rejectFull, written}, 100, 200,
			[]scheduler.Role{read, write, write}, 1, 0},
		{"decode rejected by all", "modelfirm", []handler{handle}, []handler{rejectFull}, 100, 503,
			[]scheduler.Role{read, write, write, write}, 2, 1},
		{"decode broken off", "modelfirm", []handler{handle}, []handler{closeUnanswered, written}, 100, 502,
			[]scheduler.Role{read, write}, 0, 1},
		{"decode of an idempotent request broken off", "model", []handler{handle},
			[]handler{closeUnanswered, written},
			100, 200, []scheduler.Role{read, write, serve}, 1, 1},
		{"stream broken off and resumed", "model", []handler{handle},
			[]handler{streamChunks("s1", false, eventText(1)), resumesUntil(2)}, 100, 200,
			[]scheduler.Role{read, write, serve}, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			prefillers, decoders := newModelServers(t, inTurn(test.read...), inTurn(test.write...))
			rig := newRig(t, withRetrySlack(test.slack), append(prefillers, decoders...)...)
			response := rig.dial().do("POST", "/"+test.route+"/", "a", "prompt")
			rig.Assert(response.Status, qt.Equals, test.status)
			if test.status == 200 {
				rig.Assert(string(response.Body), qt.Equals, eventsText(1, 2))
			}
			rig.awaitCallsEnded()
			rig.eventually("handles are released", func() bool { return releasedHandles(prefillers) == test.freed })
			rig.Assert(receivedRoles(prefillers, decoders), qt.DeepEquals, test.roles)
			rig.Assert(rig.proxy.Stats().Retries, qt.Equals, test.retries)
		})
	}
}

// releasedHandles is how many calls to release a handle arrived.
func releasedHandles(prefillers []*fakeServer) (count int) {
	for _, server := range prefillers {
		for _, req := range server.got() {
			if req.Method == "DELETE" && req.Target == "/api/kv-handle/h" {
				count++
			}
		}
	}
	return count
}

// receivedRoles returns the roles of all calls that arrived, those of prefill servers first.
func receivedRoles(prefillers, decoders []*fakeServer) (roles []scheduler.Role) {
	for _, server := range append(prefillers, decoders...) {
		for _, req := range server.got() {
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
	prefillers, decoders := newModelServers(t, neverAnswer(ended), streamEvents(1, 2, true))
	rig := newRig(t, nil, append(prefillers, decoders...)...)
	response := rig.dial().do("POST", "/modelfirm/", "a", "prompt", "Cresshub-Deadline-Ms: 1000")
	rig.Assert(response.Status, qt.Equals, 200)
	rig.Assert(<-ended, qt.Equals, "a")
	rig.Assert(receivedRoles(prefillers, decoders), qt.DeepEquals,
		[]scheduler.Role{scheduler.Prefill, scheduler.Serve})
}

func TestDecodeServersSufficeAndPrefillServersDoNot(t *testing.T) {
	_, decoders := newModelServers(t, closeUnanswered, streamEvents(1, 2, true))
	rig := newRig(t, nil, decoders...)
	rig.Assert(rig.dial().do("POST", "/modelfirm/", "a", "").Status, qt.Equals, 200)
	rig.Assert(receivedRoles(nil, decoders), qt.DeepEquals, []scheduler.Role{scheduler.Serve})

	prefillers, _ := newModelServers(t, respondHandle("h"), closeUnanswered)
	rig = newRig(t, nil, prefillers...)
	rig.Assert(rig.dial().do("POST", "/modelfirm/", "a", "").Status, qt.Equals, 503)
	rig.eventually("the handle is released", func() bool { return releasedHandles(prefillers) == 1 })
}

func TestClientDisconnectsDuringPrefillOrDecode(t *testing.T) {
	ended := make(chan string, 9)
	t.Run("during prefill", func(t *testing.T) {
		prefillers, decoders := newModelServers(t, neverAnswer(ended), closeUnanswered)
		rig := newRig(t, nil, append(prefillers, decoders...)...)
		client := rig.dial()
		client.send("POST", "/model/", "a", "prompt")
		rig.eventually("it came", func() bool { return len(prefillers[0].got()) == 1 })
		client.Close()
		rig.Assert(<-ended, qt.Equals, "a")
		rig.awaitCallsEnded()
		rig.Assert(receivedRoles(prefillers, decoders), qt.DeepEquals, []scheduler.Role{scheduler.Prefill})
		rig.Assert(rig.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
	})
	t.Run("during decode", func(t *testing.T) {
		prefillers, decoders := newModelServers(t, respondHandle("h"), neverAnswer(ended))
		rig := newRig(t, nil, append(prefillers, decoders...)...)
		client := rig.dial()
		client.send("POST", "/model/", "a", "prompt")
		rig.eventually("it came", func() bool { return len(decoders[0].got()) == 1 })
		client.Close()
		rig.Assert(<-ended, qt.Equals, "a")
		rig.eventually("the handle is released", func() bool { return releasedHandles(prefillers) == 1 })
		rig.awaitCallsEnded()
		rig.Assert(receivedRoles(prefillers, decoders), qt.DeepEquals,
			[]scheduler.Role{scheduler.Prefill, scheduler.Decode})
		rig.Assert(rig.chooser.outcomes(), qt.DeepEquals,
			[]scheduler.Outcome{scheduler.Served, scheduler.Abandoned})
	})
}

// repeatPrevious handles each request as handle does, and right before each response but the first on a
// connection it sends the previous one once more.
func repeatPrevious(handle handler) handler {
	var mu sync.Mutex
	before := map[io.Writer]string{}
	return func(req *http1.Request, w io.Writer) bool {
		var text strings.Builder
		goesOn := handle(req, &text)
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
	expired := respondStatus(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 1,0,8")
	prefiller := newFakeServer(t, "i-r", "language", catalog.Prefill, respondHandle("h"))
	var decoders []*fakeServer
	for _, id := range []string{"i-w1", "i-w2"} {
		decoders = append(decoders, newFakeServer(t, id, "language", catalog.Decode,
			repeatPrevious(inTurn(expired, streamEvents(1, 2, true)))))
	}
	rig := newRig(t, nil, append(decoders, prefiller)...)
	response := rig.dial().do("POST", "/modelfirm/", "a", "prompt")
	rig.Assert(response.Status, qt.Equals, 200)
	rig.Assert(string(response.Body), qt.Equals, eventsText(1, 2))
	rig.Assert(decoders[0].got(), qt.HasLen, 2) // the second one ran
	rig.Assert(decoders[1].got(), qt.HasLen, 0)
}
