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

// closedConn stands for a connection that ends without a response.
const closedConn = ""

// onFirstRequest answers the first request with a text, and leaves all others to the correct server.
func onFirstRequest(text string) func(proxy *fakeProxy, exchange *proxiedRequest) bool {
	return func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		if proxy.previous != "" {
			return false
		}
		proxy.previous = "asked"
		if text == closedConn {
			exchange.conn.Close()
			return true
		}
		exchange.reply(text)
		return true
	}
}

func TestClientsRetryAsTheProtocolAllows(t *testing.T) {
	rejected := responseText(503, nil, "")
	for _, test := range []struct {
		name   string
		kind   *Kind
		first  string
		tries  int
		result Outcome
	}{
		{"safe after a rejection", safeKind, rejected, 2, Served},
		{"safe after a failure", safeKind, responseText(502, nil, ""), 2, Served},
		{"safe after a closed connection", safeKind, closedConn, 2, Served},
		{"unsafe after a rejection", unsafeKind, rejected, 2, Served},
		{"unsafe after a failure", unsafeKind, responseText(502, nil, ""), 1, Failed},
		{"unsafe after a closed connection before any server", unsafeKind, closedConn, 2, Served},
		{"safe after 404", safeKind, responseText(404, nil, ""), 1, Failed},
		{"stream after a failure", onceOnlyStreamKind, responseText(504, nil, ""), 1, Failed},
		{"resumable stream after a failure", resumableStreamKind, responseText(504, nil, ""), 2, Served},
	} {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			world.proxy.setMisbehaviour(onFirstRequest(test.first))
			result := world.do(withRetries(test.kind, 1))
			world.Check(result.Outcome, qt.Equals, test.result)
			world.Check(result.Attempts, qt.Equals, test.tries)
			world.Check(world.brokenRules(), qt.HasLen, 0)
		})
	}
}

func TestClientsHonourRetryAfter(t *testing.T) {
	world := newTestWorld(t)
	const left = 3 * patience // at least 600 ms of it after any stall of this process
	pending := &pendingRequest{client: world.client, request: NewRequest(safeKind, 1),
		deadline: time.Now().Add(left)}
	world.Assert(pending.backoff(attemptResult{status: 503, retryAfter: 200 * time.Millisecond}), qt.Equals,
		200*time.Millisecond)
	world.Assert(pending.backoff(attemptResult{status: 503, retryAfter: left}) <= left/3, qt.IsTrue)
	world.Assert(retryAfterOf("0.25"), qt.Equals, 250*time.Millisecond)
	world.client.Impatient = true
	world.Assert(pending.backoff(attemptResult{status: 503, retryAfter: time.Minute}), qt.Equals,
		time.Duration(0))
}

// A client resumes a broken stream after its last event, with a new attempt.
func TestClientsResumeABrokenStream(t *testing.T) {
	world := newTestWorld(t)
	world.proxy.setMisbehaviour(func(proxy *fakeProxy, exchange *proxiedRequest) bool {
		if proxy.previous != "" {
			return false
		}
		proxy.previous = proxy.correctResponse(exchange.request)
		exchange.reply(proxy.previous[:strings.LastIndex(proxy.previous, "id: ")])
		exchange.conn.Close()
		return true
	})
	result := world.do(resumableStreamKind)
	world.Assert(result.Outcome, qt.Equals, Served)
	world.Assert(result.Attempts, qt.Equals, 2)
	world.Assert(world.brokenRules(), qt.HasLen, 0)
}

// An idle connection is reused until it expires, and one that was closed is not.
func TestClientsReuseConnections(t *testing.T) {
	world := newTestWorld(t)
	world.do(safeKind)
	first := world.client.popIdle()
	world.Assert(first, qt.IsNotNil)
	first.expires = time.Now().Add(patience)
	world.client.idle = append(world.client.idle, first)
	world.do(safeKind)
	world.Assert(world.client.idle, qt.HasLen, 1)
	world.Assert(world.client.idle[0] == first, qt.IsTrue)
	first.expires = time.Now().Add(-time.Second)
	world.do(safeKind)
	world.Assert(world.client.idle[0] == first, qt.IsFalse)
	world.Assert(world.brokenRules(), qt.HasLen, 0)
}

// An answer is in time up to its targets, and late beyond one of them.
func TestResultsTellWhetherAnswersWereInTime(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name         string
		kind         *Kind
		latency, gap time.Duration
		inTime       bool
	}{
		{"at the latency target", safeKind, patience, 0, true},
		{"beyond the latency target", safeKind, patience + 1, 0, false},
		{"gaps of a kind without a target", safeKind, 0, time.Hour, true},
		{"at the gap target", onceOnlyStreamKind, patience, patience, true},
		{"beyond the gap target", onceOnlyStreamKind, 0, patience + 1, false},
	} {
		pending := &pendingRequest{request: NewRequest(test.kind, 1), latency: test.latency}
		pending.stream.longestGap = test.gap
		result := pending.result(attemptResult{served: true})
		c.Check(result.InTime, qt.Equals, test.inTime, qt.Commentf(test.name))
	}
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
