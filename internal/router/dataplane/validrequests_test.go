package dataplane

import (
	"fmt"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
)

// validRequests are requests within testLimits, including some exactly at a limit.
var validRequests = map[string]string{
	"plain":         requestText("GET", "/safe/x?y=1", ""),
	"with a body":   requestText("POST", "/unsafe/", "body"),
	"another verb":  requestText("PATCH", "/unsafe/", "body"),
	"an old client": "GET /safe/ HTTP/1.0\r\nHost: h\r\nCresshub-Try-Id: a\r\n\r\n",
	"chunks": "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
		chunk("body") + "0\r\n\r\n",
	"whole target":     "GET http://h/safe/ HTTP/1.1\r\nHost: other\r\nCresshub-Try-Id: a\r\n\r\n",
	"longest body":     requestText("POST", "/unsafe/", strings.Repeat("x", 200_000)),
	"longest head":     requestWithHead(4096),
	"fields of ours":   requestText("GET", "/safe/", "", "Cresshub-Stage: reading", "Priority: u=1"),
	"odd model fields": requestText("GET", "/model/", "", "Cresshub-Tokens: x", "Cresshub-Prompt-Prefix: ,:"),
	"two of a field":   requestText("GET", "/safe/", "", "Cresshub-Model: m", "Cresshub-Model: m"),
	"no id":            "GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n",
}

// requestText returns a request as the client writes it.
func requestText(method, target, body string, fields ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\n", method, target)
	for _, field := range fields {
		text += field + "\r\n"
	}
	if body == "" {
		return text + "\r\n"
	}
	return text + contentLength(body) + body
}

// requestWithHead returns a request whose head has that many bytes.
func requestWithHead(size int) string {
	short := requestText("GET", "/safe/", "", "X-Long: ")
	return requestText("GET", "/safe/", "", "X-Long: "+strings.Repeat("x", size-len(short)))
}

// A valid request never gets a 3xx or 4xx as a local reply. Without a configuration or without servers it
// gets a 503 with Retry-After.
func TestValidRequestsAreAccepted(t *testing.T) {
	serve := respondOK("served")
	for name, text := range validRequests {
		for state, change := range map[string]func(*agentsettings.Settings, *fakeState){
			"serves":           nil,
			"no configuration": func(_ *agentsettings.Settings, s *fakeState) { s.config = nil },
			"no servers":       func(_ *agentsettings.Settings, s *fakeState) { s.table = nil },
		} {
			t.Run(name+", "+state, func(t *testing.T) {
				servers := append(newLookupServers(t, serve), newFakeServer(t, "i-w", "language", "writing", serve))
				rig := newRig(t, change, servers...)
				client := rig.dial()
				io.WriteString(client, text)
				response, err := client.read()
				rig.Assert(err, qt.IsNil)
				if state == "serves" {
					rig.Assert(response.Status, qt.Equals, 200)
					return
				}
				rig.Assert(response.Status, qt.Equals, 503)
				rig.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				rig.Assert(response.Header.Get(stampHeader), qt.Equals, "")
				rig.Assert(requestsReceived(servers), qt.Equals, 0)
			})
		}
	}
}

// Before a configuration is known its limits are not known either, so a request that they may allow is
// answered 503, and not 413 or 431.
func TestLargeRequestsBeforeAConfigurationAreRejectedWith503(t *testing.T) {
	large := requestText("POST", "/unsafe/", strings.Repeat("x", 6<<20))
	for _, text := range []string{requestWithHead(60 << 10), large} {
		rig := newRig(t, func(_ *agentsettings.Settings, s *fakeState) { s.config = nil })
		client := rig.dial()
		go io.WriteString(client, text)
		response, _, err := http1.ReadResponseHead(client.in, "GET")
		rig.Assert(err, qt.IsNil)
		rig.Assert(response.Status, qt.Equals, 503)
		rig.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
}
