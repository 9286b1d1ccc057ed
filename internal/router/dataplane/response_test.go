package dataplane

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/scheduler"
)

// respondSized responds with a body of that size, with a Content-Length or in chunks. If complete is false,
// the last ten bytes are missing and the connection is closed.
func respondSized(size int, chunked, complete bool) handler {
	return func(req *http1.Request, w io.Writer) bool {
		body := strings.Repeat("x", size)
		if !complete {
			body = body[:size-10]
		}
		if !chunked {
			fmt.Fprint(w, responseHead(req, 200, stamp), fmt.Sprintf("Content-Length: %d\r\n\r\n", size), body)
			return complete
		}
		fmt.Fprint(w, responseHead(req, 200, stamp, "Transfer-Encoding: chunked"), "\r\n")
		for at := 0; at < len(body); at += 5000 {
			io.WriteString(w, chunk(body[at:min(at+5000, len(body))]))
		}
		if complete {
			io.WriteString(w, "0\r\n\r\n")
		}
		return complete
	}
}

func TestResponsesOfAllSizesArriveComplete(t *testing.T) {
	for _, size := range []int{20, 4096, maxBufferedBodyBytes, maxBufferedBodyBytes + 1, 300_000} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				server := newFakeServer(t, "i-1", "lookup", "",
					keepingAlive(respondSized(size, chunked, true)))
				rig := newRig(t, nil, server)
				client := rig.dial()
				for range 2 {
					response := client.do("POST", "/unsafe/", "a", "")
					rig.Assert(len(response.Body), qt.Equals, size)
				}
				rig.Assert(rig.proxy.Stats().Dialled, qt.Equals, int64(1))
				rig.eventually("the buffers' memory is released", func() bool { return rig.proxy.bodies.Used() == 0 })
			})
		}
	}
}

func TestTruncatedResponsesDoNotLookComplete(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{1000, 300_000} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				server := newFakeServer(t, "i-1", "lookup", "", respondSized(size, chunked, false))
				rig := newRig(t, nil, server)
				client := rig.dial()
				client.send("POST", "/unsafe/", "a", "")
				response, err := client.read()
				if size <= maxBufferedBodyBytes {
					rig.Assert(err, qt.IsNil)
					rig.Assert(response.Status, qt.Equals, 502)
					return
				}
				rig.Assert(response.Status, qt.Equals, 200)
				rig.Assert(err, qt.Not(qt.IsNil))
				_, err = client.in.ReadByte()
				rig.Assert(err, qt.Not(qt.IsNil))
			})
		}
	}
}

// A response without a length is complete if the connection is closed in order, and incomplete if it is
// reset.
func TestResponseDelimitedByConnectionEnd(t *testing.T) {
	for _, size := range []int{20, 300_000} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(size, reset), func(t *testing.T) {
				read := make(chan bool, 1)
				server := newFakeServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
					fmt.Fprint(w, responseHead(req, 200, stamp), "\r\n", strings.Repeat("x", size))
					if reset {
						<-read
						w.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				rig := newRig(t, nil, server)
				client := rig.dial()
				client.send("POST", "/unsafe/", "a", "")
				if size > maxBufferedBodyBytes { // wait for the start: a reset discards what was not forwarded yet
					_, err := client.in.Peek(1)
					rig.Assert(err, qt.IsNil)
				}
				read <- true
				response, err := client.read()
				switch {
				case !reset:
					rig.Assert(err, qt.IsNil)
					rig.Assert(response.Status, qt.Equals, 200)
					rig.Assert(response.Body, qt.HasLen, size)
				case size <= maxBufferedBodyBytes:
					rig.Assert(err, qt.IsNil)
					rig.Assert(response.Status, qt.Equals, 502)
				default:
					rig.Assert(response.Status, qt.Equals, 200)
					rig.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
				}
				rig.Assert(server.got(), qt.HasLen, 1)
			})
		}
	}
}

func TestLargeResponseWithoutMemoryIsForwardedAsItArrives(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", respondSized(50_000, true, true))
	rig := newRig(t, func(settings *agentsettings.Settings, _ *fakeState) { settings.MemoryBytes = 8 * 10_000 },
		server)
	rig.Assert(len(rig.dial().do("GET", "/safe/", "a", "").Body), qt.Equals, 50_000)
}

func TestSurplusResponses(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nCresshub-Try-Id: other\r\n" + stamp + "\r\nContent-Length: 5\r\n\r\nother"
	for name, test := range map[string]struct {
		respond handler
		status  int
		body    string
	}{
		"before its own response": {func(req *http1.Request, w io.Writer) bool {
			io.WriteString(w, other)
			return respondOK("own")(req, w)
		}, 200, "own"},
		"in place of its own response": {func(req *http1.Request, w io.Writer) bool {
			io.WriteString(w, other)
			return false
		}, 502, ""},
		"without end": {writeRaw(strings.Repeat(other, 9)), 502, ""},
		"after its own response": {func(req *http1.Request, w io.Writer) bool {
			fmt.Fprint(w, responseHead(req, 200, stamp), contentLength("own"), "own", other)
			return true
		}, 200, "own"},
		"noise after its own response": {func(req *http1.Request, w io.Writer) bool {
			fmt.Fprint(w, responseHead(req, 200, stamp), contentLength("own"), "own", "more")
			return true
		}, 200, "own"},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "i-1", "lookup", "", test.respond)
			rig := newRig(t, nil, server)
			client := rig.dial()
			for i := range 3 {
				response := client.do("POST", "/unsafe/", fmt.Sprint("a", i), "")
				rig.Assert(response.Status, qt.Equals, test.status)
				if test.body != "" {
					rig.Assert(string(response.Body), qt.Equals, test.body)
				}
			}
			rig.Assert(rig.proxy.Stats().Reused, qt.Equals, int64(0))
			rig.Assert(server.got(), qt.HasLen, 3)
		})
	}
}

