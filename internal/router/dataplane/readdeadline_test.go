package dataplane

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/scheduler"
)

// A call that times out is aborted only if another server can be called instead. If no retry is left by then,
// the proxy keeps waiting for the server until the request's deadline.
func TestReadDeadlineIsExtendedWhenNoRetryIsLeft(t *testing.T) {
	for _, test := range []struct {
		name, route string
		retrySlack  float64
		change      func(call *call)
		extended    bool
	}{
		{"a retry is left", "safe", 100, func(*call) {}, false},
		{"no retry is left", "safe", 0, func(*call) {}, true},
		{"no attempt is left", "safe", 100, func(call *call) { call.roundTrip.attempts.count = 2 }, true},
		{"not idempotent", "unsafe", 100, func(*call) {}, true},
		{"a resumable stream", "stream", 100, func(call *call) {
			call.roundTrip.relay.started, call.roundTrip.relay.order.lastIDKnown = true, true
		}, false},
		{"a stream that is not resumable", "stream", 100,
			func(call *call) { call.roundTrip.relay.started = true }, true},
		{"prefill", "model", 0, func(call *call) { call.role = scheduler.Prefill }, false},
		{"no time is left", "safe", 0, func(call *call) { call.roundTrip.request.deadline = time.Now() }, false},
		{"the client has disconnected", "safe", 0,
			func(call *call) { call.roundTrip.stopCause = clientDisconnected }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			rig := newRig(t, withRetrySlack(test.retrySlack), newLookupServers(t, closeUnanswered)...)
			_, err := rig.readFromTimedOutServer(test.route, test.change)
			if test.extended {
				rig.Assert(err, qt.IsNil)
			} else {
				rig.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
			}
		})
	}
}

// readFromTimedOutServer reads from a server whose read deadline has passed and which then sends one byte.
func (r *testRig) readFromTimedOutServer(routeName string, change func(*call)) (int, error) {
	near, far := net.Pipe()
	defer near.Close()
	route := r.state.config.Match("h", "/"+routeName+"/")
	end := time.Now().Add(testTimeout)
	req := &request{Request: &http1.Request{}, deadline: end, hardDeadline: end, route: route,
		service: r.state.config.Services[route.Targets[0].Service]}
	req.scheduling.Service = req.service
	socket := &socket{Conn: r.proxy.clock.Wrap(near)}
	call := &call{roundTrip: newRoundTrip(&client{proxy: r.proxy, socket: socket}, req),
		conn: &connection{socket: socket}, choice: &scheduler.Call{Server: &catalog.Server{ID: "i-1"}}}
	change(call)
	near.SetReadDeadline(time.Unix(1, 0))
	socket.extender = call
	go func() {
		io.WriteString(far, "x")
		far.Close()
	}()
	return socket.Read(make([]byte, 1))
}

// The proxy keeps waiting for a server that has timed out if no other one could replace it: aborting the call
// would only end the response sooner.
func TestReadDeadlineIsExtendedWithoutAlternativeServer(t *testing.T) {
	streamStarted := func(call *call) {
		call.roundTrip.relay.started, call.roundTrip.relay.order.lastIDKnown = true, true
	}
	unchanged := func(*call) {}
	other := &fakeServer{Server: &catalog.Server{ID: "i-2", Service: "lookup", State: catalog.Ready}}
	for _, test := range []struct {
		name, route string
		others      []*fakeServer
		full        bool // the scheduler knows of no free slot
		change      func(call *call)
		extended    bool
	}{
		{"no other server", "safe", nil, false, unchanged, true},
		{"no other server for the stream", "stream", nil, false, streamStarted, true},
		{"another one has a free slot", "safe", []*fakeServer{other}, false, unchanged, false},
		{"another one may resume the stream", "stream", []*fakeServer{other}, false, streamStarted, false},
		{"all others would reject the stream", "stream", []*fakeServer{other}, true, streamStarted, true},
		{"all others are full before a response", "safe", []*fakeServer{other}, true, unchanged, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			rig := newRig(t, withRetrySlack(100), test.others...)
			if test.full {
				rig.chooser.queueDelay = time.Second
			}
			_, err := rig.readFromTimedOutServer(test.route, test.change)
			if test.extended {
				rig.Assert(err, qt.IsNil)
			} else {
				rig.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
			}
		})
	}
}
