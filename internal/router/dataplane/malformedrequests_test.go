package dataplane

import (
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/fleetconfig"
)

// shortTimeout is a timeout that tests wait for.
const shortTimeout = 50 * time.Millisecond

// limits returns limits with those timeouts, and with smaller sizes than testLimits.
func limits(headerTimeout, idleTimeout time.Duration) fleetconfig.Limits {
	return fleetconfig.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 100, HeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout}
}

// withLimits returns a change for newRig that sets the limits.
func withLimits(limits fleetconfig.Limits) func(*agentsettings.Settings, *fakeState) {
	return func(_ *agentsettings.Settings, state *fakeState) { state.config.Limits = limits }
}

// setLimits changes the limits for everything that the proxy reads from now on.
func (r *testRig) setLimits(limits fleetconfig.Limits) {
	config := *r.state.Config()
	config.Limits = limits
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.config = &config
}

func TestMalformedRequestsAreNotForwarded(t *testing.T) {
	const begin = "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\n"
	const chunks = begin + "Transfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"no request line":      {"hello\r\n\r\n", 400},
		"bare line feeds":      {"GET /safe/ HTTP/1.1\nHost: h\n\n", 400},
		"no host":              {"GET /safe/ HTTP/1.1\r\n\r\n", 400},
		"two hosts":            {"GET /safe/ HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400},
		"two ids":              {begin + "Cresshub-Try-Id: b\r\n\r\n", 400},
		"two lengths":          {begin + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"length and chunks":    {begin + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"space before colon":   {begin + "X : y\r\n\r\n", 400},
		"folded line":          {begin + "X: y\r\n z\r\n\r\n", 400},
		"odd chunk":            {begin + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400},
		"chunk too long":       {begin + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", 400},
		"unknown encoding":     {begin + "Transfer-Encoding: gzip\r\n\r\n", 501},
		"length too large":     {begin + "Content-Length: 101\r\n\r\n" + strings.Repeat("x", 101), 413},
		"chunks too large":     {chunks + chunk(strings.Repeat("x", 101)), 413},
		"head too large":       {begin + "X: " + strings.Repeat("x", 1000) + "\r\n\r\n", 431},
		"unknown expectation":  {begin + "Expect: wonders\r\n\r\n", 417},
		"another version":      {"GET /safe/ HTTP/3.0\r\nHost: h\r\n\r\n", 505},
		"a control character":  {begin + "X: a\x01b\r\n\r\n", 400},
		"smuggled second body": {begin + "Transfer-Encoding: chunked\r\n" + chunks[len(begin):], 501},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
			rig := newRig(t, withLimits(limits(testTimeout, testTimeout)), server)
			rig.checkRejected(rig.dial(), test.text, test.want)
			rig.Assert(server.got(), qt.HasLen, 0)
		})
	}
}

// checkRejected sends text and checks that the response has that status and that its connection is closed.
func (r *testRig) checkRejected(client *testClient, text string, status int) {
	r.Helper()
	io.WriteString(client, text)
	response, err := client.read()
	r.Assert(err, qt.IsNil)
	r.Assert(response.Status, qt.Equals, status)
	r.Assert(response.Close, qt.IsTrue)
	_, err = client.in.ReadByte()
	r.Assert(err, qt.Equals, io.EOF)
}

// The limits are set when the client is connected already, and only the timeout of the rest of the request is
// short. Otherwise a client that is not scheduled for a while would be closed as idle before it has sent a
// byte.
func TestSlowRequestsAreNotForwarded(t *testing.T) {
	const begin = "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\n"
	for name, test := range map[string]struct {
		text   string
		limits fleetconfig.Limits
	}{
		"head too slow": {begin, limits(shortTimeout, testTimeout)},
		"body too slow": {begin + "Content-Length: 5\r\n\r\nab", limits(testTimeout, shortTimeout)},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
			rig := newRig(t, nil, server)
			client := rig.dial()
			rig.awaitIdleClient()
			rig.setLimits(test.limits)
			rig.checkRejected(client, test.text, 408)
			rig.Assert(server.got(), qt.HasLen, 0)
		})
	}
}

// awaitIdleClient waits until there is one client and the proxy waits for its request.
func (r *testRig) awaitIdleClient() {
	r.Helper()
	r.eventually("the proxy waits for the client's request", func() bool {
		clients := r.proxy.connectedClients()
		if len(clients) != 1 {
			return false
		}
		clients[0].mu.Lock()
		defer clients[0].mu.Unlock()
		return clients[0].idle
	})
}

func TestIncompleteRequestIsNotForwarded(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, server)
	const half = "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"
	for _, text := range []string{"", "GET /sa", half} {
		client := rig.dial()
		io.WriteString(client, text)
		client.Close()
	}
	rig.eventually("all clients are removed", func() bool {
		return len(rig.proxy.connectedClients()) == 0 &&
			rig.proxy.Stats().Clients == 3
	})
	rig.Assert(server.got(), qt.HasLen, 0)
}

func TestIdleClientIsClosed(t *testing.T) {
	rig := newRig(t, withLimits(limits(testTimeout, shortTimeout)))
	_, err := rig.dial().in.ReadByte()
	rig.Assert(err, qt.Equals, io.EOF)
}

func TestClientsBeyondTheLimitAreClosed(t *testing.T) {
	rig := newRig(t, func(s *agentsettings.Settings, _ *fakeState) { s.Descriptors = 0 })
	var clients []*testClient
	for range 16 {
		client := rig.dial()
		rig.Assert(client.do("GET", "/nowhere/", "a", "").Status, qt.Equals, 404)
		clients = append(clients, client)
	}
	_, err := http1.ReadResponse(rig.dial().in)
	rig.Assert(err, qt.Not(qt.IsNil))
	clients[0].Close()
	rig.eventually("a client is removed", func() bool { return len(rig.proxy.connectedClients()) == 15 })
	rig.Assert(rig.dial().do("GET", "/nowhere/", "a", "").Status, qt.Equals, 404)
}
