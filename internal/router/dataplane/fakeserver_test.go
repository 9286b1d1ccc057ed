package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
	"cresshub/internal/testbed/connserver"
)

// fakeServer is a server on loopback with scripted responses. Its methods may be called from any goroutine.
type fakeServer struct {
	*catalog.Server
	listener net.Listener
	mu       sync.Mutex
	received []*http1.Request // in the order of their arrival
}

// handler responds to one request by writing to w, which is the connection. It returns false to have the
// connection closed. It runs on the connection's goroutine.
type handler func(req *http1.Request, w io.Writer) bool

// newFakeServer starts a server of a service that is ready and has eight slots. It runs until the test ends.
func newFakeServer(tb testing.TB, id, service string, role catalog.Role, handle handler) *fakeServer {
	tb.Helper()
	server := &fakeServer{Server: &catalog.Server{ID: id, Service: service, Slots: 8, State: catalog.Ready,
		Role: role}}
	server.listen(tb, func(conn net.Conn) { server.serve(conn, handle) })
	return server
}

// listen opens a listener for the server and runs serve for each connection, on a goroutine of its own, until
// the test ends. The connection is closed when serve returns.
func (s *fakeServer) listen(tb testing.TB, serve func(net.Conn)) {
	tb.Helper()
	s.listenWith(tb, net.ListenConfig{}, serve)
}

// listenWith is listen with socket options.
func (s *fakeServer) listenWith(tb testing.TB, config net.ListenConfig, serve func(net.Conn)) {
	tb.Helper()
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s.listener = listener
	s.Address = listener.Addr().String()
	conns := connserver.Serve(listener, 0, func(conn *connbuffer.Conn) { serve(conn.Conn) })
	tb.Cleanup(func() { conns.Close(false) })
}

// serve records and handles the requests of one connection until the handler or the peer ends it.
func (s *fakeServer) serve(conn net.Conn, handle handler) {
	in := bufio.NewReader(conn)
	for {
		req, body, err := http1.ReadRequestHead(in)
		if err != nil {
			return
		}
		if req.Body, err = io.ReadAll(body); err != nil {
			return
		}
		s.mu.Lock()
		s.received = append(s.received, req)
		s.mu.Unlock()
		if !handle(req, conn) {
			return
		}
	}
}

// got returns the requests that the server has received completely so far.
func (s *fakeServer) got() []*http1.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http1.Request(nil), s.received...)
}

// respondOK responds with status 200, a server stamp and the given body.
func respondOK(body string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, responseHead(req, 200, "Cresshub-Server-Stamp: s1"), contentLength(body), body)
		return true
	}
}

// longKeepAlive announces that a connection stays open for longer than any wait of a test. Without it, a
// connection is not reused after it has been idle for defaultIdleTime. Before an unsafe request the limit
// maxIdleTimeUnsafe still applies.
const longKeepAlive = "Keep-Alive: timeout=60"

// keepingAlive responds like handle and adds longKeepAlive to the response. handle must not wait for its
// peer.
func keepingAlive(handle handler) handler {
	return func(req *http1.Request, w io.Writer) bool {
		var text strings.Builder
		keepOpen := handle(req, &text)
		io.WriteString(w, strings.Replace(text.String(), "\r\n", "\r\n"+longKeepAlive+"\r\n", 1))
		return keepOpen
	}
}

// responseHead returns the status line and the header fields of a response to req, without the blank line.
func responseHead(req *http1.Request, status int, fields ...string) string {
	lines := fmt.Sprintf("HTTP/1.1 %d X\r\nCresshub-Try-Id: %s\r\n", status, req.Header.Get(tryIDHeader))
	for _, f := range fields {
		lines += f + "\r\n"
	}
	return lines
}

// contentLength returns the Content-Length field for a body, and the blank line that ends the head.
func contentLength(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) }

// respondStatus responds with a status, header fields and an empty body.
func respondStatus(code int, fields ...string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, responseHead(req, code, fields...), contentLength(""))
		return true
	}
}

// newLookupServers starts four servers of the service lookup that share a handler.
func newLookupServers(tb testing.TB, handle handler) []*fakeServer {
	tb.Helper()
	var servers []*fakeServer
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		servers = append(servers, newFakeServer(tb, id, "lookup", catalog.NoRole, handle))
	}
	return servers
}

// allReceived returns the requests that arrived at servers, in the order of the servers.
func allReceived(servers []*fakeServer) (all []*http1.Request) {
	for _, server := range servers {
		all = append(all, server.got()...)
	}
	return all
}

// requestsReceived returns how many requests arrived at all of the servers together.
func requestsReceived(servers []*fakeServer) int { return len(allReceived(servers)) }

// closeUnanswered closes the connection without a response.
func closeUnanswered(*http1.Request, io.Writer) bool { return false }

// writeRaw writes text unchanged, whatever the request is.
func writeRaw(text string) handler {
	return func(_ *http1.Request, w io.Writer) bool {
		io.WriteString(w, text)
		return true
	}
}

// neverAnswer sends no response and waits until the peer ends the connection. It then sends the request's
// Cresshub-Try-Id on the channel ended.
func neverAnswer(ended chan<- string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		io.Copy(io.Discard, w.(net.Conn))
		ended <- req.Header.Get(tryIDHeader)
		return false
	}
}

// inTurn handles the first request with the first handler, the second one with the second handler and so on,
// and all further requests with the last handler.
func inTurn(handlers ...handler) handler {
	var mu sync.Mutex
	return func(req *http1.Request, w io.Writer) bool {
		mu.Lock()
		handle := handlers[0]
		if len(handlers) > 1 {
			handlers = handlers[1:]
		}
		mu.Unlock()
		return handle(req, w)
	}
}

// streamEvents responds with a stream of the events from..to. It truncates the stream if complete is false.
func streamEvents(from, to int, complete bool) handler {
	return func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, responseHead(req, 200, "Cresshub-Server-Stamp: s"+fmt.Sprint(from),
			"Content-Type: text/event-stream", "Transfer-Encoding: chunked"), "\r\n")
		for id := from; id <= to; id++ {
			io.WriteString(w, chunk(eventText(id)))
		}
		if complete {
			io.WriteString(w, "0\r\n\r\n")
		}
		return complete
	}
}

// eventText returns the encoded event with an id.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// eventsText returns the encoded events from..to.
func eventsText(from, to int) string {
	var all strings.Builder
	for id := from; id <= to; id++ {
		all.WriteString(eventText(id))
	}
	return all.String()
}

// chunk encodes text as one chunk of the chunked transfer coding.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
