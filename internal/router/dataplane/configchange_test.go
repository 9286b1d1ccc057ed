package dataplane

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// changeConfig replaces the configuration, as the agent does.
func (s *fakeState) changeConfig(config *fleetconfig.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
}

// replaceTable replaces the table of servers, as the agent does.
func (s *fakeState) replaceTable(table *catalog.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = table
}

// respondAfter returns a handler that responds when released is closed. It sends a value on began for each
// request that waits.
func respondAfter(released chan struct{}, began chan<- struct{}, respond handler) handler {
	return func(req *http1.Request, w io.Writer) bool {
		began <- struct{}{}
		<-released
		return respond(req, w)
	}
}

// startStreamUntil returns a handler that sends the head and the first of two events of a stream, and the
// second one when released is closed. It sends a value on began after the first event.
func startStreamUntil(released chan struct{}, began chan<- struct{}) handler {
	return func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
		began <- struct{}{}
		<-released
		io.WriteString(w, chunk(eventText(2))+"0\r\n\r\n")
		return true
	}
}

// A request in flight is answered according to the configuration under which it was read, even if that is
// replaced before the response.
func TestConfigChangesDoNotAffectRequestsInFlight(t *testing.T) {
	changes := []struct {
		name   string
		change func(c *qt.C, state *fakeState)
	}{
		{"its route and service are removed", func(c *qt.C, state *fakeState) {
			config, err := fleetconfig.Parse([]byte(`{"edition":2,"routes":[],"depots_list":[]}`))
			c.Assert(err, qt.IsNil)
			state.changeConfig(config)
		}},
		{"its limits shrink", func(c *qt.C, state *fakeState) {
			config, err := fleetconfig.Parse([]byte(testConfig(
				`{"envelope_bytes":256,"contents_bytes":1,"envelope_ms":1,"idle_ms":1}`)))
			c.Assert(err, qt.IsNil)
			state.changeConfig(config)
		}},
		{"its server drains", func(_ *qt.C, state *fakeState) { state.replaceTable(catalog.NewTable(nil)) }},
	}
	for _, kind := range []struct {
		name, route string
		newHandler  func(released chan struct{}, began chan<- struct{}) handler
		body        string
	}{
		{"a lookup", "safe", func(released chan struct{}, began chan<- struct{}) handler {
			return respondAfter(released, began, respondOK("x"))
		}, "x"},
		{"a command", "unsafe", func(released chan struct{}, began chan<- struct{}) handler {
			return respondAfter(released, began, respondOK("x"))
		}, "x"},
		{"a stream", "firm", startStreamUntil, eventsText(1, 2)},
	} {
		for _, change := range changes {
			t.Run(kind.name+", "+change.name, func(t *testing.T) {
				released, began := make(chan struct{}), make(chan struct{}, 9)
				servers := newLookupServers(t, kind.newHandler(released, began))
				rig := newRig(t, nil, servers...)
				client := rig.dial()
				client.send("POST", "/"+kind.route+"/", "a", "body")
				<-began
				change.change(rig.C, rig.state)
				close(released)
				response, err := client.read()
				rig.Assert(err, qt.IsNil)
				rig.Assert(response.Status, qt.Equals, 200)
				rig.Assert(string(response.Body), qt.Equals, kind.body)
				rig.Assert(requestsReceived(servers), qt.Equals, 1)
			})
		}
	}
}

// A broken stream is resumed according to the configuration under which its request was read, even if that
// has been replaced.
func TestStreamIsResumedAfterItsRouteIsRemoved(t *testing.T) {
	released, began := make(chan struct{}), make(chan struct{}, 9)
	breakOff := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "first")+chunk(eventText(1)))
		began <- struct{}{}
		<-released
		return false
	}
	servers := newLookupServers(t, inTurn(breakOff, resumesUntil(3)))
	rig := newRig(t, nil, servers...)
	client := rig.dial()
	client.send("POST", "/stream/", "a", "")
	<-began
	config, err := fleetconfig.Parse([]byte(`{"edition":2,"routes":[],"depots_list":[]}`))
	rig.Assert(err, qt.IsNil)
	rig.state.changeConfig(config)
	close(released)
	response, err := client.read()
	rig.Assert(err, qt.IsNil)
	rig.Assert(string(response.Body), qt.Equals, eventsText(1, 3))
}
