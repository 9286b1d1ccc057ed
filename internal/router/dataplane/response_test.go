package dataplane

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/scheduler"
)

// sized answers with a body of that size, told or in chunks, and breaks off before the last part of it.
func sized(size int, chunked, whole bool) handler {
	return func(req *http1.Request, w io.Writer) bool {
		body := strings.Repeat("x", size)
		if !whole {
			body = body[:size-10]
		}
		if !chunked {
			fmt.Fprint(w, head(req, 200, stamp), fmt.Sprintf("Content-Length: %d\r\n\r\n", size), body)
			return whole
		}
		fmt.Fprint(w, head(req, 200, stamp, "Transfer-Encoding: chunked"), "\r\n")
		for at := 0; at < len(body); at += 5000 {
			io.WriteString(w, chunk(body[at:min(at+5000, len(body))]))
		}
		if whole {
			io.WriteString(w, "0\r\n\r\n")
		}
		return whole
	}
}

func TestResponsesOfAllSizes(t *testing.T) {
	for _, size := range []int{20, 4096, maxBufferedResponse, maxBufferedResponse + 1, 300_000} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				s := newServer(t, "i-1", "lookup", "", sized(size, chunked, true))
				r := newRig(t, nil, s)
				p := r.dial()
				for range 2 {
					answer := p.ask("POST", "/unsafe/", "a", "")
					r.Assert(len(answer.Body), qt.Equals, size)
				}
				r.Assert(r.proxy.Stats().Dialled, qt.Equals, int64(1))
				r.eventually("the memory is given back", func() bool { return r.proxy.bodies.Used() == 0 })
			})
		}
	}
}

func TestTruncatedResponsesDoNotLookComplete(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{1000, 300_000} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				s := newServer(t, "i-1", "lookup", "", sized(size, chunked, false))
				r := newRig(t, nil, s)
				p := r.dial()
				p.send("POST", "/unsafe/", "a", "")
				answer, err := p.read()
				if size <= maxBufferedResponse {
					r.Assert(err, qt.IsNil)
					r.Assert(answer.Status, qt.Equals, 502)
					return
				}
				r.Assert(answer.Status, qt.Equals, 200)
				r.Assert(err, qt.Not(qt.IsNil))
				_, err = p.in.ReadByte()
				r.Assert(err, qt.Not(qt.IsNil))
			})
		}
	}
}

// A response without a length is complete where its connection ends in order, and is not where it is reset.
func TestResponseThatOnlyItsConnectionEnds(t *testing.T) {
	for _, size := range []int{20, 300_000} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(size, reset), func(t *testing.T) {
				read := make(chan bool, 1)
				s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
					fmt.Fprint(w, head(req, 200, stamp), "\r\n", strings.Repeat("x", size))
					if reset {
						<-read
						w.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				r := newRig(t, nil, s)
				p := r.dial()
				p.send("POST", "/unsafe/", "a", "")
				if size > maxBufferedResponse { // a reset would take away what the client is to see
					_, err := p.in.Peek(1)
					r.Assert(err, qt.IsNil)
				}
				read <- true
				answer, err := p.read()
				switch {
				case !reset:
					r.Assert(err, qt.IsNil)
					r.Assert(answer.Status, qt.Equals, 200)
					r.Assert(answer.Body, qt.HasLen, size)
				case size <= maxBufferedResponse:
					r.Assert(err, qt.IsNil)
					r.Assert(answer.Status, qt.Equals, 502)
				default:
					r.Assert(answer.Status, qt.Equals, 200)
					r.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
				}
				r.Assert(s.got(), qt.HasLen, 1)
			})
		}
	}
}

func TestLargeResponseWithoutMemoryIsForwardedAsItComes(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", sized(50_000, true, true))
	r := newRig(t, func(settings *agentsettings.Settings, _ *fakeState) { settings.MemoryBytes = 8 * 10_000 }, s)
	r.Assert(len(r.dial().ask("GET", "/safe/", "a", "").Body), qt.Equals, 50_000)
}

