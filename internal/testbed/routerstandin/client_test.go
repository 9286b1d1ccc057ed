package routerstandin

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// withRetries returns a copy of a kind with a number of retries.
func withRetries(kind *Kind, retries int) *Kind {
	clone := *kind
	clone.Retries = retries
	return &clone
}

// closedConn stands for a connection that ends without an answer.
const closedConn = ""

// onFirstRequest answers the first request with a text, and leaves all others to the correct server.
func onFirstRequest(text string) func(p *fakeProxy, x *proxiedRequest) bool {
	return func(p *fakeProxy, x *proxiedRequest) bool {
		if p.previous != "" {
			return false
		}
		p.previous = "asked"
		if text == closedConn {
			x.conn.Close()
			return true
		}
		x.reply(text)
		return true
	}
}

func TestClientsRetryAsTheProtocolAllows(t *testing.T) {
	rejected := textOf(503, nil, "")
	for _, each := range []struct {
		name   string
		kind   *Kind
		first  string
		tries  int
		result Outcome
	}{
		{"safe after a rejection", safeKind, rejected, 2, Served},
		{"safe after a failure", safeKind, textOf(502, nil, ""), 2, Served},
		{"safe after a closed connection", safeKind, closedConn, 2, Served},
		{"unsafe after a rejection", unsafeKind, rejected, 2, Served},
		{"unsafe after a failure", unsafeKind, textOf(502, nil, ""), 1, Failed},
		{"unsafe after a closed connection before any server", unsafeKind, closedConn, 2, Served},
		{"safe after 404", safeKind, textOf(404, nil, ""), 1, Failed},
		{"stream after a failure", onceOnlyStreamKind, textOf(504, nil, ""), 1, Failed},
		{"resumable stream after a failure", resumableStreamKind, textOf(504, nil, ""), 2, Served},
	} {
		t.Run(each.name, func(t *testing.T) {
			w := newWorld(t)
			w.proxy.setMisbehaviour(onFirstRequest(each.first))
			result := w.ask(withRetries(each.kind, 1))
			w.Check(result.Outcome, qt.Equals, each.result)
			w.Check(result.Attempts, qt.Equals, each.tries)
			w.Check(w.broken(), qt.HasLen, 0)
		})
	}
}

func TestClientsHonourRetryAfter(t *testing.T) {
	w := newWorld(t)
	a := &pendingRequest{client: w.client, request: NewRequest(safeKind, 1),
		deadline: time.Now().Add(3 * time.Second)}
	w.Assert(a.backoff(attemptResult{status: 503, retryAfter: 200 * time.Millisecond}), qt.Equals,
		200*time.Millisecond)
	w.Assert(a.backoff(attemptResult{status: 503, retryAfter: time.Minute}) <= time.Second, qt.IsTrue)
	w.Assert(retryAfterOf("0.25"), qt.Equals, 250*time.Millisecond)
	w.client.Impatient = true
	w.Assert(a.backoff(attemptResult{status: 503, retryAfter: time.Minute}), qt.Equals, time.Duration(0))
}

// A client resumes a broken stream after its last event, with a new attempt.
func TestClientsResumeABrokenStream(t *testing.T) {
	w := newWorld(t)
	w.proxy.setMisbehaviour(func(p *fakeProxy, x *proxiedRequest) bool {
		if p.previous != "" {
			return false
		}
		p.previous = p.answerOf(x.request)
		x.reply(p.previous[:strings.LastIndex(p.previous, "id: ")])
		x.conn.Close()
		return true
	})
	result := w.ask(resumableStreamKind)
	w.Assert(result.Outcome, qt.Equals, Served)
	w.Assert(result.Attempts, qt.Equals, 2)
	w.Assert(w.broken(), qt.HasLen, 0)
}

// An idle connection is reused until it expires, and one that was closed is not.
func TestClientsReuseConnections(t *testing.T) {
	w := newWorld(t)
	w.ask(safeKind)
	first := w.client.popIdle()
	w.Assert(first, qt.IsNotNil)
	w.client.idle = append(w.client.idle, first)
	w.ask(safeKind)
	w.Assert(w.client.idle, qt.HasLen, 1)
	w.Assert(w.client.idle[0] == first, qt.IsTrue)
	first.expires = time.Now().Add(-time.Second)
	w.ask(safeKind)
	w.Assert(w.client.idle[0] == first, qt.IsFalse)
	w.Assert(w.broken(), qt.HasLen, 0)
}

func TestTallyCountsByKind(t *testing.T) {
	c := qt.New(t)
	tally := NewTally(testKinds)
	for i := range 100 {
		tally.recordAsked(safeKind)
		tally.add(Result{Kind: safeKind, Outcome: Served, InTime: i < 90, Attempts: 1,
			Latency: time.Duration(i+1) * time.Millisecond})
	}
	tally.recordAsked(onceOnlyStreamKind)
	tally.add(Result{Kind: onceOnlyStreamKind, Outcome: Rejected, Attempts: 2})
	kinds := tally.Kinds()
	safe, firm := kinds[0], kinds[2]
	c.Assert([]int{safe.Asked, safe.InTime, safe.Late, safe.Served()}, qt.DeepEquals, []int{100, 90, 10, 100})
	c.Assert([]float64{safe.P50, safe.P99}, qt.DeepEquals, []float64{51, 100})
	c.Assert([]int{firm.Asked, firm.Rejected, firm.Attempts}, qt.DeepEquals, []int{1, 1, 2})
	c.Assert(tally.Total().Asked, qt.Equals, 101)
}
