package dataplane

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/fleetconfig"
)

// shortLimits let a slow client be noticed soon.
func withShortLimits(t *testing.T) func(*agentsettings.Settings, *fakeState) {
	t.Helper()
	return func(_ *agentsettings.Settings, state *fakeState) {
		config, err := fleetconfig.Parse([]byte(testConfig(
			`{"envelope_bytes":1000,"contents_bytes":100,"envelope_ms":50,"idle_ms":50}`)))
		qt.New(t).Assert(err, qt.IsNil)
		state.config = config
	}
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
		"head too slow":        {begin, 408},
		"body too slow":        {begin + "Content-Length: 5\r\n\r\nab", 408},
		"unknown expectation":  {begin + "Expect: wonders\r\n\r\n", 417},
		"another version":      {"GET /safe/ HTTP/3.0\r\nHost: h\r\n\r\n", 505},
		"a control character":  {begin + "X: a\x01b\r\n\r\n", 400},
		"smuggled second body": {begin + "Transfer-Encoding: chunked\r\n" + chunks[len(begin):], 501},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
			rig := newRig(t, withShortLimits(t), server)
			client := rig.dial()
			io.WriteString(client, test.text)
			response, err := client.read()
			rig.Assert(err, qt.IsNil)
			rig.Assert(response.Status, qt.Equals, test.want)
			rig.Assert(response.Close, qt.IsTrue)
			_, err = client.in.ReadByte()
			rig.Assert(err, qt.Equals, io.EOF)
			rig.Assert(server.got(), qt.HasLen, 0)
		})
	}
}

func TestRequestCutOffByItsClientIsNotForwarded(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondOK("x"))
	rig := newRig(t, nil, server)
	const half = "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab"
	for _, text := range []string{"", "GET /sa", half} {
		client := rig.dial()
		io.WriteString(client, text)
		client.Close()
	}
	rig.eventually("they are gone", func() bool {
		return len(rig.proxy.connectedClients()) == 0 &&
			rig.proxy.Stats().Clients == 3
	})
	rig.Assert(server.got(), qt.HasLen, 0)
}

func TestIdleClientIsClosed(t *testing.T) {
	rig := newRig(t, withShortLimits(t))
	_, err := rig.dial().in.ReadByte()
	rig.Assert(err, qt.Equals, io.EOF)
}

func TestClientsBeyondTheLimitAreClosed(t *testing.T) {
	rig := newRig(t, func(s *agentsettings.Settings, _ *fakeState) { s.Descriptors = 0 })
	var some []*testClient
	for range 16 {
		client := rig.dial()
		rig.Assert(client.do("GET", "/nowhere/", "a", "").Status, qt.Equals, 404)
		some = append(some, client)
	}
	_, err := http1.ReadResponse(rig.dial().in)
	rig.Assert(err, qt.Not(qt.IsNil))
	some[0].Close()
	rig.eventually("a connection is free", func() bool { return len(rig.proxy.connectedClients()) == 15 })
	rig.Assert(rig.dial().do("GET", "/nowhere/", "a", "").Status, qt.Equals, 404)
}
