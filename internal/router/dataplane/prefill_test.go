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

// readsPrompt answers as a reading server does.
func readsPrompt(handle string) handler {
	return func(q *http1.Request, w io.Writer) bool {
		if q.Method == "DELETE" {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\n", length(""))
			return true
		}
		body := fmt.Sprintf(`{"claim_ticket":%q,"tokens":1460,"edition":1}`, handle)
		fmt.Fprint(w, head(q, 200, "Content-Type: application/json"), length(body), body)
		return true
	}
}

// pair starts readers and writers that share a handler each.
func pair(t *testing.T, read, write handler) (readers, writers []*server) {
	for _, n := range []string{"1", "2", "3"} {
		readers = append(readers, newServer(t, "i-r"+n, "language", catalog.Prefill, read))
		writers = append(writers, newServer(t, "i-w"+n, "language", catalog.Decode, write))
	}
	return readers, writers
}

func TestSplitsReadingFromWriting(t *testing.T) {
	readers, writers := pair(t, readsPrompt("3fa0"), events(1, 5, true))
	r := newRig(t, nil, append(readers, writers...)...)
	p := r.dial()
	for i := range 3 {
		answer := p.ask("POST", "/modelfirm/x", fmt.Sprint("a", i), "prompt", "Cresshub-Tokens: 1460,80")
		r.Assert(answer.Status, qt.Equals, 200)
		r.Assert(string(answer.Body), qt.Equals, pieces(1, 5))
	}
	r.Assert(readers[0].got(), qt.HasLen, 3)
	r.Assert(writers[0].got(), qt.HasLen, 3)
	read, write := readers[0].got()[0], writers[0].got()[0]
	r.Assert(read.Header.Get(stageHeader), qt.Equals, "reading")
	r.Assert(read.Header.Get(kvFromHeader), qt.Equals, "")
	r.Assert(read.Header.Get(expectServerHeader), qt.Equals, "i-r1")
	r.Assert(write.Header.Get(kvFromHeader), qt.Equals, readers[0].Address+"/3fa0")
	r.Assert(write.Header.Get(stageHeader), qt.Equals, "")
	r.Assert(write.Header.Get(expectServerHeader), qt.Equals, "i-w1")
	for _, q := range []*http1.Request{read, write} {
		r.Assert(q.Target, qt.Equals, "/modelfirm/x")
		r.Assert(string(q.Body), qt.Equals, "prompt")
		r.Assert(q.Header.Get(tryIDHeader), qt.Equals, "a0")
	}
	r.awaitCallsEnded()
	r.Assert(r.proxy.Stats().Retries, qt.Equals, int64(0))
	r.Assert(r.proxy.Stats().Dialled, qt.Equals, int64(2))
}