// A surplus response arrives while the connection is idle, or right after the next request was sent.
func TestLateSurplusResponse(t *testing.T) {
	late := make(chan bool, 1)
	handle := func(req *http1.Request, w io.Writer) bool {
		if req.Header.Get(tryIDHeader) == "a2" {
			select {
			case <-late: // responds to the first request again before it responds to this one
				fmt.Fprint(w, "HTTP/1.1 200 OK\r\nCresshub-Try-Id: a1\r\n", stamp, "\r\n", contentLength("late"), "late")
			default:
			}
		}
		return respondOK("for "+req.Header.Get(tryIDHeader))(req, w)
	}
	rig := newRig(t, nil, newFakeServer(t, "i-1", "lookup", "", keepingAlive(handle)))
	client := rig.dial()
	rig.Assert(string(client.do("POST", "/unsafe/", "a1", "").Body), qt.Equals, "for a1")
	late <- true
	rig.Assert(string(client.do("POST", "/unsafe/", "a2", "").Body), qt.Equals, "for a2")
	rig.Assert(string(client.do("POST", "/unsafe/", "a3", "").Body), qt.Equals, "for a3")
	rig.Assert(rig.proxy.Stats().Surplus, qt.Equals, int64(1))
	rig.Assert(rig.proxy.Stats().Dialled, qt.Equals, int64(2))
}

func TestConnectionReuseFollowsKeepAlive(t *testing.T) {
	for field, dialled := range map[string]int64{
		"X: y": 1, "Keep-Alive: timeout=5": 1, "Keep-Alive: timeout=0": 3, "Connection: close": 3,
	} {
		t.Run(field, func(t *testing.T) {
			server := newFakeServer(t, "i-1", "lookup", "", respondStatus(200, stamp, field))
			for end, inTime := time.Now().Add(testTimeout), false; !inTime; {
				rig := newRig(t, nil, server)
				rig.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("three requests took too long in each try"))
				client := rig.dial()
				began := time.Now()
				for range 3 {
					client.do("POST", "/unsafe/", "a", "")
				}
				// A connection that has been idle for longer is not reused, whatever its server announced.
				inTime = time.Since(began) < defaultIdleTime
				if inTime {
					rig.Assert(rig.proxy.Stats().Dialled, qt.Equals, dialled)
				}
			}
		})
	}
}

func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	server := newFakeServer(t, "i-1", "lookup", "", keepingAlive(closeAfter(respondOK("x"))))
	rig := newRig(t, nil, server)
	client := rig.dial()
	for range 3 {
		rig.Assert(client.do("POST", "/unsafe/", "a", "").Status, qt.Equals, 200)
		rig.eventually("the server has closed the connection", func() bool { return rig.idleEnded("i-1") })
	}
	rig.Assert(rig.proxy.Stats().Dialled, qt.Equals, int64(3))
}

// idleEnded reports whether all idle connections to a server have ended.
func (r *testRig) idleEnded(server string) bool {
	r.proxy.pool.mu.Lock()
	defer r.proxy.pool.mu.Unlock()
	conns := r.proxy.pool.servers[server]
	if conns == nil {
		return false
	}
	for _, conn := range conns.idle {
		if conn.readState() != readClosed {
			return false
		}
	}
	return len(conns.idle) > 0
}

// If a server closes an idle connection while a request is in transit, it is unknown whether the request ran.
func TestConnectionClosedDuringNextRequest(t *testing.T) {
	for route, test := range map[string]struct{ status, arrivals int }{"safe": {200, 3}, "unsafe": {502, 2}} {
		t.Run(route, func(t *testing.T) {
			server := newFakeServer(t, "i-1", "lookup", "",
				inTurn(keepingAlive(respondOK("first")), closeUnanswered, respondOK("again")))
			rig := newRig(t, nil, server)
			client := rig.dial()
			rig.Assert(client.do("POST", "/"+route+"/", "a", "").Status, qt.Equals, 200)
			rig.Assert(client.do("POST", "/"+route+"/", "b", "").Status, qt.Equals, test.status)
			rig.Assert(server.got(), qt.HasLen, test.arrivals)
			rig.awaitCallsEnded()
			rig.Assert(rig.chooser.outcomes()[1], qt.Equals, scheduler.Abandoned) // no fault of the server
		})
	}
}
