package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
)

// A server sends any number of bytes of a surplus response before its next response on the same connection,
// too late for the proxy to notice them while the connection is idle. No client may get the response to
// another request.
func TestSurplusResponseTruncatedAtEveryByte(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream", "firm"} {
		for _, framing := range []framing{byLength, byChunks} {
			for _, ownID := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, own id %t", route, framing, ownID), func(t *testing.T) {
					t.Parallel()
					surplusAtEveryByte(t, route, framing, ownID)
				})
			}
		}
	}
}

// surplusAtEveryByte sends two requests for each number of bytes. The response to the second one is preceded
// by that many bytes of a surplus response: to the first request if ownID is true, otherwise to one that no
// client sent.
func surplusAtEveryByte(t *testing.T, route string, framing framing, ownID bool) {
	t.Helper()
	var mu sync.Mutex
	surplus := map[io.Writer]string{}
	ran := map[string]bool{} // by attempt
	point := 0
	serve := func(req *http1.Request, w io.Writer) bool {
		attempt := &faultyAttempt{id: req.Header.Get(tryIDHeader), route: route, framing: framing}
		text, _ := attempt.encodeResponse(req)
		mu.Lock()
		ran[attempt.id] = true
		before := surplus[w]
		surplus[w] = text
		if !ownID {
			surplus[w] = strings.ReplaceAll(text, attempt.id, "zzz")
		}
		before = before[:min(point, len(before))]
		mu.Unlock()
		io.WriteString(w, before+text)
		return true
	}
	rig := newRig(t, withRetrySlack(1e6), newLookupServers(t, serve)...)
	client := rig.dial()
	length := len((&faultyAttempt{id: "000", route: route, framing: framing}).text())
	served := 0
	for at := range length + 1 {
		mu.Lock()
		point = at
		clear(surplus)
		mu.Unlock()
		for _, step := range []struct {
			name     string
			deadline time.Duration
		}{{"a", testTimeout}, {"b", 80 * time.Millisecond}} {
			client.reconnect(rig)
			attempt := &faultyAttempt{id: fmt.Sprintf("%s%02x", step.name, at), route: route, framing: framing}
			began := time.Now()
			got := client.postAndRead(route, attempt.id, fmt.Sprint(step.deadline.Milliseconds()))
			mu.Lock()
			hasRun := ran[attempt.id]
			mu.Unlock()
			switch {
			case got == clientResult{200, attempt.body(), false}:
				served++
			case got.cameTooLate(step.deadline, began): // it proves nothing
			case step.name == "a":
				t.Errorf("%s, without surplus bytes before it: %+v", attempt.id, got)
			case got.status == 503 && !hasRun: // the deadline of 80 ms passed before the request was sent
			case got.status == 504 && !got.truncated: // the surplus head announced a longer body than arrived
			case route == "safe" || route == "stream", got.status != 502:
				t.Errorf("%s after %d surplus bytes: %+v", attempt.id, at, got)
			}
		}
	}
	rig.awaitCallsEnded()
	rig.Assert(served > length, qt.IsTrue)
}

// text returns the complete response to the attempt.
func (a *faultyAttempt) text() string {
	text, _ := a.encodeResponse(requestOf(a.id))
	return text
}

// A server closes or resets the connection after any number of bytes of a request, on a new or on a reused
// connection. A request that must not run twice must not be sent to another server, and an idempotent one
// must be answered by another server.
func TestFaultAtEveryByteOfARequest(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream", "firm"} {
		for _, reused := range []bool{false, true} {
			for _, fault := range []fault{closes, resets} {
				t.Run(fmt.Sprintf("%s, reused %t, %s", route, reused, fault), func(t *testing.T) {
					t.Parallel()
					faultAtEveryRequestByte(t, route, reused, fault)
				})
			}
		}
	}
}

// faultAtEveryRequestByte sends requests to a server that reads some bytes of each, every third number up to
// maxBytes, and then closes or resets the connection. A second server has no faults.
func faultAtEveryRequestByte(t *testing.T, route string, reused bool, fault fault) {
	t.Helper()
	var mu sync.Mutex
	point, connections := 0, 0
	respondComplete := func(req *http1.Request, w io.Writer) bool {
		attempt := &faultyAttempt{id: req.Header.Get(tryIDHeader), route: route, framing: byLength}
		text, _ := attempt.encodeResponse(req)
		io.WriteString(w, text)
		return true
	}
	const maxBytes = 120 // fewer bytes than a request has
	bad := newFakeServer(t, "i-1", "lookup", "", respondComplete)
	bad.listener.Close()
	bad.listen(t, func(conn net.Conn) {
		mu.Lock()
		connections++
		first, read := connections == 1, point
		mu.Unlock()
		if first && reused {
			req, _, err := http1.ReadRequestHead(bufio.NewReader(conn))
			if err == nil {
				respondComplete(req, conn)
			}
		} else if !first && !reused {
			return
		}
		io.CopyN(io.Discard, conn, int64(read))
		if fault == resets {
			conn.(*net.TCPConn).SetLinger(0)
		}
	})
	good := newFakeServer(t, "i-2", "lookup", "", respondComplete)
	rig := newRig(t, withRetrySlack(1e6), bad, good)
	client := rig.dial()
	atMostOnce := route == "unsafe" || route == "firm"
	for at := 0; at <= maxBytes; at += 3 {
		mu.Lock()
		point, connections = at, 0
		mu.Unlock()
		if reused {
			client.reconnect(rig)
			client.postAndRead(route, fmt.Sprintf("r%02x", at), "")
		}
		client.reconnect(rig)
		before := len(good.got())
		attempt := &faultyAttempt{id: fmt.Sprintf("b%02x", at), route: route, framing: byLength}
		got := client.postAndRead(route, attempt.id, "")
		elsewhere := len(good.got()) - before
		switch {
		case got == clientResult{200, attempt.body(), false} && elsewhere == 1 && (!atMostOnce || at == 0):
		case atMostOnce && got.status == 502 && elsewhere == 0:
		default:
			t.Errorf("after %d bytes: %+v, %d calls to the other server", at, got, elsewhere)
		}
	}
	rig.awaitCallsEnded()
}
