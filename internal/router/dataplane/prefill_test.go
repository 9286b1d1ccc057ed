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

// respondHandle responds as a prefill server does: with a handle of the prefix cache, and with an empty 200
// to the release of a handle.
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

// newModelServers starts three prefill servers and three decode servers. Servers of one role share a handler.
func newModelServers(t *testing.T, prefill, decode handler) (prefillers, decoders []*fakeServer) {
	t.Helper()
	for _, n := range []string{"1", "2", "3"} {
		prefillers = append(prefillers, newFakeServer(t, "i-r"+n, "language", catalog.Prefill, prefill))
		decoders = append(decoders, newFakeServer(t, "i-w"+n, "language", catalog.Decode, decode))
	}
	return prefillers, decoders
}

func TestSplitsPrefillFromDecode(t *testing.T) {
	prefillers, decoders := newModelServers(t, keepingAlive(respondHandle("3fa0")),
		keepingAlive(streamEvents(1, 5, true)))
	rig := newRig(t, nil, append(prefillers, decoders...)...)
	client := rig.dial()
	for i := range 3 {
		response := client.do("POST", "/modelfirm/x", fmt.Sprint("a", i), "prompt", "Cresshub-Tokens: 1460,80")
		rig.Assert(response.Status, qt.Equals, 200)
		rig.Assert(string(response.Body), qt.Equals, eventsText(1, 5))
	}
	rig.Assert(prefillers[0].got(), qt.HasLen, 3)
	rig.Assert(decoders[0].got(), qt.HasLen, 3)
	prefill, decode := prefillers[0].got()[0], decoders[0].got()[0]
	rig.Assert(prefill.Header.Get(stageHeader), qt.Equals, "reading")
	rig.Assert(prefill.Header.Get(kvFromHeader), qt.Equals, "")
	rig.Assert(prefill.Header.Get(expectServerHeader), qt.Equals, "i-r1")
	rig.Assert(decode.Header.Get(kvFromHeader), qt.Equals, prefillers[0].Address+"/3fa0")
	rig.Assert(decode.Header.Get(stageHeader), qt.Equals, "")
	rig.Assert(decode.Header.Get(expectServerHeader), qt.Equals, "i-w1")
	for _, req := range []*http1.Request{prefill, decode} {
		rig.Assert(req.Target, qt.Equals, "/modelfirm/x")
		rig.Assert(string(req.Body), qt.Equals, "prompt")
		rig.Assert(req.Header.Get(tryIDHeader), qt.Equals, "a0")
	}
	rig.awaitCallsEnded()
	rig.Assert(rig.proxy.Stats().Retries, qt.Equals, int64(0))
	rig.Assert(rig.proxy.Stats().Dialled, qt.Equals, int64(2))
}