func TestWhatFollowsAFailedSplit(t *testing.T) {
	handle, written := readsPrompt("h"), events(1, 2, true)
	lapsed := status(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 1,0,8")
	read, write, serve := scheduler.Prefill, scheduler.Decode, scheduler.Serve
	for _, test := range []struct {
		name    string
		route   string
		read    []handler
		write   []handler
		slack   float64
		status  int
		roles   []scheduler.Role // of the calls that came, readings first
		repeats int64
		freed   int
	}{
		{"a reader is full", "modelfirm", []handler{full, handle}, []handler{written}, 100, 200,
			[]scheduler.Role{read, read, write}, 1, 0},
		{"a reader is full and no repeat is left", "modelfirm", []handler{full}, []handler{written}, 0, 503,
			[]scheduler.Role{read}, 0, 0},
		{"a reader is full and one server is allowed", "single", []handler{full}, []handler{written}, 100, 503,
			[]scheduler.Role{read}, 0, 0},
		{"a reader breaks off and no repeat is left", "modelfirm", []handler{breakOff}, []handler{written}, 0, 503,
			[]scheduler.Role{read}, 0, 0},
		{"a reader breaks off and a repeat is left", "modelfirm", []handler{breakOff, handle}, []handler{written},
			100, 200, []scheduler.Role{read, read, write}, 2, 0},
		{"a reader breaks off and one server is allowed", "single", []handler{breakOff}, []handler{written},
			100, 200, []scheduler.Role{read, serve}, 1, 0},
		{"a reader talks nonsense", "modelfirm", []handler{ok("{}")}, []handler{written}, 0, 200,
			[]scheduler.Role{read, serve}, 0, 0},
		{"a reader fails", "modelfirm", []handler{failure500}, []handler{written}, 0, 200,
			[]scheduler.Role{read, serve}, 0, 0},
		{"a reader is another one", "modelfirm", []handler{elsewhere, handle}, []handler{written}, 100, 200,
			[]scheduler.Role{read, read, write}, 1, 0},
		{"the handle has lapsed", "modelfirm", []handler{handle}, []handler{lapsed, written}, 100, 200,
			[]scheduler.Role{read, write, serve}, 1, 1},
		{"the handle has lapsed and no repeat is left", "modelfirm", []handler{handle}, []handler{lapsed}, 0, 503,
			[]scheduler.Role{read, write}, 0, 1},
		{"a writer is full", "modelfirm", []handler{handle}, []handler{full, written}, 100, 200,
			[]scheduler.Role{read, write, write}, 1, 0},
		{"all writers are full", "modelfirm", []handler{handle}, []handler{full}, 100, 503,
			[]scheduler.Role{read, write, write, write}, 2, 1},
		{"a writer breaks off", "modelfirm", []handler{handle}, []handler{breakOff, written}, 100, 502,
			[]scheduler.Role{read, write}, 0, 1},
		{"a writer breaks off and may run twice", "model", []handler{handle}, []handler{breakOff, written},
			100, 200, []scheduler.Role{read, write, serve}, 1, 1},
		{"a stream breaks off and goes on", "model", []handler{handle},
			[]handler{streams("s1", false, event(1)), resumesUntil(2)}, 100, 200, []scheduler.Role{read, write,
				serve}, 1,
			0},
	} {
		t.Run(test.name, func(t *testing.T) {
			readers, writers := pair(t, inTurn(test.read...), inTurn(test.write...))
			r := newRig(t, slack(test.slack), append(readers, writers...)...)
			answer := r.dial().ask("POST", "/"+test.route+"/", "a", "prompt")
			r.Assert(answer.Status, qt.Equals, test.status)
			if test.status == 200 {
				r.Assert(string(answer.Body), qt.Equals, pieces(1, 2))
			}
			r.awaitCallsEnded()
			r.eventually("handles are freed", func() bool { return releasedHandles(readers) == test.freed })
			r.Assert(roles(readers, writers), qt.DeepEquals, test.roles)
			r.Assert(r.proxy.Stats().Retries, qt.Equals, test.repeats)
		})
	}
}

// releasedHandles is how many calls to free a handle came.
func releasedHandles(readers []*server) (count int) {
	for _, s := range readers {
		for _, q := range s.got() {
			if q.Method == "DELETE" && q.Target == "/api/kv-handle/h" {
				count++
			}
		}
	}
	return count
}

// roles tells the roles of all calls that came.
func roles(readers, writers []*server) (roles []scheduler.Role) {
	for _, s := range append(readers, writers...) {
		for _, q := range s.got() {
			switch {
			case q.Method == "DELETE":
			case q.Header.Get(stageHeader) != "":
				roles = append(roles, scheduler.Prefill)
			case q.Header.Get(kvFromHeader) != "":
				roles = append(roles, scheduler.Decode)
			default:
				roles = append(roles, scheduler.Serve)
			}
		}
	}
	return roles
}

func TestSilentReaderIsNotWaitedFor(t *testing.T) {
	t.Parallel()
	ended := make(chan string, 9)
	readers, writers := pair(t, neverAnswer(ended), events(1, 2, true))
	r := newRig(t, nil, append(readers, writers...)...)
	answer := r.dial().ask("POST", "/modelfirm/", "a", "prompt", "Cresshub-Deadline-Ms: 1000")
	r.Assert(answer.Status, qt.Equals, 200)
	r.Assert(<-ended, qt.Equals, "a")
	r.Assert(roles(readers, writers), qt.DeepEquals, []scheduler.Role{scheduler.Prefill, scheduler.Serve})
}

func TestWithoutReadersOrWriters(t *testing.T) {
	_, writers := pair(t, breakOff, events(1, 2, true))
	r := newRig(t, nil, writers...)
	r.Assert(r.dial().ask("POST", "/modelfirm/", "a", "").Status, qt.Equals, 200)
	r.Assert(roles(nil, writers), qt.DeepEquals, []scheduler.Role{scheduler.Serve})

	readers, _ := pair(t, readsPrompt("h"), breakOff)
	r = newRig(t, nil, readers...)
	r.Assert(r.dial().ask("POST", "/modelfirm/", "a", "").Status, qt.Equals, 503)
	r.eventually("the handle is freed", func() bool { return releasedHandles(readers) == 1 })
}

func TestClientLeavesASplit(t *testing.T) {
	ended := make(chan string, 9)
	t.Run("while it is read", func(t *testing.T) {
		readers, writers := pair(t, neverAnswer(ended), breakOff)
		r := newRig(t, nil, append(readers, writers...)...)
		p := r.dial()
		p.send("POST", "/model/", "a", "prompt")
		r.eventually("it came", func() bool { return len(readers[0].got()) == 1 })
		p.Close()
		r.Assert(<-ended, qt.Equals, "a")
		r.awaitCallsEnded()
		r.Assert(roles(readers, writers), qt.DeepEquals, []scheduler.Role{scheduler.Prefill})
		r.Assert(r.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Abandoned})
	})
	t.Run("while it is written", func(t *testing.T) {
		readers, writers := pair(t, readsPrompt("h"), neverAnswer(ended))
		r := newRig(t, nil, append(readers, writers...)...)
		p := r.dial()
		p.send("POST", "/model/", "a", "prompt")
		r.eventually("it came", func() bool { return len(writers[0].got()) == 1 })
		p.Close()
		r.Assert(<-ended, qt.Equals, "a")
		r.eventually("the handle is freed", func() bool { return releasedHandles(readers) == 1 })
		r.awaitCallsEnded()
		r.Assert(roles(readers, writers), qt.DeepEquals, []scheduler.Role{scheduler.Prefill, scheduler.Decode})
		r.Assert(r.chooser.outcomes(), qt.DeepEquals, []scheduler.Outcome{scheduler.Served, scheduler.Abandoned})
	})
}

