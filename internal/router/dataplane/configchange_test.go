package dataplane

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/router/fleetconfig"
)

// changeConfig puts a configuration in force, as the agent does.
func (s *fakeState) changeConfig(config *fleetconfig.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
}

// replaceTable puts a table of servers in force, as the agent does.
func (s *fakeState) replaceTable(table *catalog.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = table
}

// respondAfter has a handler respond once released closes. began gets a value for each request that waits.
func respondAfter(released chan struct{}, began chan<- struct{}, respond handler) handler {
	return func(req *http1.Request, w io.Writer) bool {
		began <- struct{}{}
		<-released
		return respond(req, w)
	}
}

// startStreamUntil has a handler send the head and the first event of a stream of two, and the other one once
// released closes.
func startStreamUntil(released chan struct{}, began chan<- struct{}) handler {
	return func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "s")+chunk(eventText(1)))
		began <- struct{}{}
		<-released
		io.WriteString(w, chunk(eventText(2))+"0\r\n\r\n")
		return true
	}
}

// TestChangesOfTheConfigurationEndNoRequest: requests that a process has read are answered by the
// configuration under which they were read, whatever comes into force meanwhile.
func TestChangesOfTheConfigurationEndNoRequest(t *testing.T) {
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
		held        func(released chan struct{}, began chan<- struct{}) handler
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
				servers := newLookupServers(t, kind.held(released, began))
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

// TestStreamIsResumedAfterItsRouteIsRemoved: what follows a broken call of a request goes by the
// configuration under which the request was read.
func TestStreamIsResumedAfterItsRouteIsRemoved(t *testing.T) {
	released, began := make(chan struct{}), make(chan struct{}, 9)
	breaksOff := func(req *http1.Request, w io.Writer) bool {
		io.WriteString(w, streamHead(req, "first")+chunk(eventText(1)))
		began <- struct{}{}
		<-released
		return false
	}
	servers := newLookupServers(t, inTurn(breaksOff, resumesUntil(3)))
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
