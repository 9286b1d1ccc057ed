package routerstandin

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
)

// send makes a call to a server and returns the answer.
func (w *world) send(server *Server, method, target, body string, header ...http1.Field) *http1.Response {
	answer, err := controlclient.Do(w.bounded(), server.Address(),
		controlclient.Call{Method: method, Target: target, Header: header, Body: []byte(body)})
	w.Assert(err, qt.IsNil)
	return answer
}

// knownRequest returns a request that a client is recorded to have sent, with its header.
func (w *world) knownRequest(kind *Kind) (request *Request, header []http1.Field) {
	w.number++
	request = NewRequest(kind, w.number)
	attempt := &attempt{id: newAttemptID(), request: request, deadline: time.Now().Add(patience)}
	w.observations.recordAttempt(attempt)
	for _, f := range request.message(attempt.id, patience, 0).Header {
		if f.Name != "Host" {
			header = append(header, f)
		}
	}
	return request, header
}

func TestWrongCallsAreRejectedUnrun(t *testing.T) {
	w := newWorld(t)
	request, header := w.knownRequest(onceOnlyStreamKind)
	prefill := field(stageHeader, StagePrefill)
	for _, each := range []struct {
		name   string
		server *Server
		more   http1.Field
		status int
	}{
		{"another incarnation", w.decodeServer, field(expectHeader, "i-other"), 421},
		{"prefill at a decode server", w.decodeServer, prefill, 421},
		{"decode at a prefill server", w.prefillServer, field("X-None", ""), 421},
		{"unknown handle", w.decodeServer, field(kvFromHeader, w.prefillServer.Address()+"/gone"), 503},
		{"handle of an unreachable server", w.decodeServer, field(kvFromHeader, "127.0.0.1:1/gone"), 503},
	} {
		answer := w.send(each.server, request.Method, request.Target, string(request.Body),
			append(header, each.more)...)
		w.Check(answer.Status, qt.Equals, each.status, qt.Commentf(each.name))
		w.Check(answer.Header.Get(notRunHeader), qt.Not(qt.Equals), "", qt.Commentf(each.name))
	}
	w.Assert(w.decodeServer.Tally().Runs, qt.Equals, 0)
	answer := w.send(w.decodeServer, "POST", "/firm/1", "")
	w.Assert(answer.Status, qt.Equals, 400)
	w.Assert(answer.Header.Get(notRunHeader), qt.Not(qt.Equals), "")
}

// A handle is given out once.
func TestHandleIsGivenOutOnce(t *testing.T) {
	w := newWorld(t)
	request, header := w.knownRequest(onceOnlyStreamKind)
	answer := w.send(w.prefillServer, request.Method, request.Target, string(request.Body),
		append(header, field(stageHeader, StagePrefill))...)
	w.Assert(answer.Status, qt.Equals, 200)
	var read struct {
		Handle string `json:"claim_ticket"`
		Tokens int    `json:"tokens"`
	}
	w.Assert(json.Unmarshal(answer.Body, &read), qt.IsNil)
	w.Assert(read.Tokens, qt.Equals, onceOnlyStreamKind.OwnTokens)
	w.Assert(w.send(w.prefillServer, "DELETE", handlePath+read.Handle, "").Status, qt.Equals, 200)
	w.Assert(w.send(w.prefillServer, "DELETE", handlePath+read.Handle, "").Status, qt.Equals, 404)
}

// A decode server does the prefill itself where it is given no handle, and resumes after Last-Event-Id.
func TestDecodeResumesAfterTheLastEventID(t *testing.T) {
	w := newWorld(t)
	request, header := w.knownRequest(resumableStreamKind)
	answer := w.send(w.decodeServer, request.Method, request.Target, string(request.Body),
		append(header, field(lastEventHeader, "4"))...)
	stamp := answer.Header.Get(stampHeader)
	w.Assert(string(answer.Body), qt.Equals,
		fmt.Sprintf("id: 6\ndata: %s 5-6\n\nid: 7\ndata: %s 7-7 end\n\n", stamp, stamp))
}

func TestOrdersChangeTheStage(t *testing.T) {
	w := newWorld(t)
	order := func(body string) int { return w.send(w.decodeServer, "POST", orderPath, body).Status }
	w.Check(order(`{"order":"stage","stage":"reading","fence":2}`), qt.Equals, 400)
	w.Check(order(`{"order":"stage","stage":"reading","holder":"a"}`), qt.Equals, 400)
	w.Check(order(`{"order":"load","stage":"reading","holder":"a","fence":2}`), qt.Equals, 400)
	w.Check(order(`{"order":"stage","stage":"reading","holder":"a","fence":2,"expected":5}`), qt.Equals, 409)
	w.Check(order(`{"order":"stage","stage":"writing","holder":"a","fence":2}`), qt.Equals, 200)
	w.Check(order(`{"order":"stage","stage":"reading","holder":"a","fence":3}`), qt.Equals, 202)
	w.Check(order(`{"order":"stage","stage":"reading","holder":"a","fence":1}`), qt.Equals, 412)
	w.until("the stage has changed", func() bool { return w.decodeServer.Tally().Stage == StagePrefill })
	var report modelReport
	w.Assert(json.Unmarshal(w.send(w.decodeServer, "GET", reportPath, "").Body, &report), qt.IsNil)
	w.Assert(report.Stage, qt.Equals, StagePrefill)
	w.Assert(report.OrdersTaken, qt.Equals, 1)
	w.Assert(report.Busy, qt.IsFalse)
}

func TestHealthCheckNamesTheServer(t *testing.T) {
	w := newWorld(t)
	answer := w.send(w.lookup, "GET", "/health", "")
	w.Assert(answer.Status, qt.Equals, 200)
	w.Assert(answer.Header.Get(serverIDHeader), qt.Equals, w.lookup.ID())
	w.Assert(strings.HasSuffix(answer.Header.Get(loadHeader), ",0,4"), qt.IsTrue)
}

// Requests beyond slots and queue are rejected, and those in the queue get slots in their order.
func TestSlotsAreGrantedInOrder(t *testing.T) {
	c := qt.New(t)
	slots := newSlotQueue(1, 1)
	c.Assert(slots.acquire(nil, nil, nil), qt.Equals, admitted)
	got := make(chan notRunReason, 1)
	go func() { got <- slots.acquire(nil, nil, nil) }()
	for running, waiting := slots.load(); running+waiting < 2; running, waiting = slots.load() {
		runtime.Gosched()
	}
	c.Assert(slots.acquire(nil, nil, nil), qt.Equals, reasonFull)
	slots.release()
	c.Assert(<-got, qt.Equals, admitted)
	idle := slots.awaitIdle()
	slots.release()
	<-idle
	closed := make(chan struct{})
	close(closed)
	c.Assert(slots.acquire(nil, nil, nil), qt.Equals, admitted)
	c.Assert(slots.acquire(nil, closed, nil), qt.Equals, reasonCallerClosed)
	slots.release()
	c.Assert(slots.acquire(nil, nil, nil), qt.Equals, admitted)
}