func TestRetriesAfterAFailedPrefillOrDecode(t *testing.T) {
	handle, stream := respondHandle("h"), streamEvents(1, 2, true)
	expired := respondStatus(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 1,0,8")
	prefill, decode, serve := scheduler.Prefill, scheduler.Decode, scheduler.Serve
	for _, test := range []struct {
		name     string
		route    string
		prefill  []handler // of the prefill servers, in turn
		decode   []handler // of the decode servers, in turn
		slack    float64   // retry slack
		status   int
		roles    []scheduler.Role // of the calls that reached a server, prefill first
		retries  int64
		released int // handles released
	}{
		{
			name: "prefill rejected", route: "modelfirm",
			prefill: []handler{rejectFull, handle}, decode: []handler{stream},
			slack: 100, status: 200, roles: []scheduler.Role{prefill, prefill, decode}, retries: 1,
		},
		{
			name: "prefill rejected and no retry left", route: "modelfirm",
			prefill: []handler{rejectFull}, decode: []handler{stream},
			status: 503, roles: []scheduler.Role{prefill},
		},
		{
			name: "prefill rejected and one attempt allowed", route: "single",
			prefill: []handler{rejectFull}, decode: []handler{stream},
			slack: 100, status: 503, roles: []scheduler.Role{prefill},
		},
		{
			name: "prefill broken off and no retry left", route: "modelfirm",
			prefill: []handler{closeUnanswered}, decode: []handler{stream},
			status: 503, roles: []scheduler.Role{prefill},
		},
		{
			name: "prefill broken off and a retry left", route: "modelfirm",
			prefill: []handler{closeUnanswered, handle}, decode: []handler{stream},
			slack: 100, status: 200, roles: []scheduler.Role{prefill, prefill, decode}, retries: 2,
		},
		{
			name: "prefill broken off and one attempt allowed", route: "single",
			prefill: []handler{closeUnanswered}, decode: []handler{stream},
			slack: 100, status: 200, roles: []scheduler.Role{prefill, serve}, retries: 1,
		},
		{
			name: "prefill answered without a handle", route: "modelfirm",
			prefill: []handler{respondOK("{}")}, decode: []handler{stream},
			status: 200, roles: []scheduler.Role{prefill, serve},
		},
		{
			name: "prefill answered 500", route: "modelfirm",
			prefill: []handler{respond500}, decode: []handler{stream},
			status: 200, roles: []scheduler.Role{prefill, serve},
		},
		{
			name: "prefill at a replaced server", route: "modelfirm",
			prefill: []handler{rejectReplaced, handle}, decode: []handler{stream},
			slack: 100, status: 200, roles: []scheduler.Role{prefill, prefill, decode}, retries: 1,
		},
		{
			name: "handle expired", route: "modelfirm",
			prefill: []handler{handle}, decode: []handler{expired, stream},
			slack: 100, status: 200, roles: []scheduler.Role{prefill, decode, serve}, retries: 1, released: 1,
		},
		{
			name: "handle expired and no retry left", route: "modelfirm",
			prefill: []handler{handle}, decode: []handler{expired},
			status: 503, roles: []scheduler.Role{prefill, decode}, released: 1,
		},
		{
			name: "decode rejected", route: "modelfirm",
			prefill: []handler{handle}, decode: []handler{rejectFull, stream},
			slack: 100, status: 200, roles: []scheduler.Role{prefill, decode, decode}, retries: 1,
		},
		{
			name: "decode rejected by all", route: "modelfirm",
			prefill: []handler{handle}, decode: []handler{rejectFull},
			slack: 100, status: 503, roles: []scheduler.Role{prefill, decode, decode, decode}, retries: 2, released: 1,
		},
		{
			name: "decode broken off", route: "modelfirm",
			prefill: []handler{handle}, decode: []handler{closeUnanswered, stream},
			slack: 100, status: 502, roles: []scheduler.Role{prefill, decode}, released: 1,
		},
		{
			name: "decode of an idempotent request broken off", route: "model",
			prefill: []handler{handle}, decode: []handler{closeUnanswered, stream},
			slack: 100, status: 200, roles: []scheduler.Role{prefill, decode, serve}, retries: 1, released: 1,
		},
		{
			name: "stream broken off and resumed", route: "model",
			prefill: []handler{handle}, decode: []handler{streamChunks("s1", false, eventText(1)), resumesUntil(2)},
			slack: 100, status: 200, roles: []scheduler.Role{prefill, decode, serve}, retries: 1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			prefillers, decoders := newModelServers(t, inTurn(test.prefill...), inTurn(test.decode...))
			rig := newRig(t, withRetrySlack(test.slack), append(prefillers, decoders...)...)
			response := rig.dial().do("POST", "/"+test.route+"/", "a", "prompt")
			rig.Assert(response.Status, qt.Equals, test.status)
			if test.status == 200 {
				rig.Assert(string(response.Body), qt.Equals, eventsText(1, 2))
			}
			rig.awaitCallsEnded()
			rig.eventually("handles are released", func() bool { return releasedHandles(prefillers) == test.released })
			rig.Assert(receivedRoles(prefillers, decoders), qt.DeepEquals, test.roles)
			rig.Assert(rig.proxy.Stats().Retries, qt.Equals, test.retries)
		})
	}
}

// releasedHandles returns how many calls that release the handle "h" have arrived.
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

// receivedRoles returns the roles of all calls that have arrived, those at prefill servers first.
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

func TestTimedOutPrefillIsNotRetried(t *testing.T) {
	t.Parallel()
	ended := make(chan string, 9)
	prefillers, decoders := newModelServers(t, neverAnswer(ended), streamEvents(1, 2, true))
	rig := newRig(t, nil, append(prefillers, decoders...)...)
	rig.useMinPrefillTimeout()
	response := rig.dial().do("POST", "/modelfirm/", "a", "prompt", "Cresshub-Deadline-Ms: 15000")
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
		rig.eventually("the prefill call has arrived", func() bool { return len(prefillers[0].got()) == 1 })
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
		rig.eventually("the decode call has arrived", func() bool { return len(decoders[0].got()) == 1 })
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

// repeatPrevious returns a handler that responds as handle does, but sends the previous response on the
// connection once more before each response except the first.
func repeatPrevious(handle handler) handler {
	var mu sync.Mutex
	previous := map[io.Writer]string{}
	return func(req *http1.Request, w io.Writer) bool {
		var text strings.Builder
		keepOpen := handle(req, &text)
		mu.Lock()
		surplus := previous[w]
		previous[w] = text.String()
		mu.Unlock()
		io.WriteString(w, surplus+text.String())
		return keepOpen
	}
}

// If a server sends the rejection of a call a second time, it must not be taken for the response to the next
// call, which runs. Otherwise the request would run twice, or be rejected although it has run.
func TestSurplusRejectionIsNotTakenForTheNextResponse(t *testing.T) {
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

// The proxy sets the Priority field of each call to a model server, whatever the client sent.
func TestModelServersGetThePriorityOfTheRoute(t *testing.T) {
	prefillers, decoders := newModelServers(t, respondHandle("h"), inTurn(rejectFull, streamEvents(1, 2, true)))
	rig := newRig(t, nil, append(prefillers, decoders...)...)
	rig.route("model").Priority = 3
	rig.dial().do("POST", "/model/", "a", "prompt", "Priority: 0", "priority: 1")
	calls := append(allReceived(prefillers), allReceived(decoders)...)
	rig.Assert(calls, qt.HasLen, 3)
	for _, call := range calls {
		rig.Assert(call.Header.Get(priorityHeader), qt.Equals, "3")
		rig.Assert(call.Header.Repeated(priorityHeader), qt.Equals, "")
	}
}