// twice answers each request as h does, and right before each answer but the first on a connection it sends
// the one before once more.
func twice(h handler) handler {
	var mu sync.Mutex
	before := map[io.Writer]string{}
	return func(q *http1.Request, w io.Writer) bool {
		var text strings.Builder
		goesOn := h(q, &text)
		mu.Lock()
		surplus := before[w]
		before[w] = text.String()
		mu.Unlock()
		io.WriteString(w, surplus+text.String())
		return goesOn
	}
}

// A server that says late once more that it can't fetch the memory doesn't say so of the next call, which
// runs: else the request would run twice or be refused though it has run.
func TestSurplusRejectionIsNotTheNextOnes(t *testing.T) {
	lapsed := status(503, "Cresshub-Not-Run: 1", "Cresshub-Server-Load: 1,0,8")
	reader := newServer(t, "i-r", "language", catalog.Prefill, readsPrompt("h"))
	var writers []*server
	for _, id := range []string{"i-w1", "i-w2"} {
		writers = append(writers, newServer(t, id, "language", catalog.Decode,
			twice(inTurn(lapsed, events(1, 2, true)))))
	}
	r := newRig(t, nil, append(writers, reader)...)
	answer := r.dial().ask("POST", "/modelfirm/", "a", "prompt")
	r.Assert(answer.Status, qt.Equals, 200)
	r.Assert(string(answer.Body), qt.Equals, pieces(1, 2))
	r.Assert(writers[0].got(), qt.HasLen, 2) // the second one ran
	r.Assert(writers[1].got(), qt.HasLen, 0)
}