func TestSurplusResponses(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nCresshub-Try-Id: other\r\n" + stamp + "\r\nContent-Length: 5\r\n\r\nother"
	for name, test := range map[string]struct {
		answer handler
		status int
		body   string
	}{
		"before its own response": {func(req *http1.Request, w io.Writer) bool {
			io.WriteString(w, other)
			return ok("own")(req, w)
		}, 200, "own"},
		"in place of its own response": {func(req *http1.Request, w io.Writer) bool {
			io.WriteString(w, other)
			return false
		}, 502, ""},
		"without end": {raw(strings.Repeat(other, 9)), 502, ""},
		"after its own response": {func(req *http1.Request, w io.Writer) bool {
			fmt.Fprint(w, head(req, 200, stamp), length("own"), "own", other)
			return true
		}, 200, "own"},
		"noise after its own response": {func(req *http1.Request, w io.Writer) bool {
			fmt.Fprint(w, head(req, 200, stamp), length("own"), "own", "more")
			return true
		}, 200, "own"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, "i-1", "lookup", "", test.answer)
			r := newRig(t, nil, s)
			p := r.dial()
			for i := range 3 {
				answer := p.ask("POST", "/unsafe/", fmt.Sprint("a", i), "")
				r.Assert(answer.Status, qt.Equals, test.status)
				if test.body != "" {
					r.Assert(string(answer.Body), qt.Equals, test.body)
				}
			}
			r.Assert(r.proxy.Stats().Reused, qt.Equals, int64(0))
			r.Assert(s.got(), qt.HasLen, 3)
		})
	}
}

// A surplus response that arrives while the connection is idle, or right after the next request was sent.
func TestLateSurplusResponse(t *testing.T) {
	late := make(chan bool, 1)
	s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		if req.Header.Get(tryIDHeader) == "a2" {
			select {
			case <-late: // the server answers the first request again, and only then this one
				fmt.Fprint(w, "HTTP/1.1 200 OK\r\nCresshub-Try-Id: a1\r\n", stamp, "\r\n", length("late"), "late")
			default:
			}
		}
		return ok("for "+req.Header.Get(tryIDHeader))(req, w)
	})
	r := newRig(t, nil, s)
	p := r.dial()
	r.Assert(string(p.ask("POST", "/unsafe/", "a1", "").Body), qt.Equals, "for a1")
	late <- true
	r.Assert(string(p.ask("POST", "/unsafe/", "a2", "").Body), qt.Equals, "for a2")
	r.Assert(string(p.ask("POST", "/unsafe/", "a3", "").Body), qt.Equals, "for a3")
	r.Assert(r.proxy.Stats().Surplus, qt.Equals, int64(1))
	r.Assert(r.proxy.Stats().Dialled, qt.Equals, int64(2))
}

func TestConnectionsAreReusedAsTheirServerAnnounces(t *testing.T) {
	for field, dialled := range map[string]int64{
		"X: y": 1, "Keep-Alive: timeout=5": 1, "Keep-Alive: timeout=0": 3, "Connection: close": 3,
	} {
		t.Run(field, func(t *testing.T) {
			s := newServer(t, "i-1", "lookup", "", status(200, stamp, field))
			r := newRig(t, nil, s)
			p := r.dial()
			for range 3 {
				p.ask("POST", "/unsafe/", "a", "")
			}
			r.Assert(r.proxy.Stats().Dialled, qt.Equals, dialled)
		})
	}
}

func TestConnectionThatEndedWhileIdleIsNotUsed(t *testing.T) {
	s := newServer(t, "i-1", "lookup", "", func(req *http1.Request, w io.Writer) bool {
		ok("x")(req, w)
		return false
	})
	r := newRig(t, nil, s)
	p := r.dial()
	for range 3 {
		r.Assert(p.ask("POST", "/unsafe/", "a", "").Status, qt.Equals, 200)
		r.eventually("the server has ended it", func() bool { return r.idleEnded("i-1") })
	}
	r.Assert(r.proxy.Stats().Dialled, qt.Equals, int64(3))
}

// idleEnded reports whether all idle connections to a server have ended.
func (r *rig) idleEnded(server string) bool {
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

// A server that closes an idle connection while a request is on its way leaves open whether it ran.
func TestConnectionThatEndsWithTheNextRequest(t *testing.T) {
	for route, test := range map[string]struct{ status, arrivals int }{"safe": {200, 3}, "unsafe": {502, 2}} {
		t.Run(route, func(t *testing.T) {
			s := newServer(t, "i-1", "lookup", "", inTurn(ok("first"), breakOff, ok("again")))
			r := newRig(t, nil, s)
			p := r.dial()
			r.Assert(p.ask("POST", "/"+route+"/", "a", "").Status, qt.Equals, 200)
			r.Assert(p.ask("POST", "/"+route+"/", "b", "").Status, qt.Equals, test.status)
			r.Assert(s.got(), qt.HasLen, test.arrivals)
			r.awaitCallsEnded()
			r.Assert(r.chooser.outcomes()[1], qt.Equals, scheduler.Abandoned) // no fault of the server
		})
	}
}
