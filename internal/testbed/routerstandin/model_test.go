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

// send makes a call to a server and returns the response.
func (w *testWorld) send(server *Server, method, target, body string, header ...http1.Field) *http1.Response {
	response, err := controlclient.Do(w.timeoutContext(), server.Address(),
		controlclient.Call{Method: method, Target: target, Header: header, Body: []byte(body)})
	w.Assert(err, qt.IsNil)
	return response
}

// knownRequest returns a request that a client is recorded to have sent, with its header.
func (w *testWorld) knownRequest(kind *Kind) (request *Request, header []http1.Field) {
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
	world := newTestWorld(t)
	request, header := world.knownRequest(onceOnlyStreamKind)
	prefill := field(stageHeader, StagePrefill)
	for _, test := range []struct {
		name   string
		server *Server
		more   http1.Field
		status int
	}{
		{"another incarnation", world.decodeServer, field(expectHeader, "i-other"), 421},
		{"prefill at a decode server", world.decodeServer, prefill, 421},
		{"decode at a prefill server", world.prefillServer, field("X-None", ""), 421},
		{"unknown handle", world.decodeServer, field(kvFromHeader, world.prefillServer.Address()+"/gone"), 503},
		{"handle of an unreachable server", world.decodeServer, field(kvFromHeader, "127.0.0.1:1/gone"), 503},
	} {
		response := world.send(test.server, request.Method, request.Target, string(request.Body),
			append(header, test.more)...)
		world.Check(response.Status, qt.Equals, test.status, qt.Commentf(test.name))
		world.Check(response.Header.Get(notRunHeader), qt.Not(qt.Equals), "", qt.Commentf(test.name))
	}
	world.Assert(world.decodeServer.Tally().Runs, qt.Equals, 0)
	response := world.send(world.decodeServer, "POST", "/firm/1", "")
	world.Assert(response.Status, qt.Equals, 400)
	world.Assert(response.Header.Get(notRunHeader), qt.Not(qt.Equals), "")
}

// A handle is given out once.
func TestHandleIsGivenOutOnce(t *testing.T) {
	world := newTestWorld(t)
	request, header := world.knownRequest(onceOnlyStreamKind)
	response := world.send(world.prefillServer, request.Method, request.Target, string(request.Body),
		append(header, field(stageHeader, StagePrefill))...)
	world.Assert(response.Status, qt.Equals, 200)
	var read struct {
		Handle string `json:"claim_ticket"`
		Tokens int    `json:"tokens"`
	}
	world.Assert(json.Unmarshal(response.Body, &read), qt.IsNil)
	world.Assert(read.Tokens, qt.Equals, onceOnlyStreamKind.OwnTokens)
	world.Assert(world.send(world.prefillServer, "DELETE", handlePath+read.Handle, "").Status, qt.Equals, 200)
	world.Assert(world.send(world.prefillServer, "DELETE", handlePath+read.Handle, "").Status, qt.Equals, 404)
}

// A decode server does the prefill itself where it is given no handle, and resumes after Last-Event-Id.
func TestDecodeResumesAfterTheLastEventID(t *testing.T) {
	world := newTestWorld(t)
	request, header := world.knownRequest(resumableStreamKind)
	response := world.send(world.decodeServer, request.Method, request.Target, string(request.Body),
		append(header, field(lastEventHeader, "4"))...)
	stamp := response.Header.Get(stampHeader)
	world.Assert(string(response.Body), qt.Equals,
		fmt.Sprintf("id: 6\ndata: %s 5-6\n\nid: 7\ndata: %s 7-7 end\n\n", stamp, stamp))
}

func TestOrdersChangeTheStage(t *testing.T) {
	world := newTestWorld(t)
	order := func(body string) int { return world.send(world.decodeServer, "POST", orderPath, body).Status }
	world.Check(order(`{"order":"stage","stage":"reading","fence":2}`), qt.Equals, 400)
	world.Check(order(`{"order":"stage","stage":"reading","holder":"a"}`), qt.Equals, 400)
	world.Check(order(`{"order":"load","stage":"reading","holder":"a","fence":2}`), qt.Equals, 400)
	world.Check(order(`{"order":"stage","stage":"reading","holder":"a","fence":2,"expected":5}`), qt.Equals, 409)
	world.Check(order(`{"order":"stage","stage":"writing","holder":"a","fence":2}`), qt.Equals, 200)
	world.Check(order(`{"order":"stage","stage":"reading","holder":"a","fence":3}`), qt.Equals, 202)
	world.Check(order(`{"order":"stage","stage":"reading","holder":"a","fence":1}`), qt.Equals, 412)
	world.eventually("the stage has changed",
		func() bool { return world.decodeServer.Tally().Stage == StagePrefill })
	var report modelReport
	world.Assert(json.Unmarshal(world.send(world.decodeServer, "GET", reportPath, "").Body, &report), qt.IsNil)
	world.Assert(report.Stage, qt.Equals, StagePrefill)
	world.Assert(report.OrdersTaken, qt.Equals, 1)
	world.Assert(report.Busy, qt.IsFalse)
}

func TestHealthCheckNamesTheServer(t *testing.T) {
	world := newTestWorld(t)
	response := world.send(world.lookup, "GET", "/health", "")
	world.Assert(response.Status, qt.Equals, 200)
	world.Assert(response.Header.Get(serverIDHeader), qt.Equals, world.lookup.ID())
	world.Assert(strings.HasSuffix(response.Header.Get(loadHeader), ",0,4"), qt.IsTrue)
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
