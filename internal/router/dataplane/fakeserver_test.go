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

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
)

// server is a server with scripted responses.
type server struct {
	*catalog.Server
	listener net.Listener
	mu       sync.Mutex
	received []*http1.Request
}

// handler answers one request by what it writes to the connection; false ends the connection.
type handler func(req *http1.Request, w io.Writer) bool

func newServer(tb testing.TB, id, service string, stage catalog.Role, answer handler) *server {
	tb.Helper()
	s := &server{Server: &catalog.Server{ID: id, Service: service, Slots: 8, State: catalog.Ready, Role: stage}}
	s.listen(tb, func(conn net.Conn) { s.serve(conn, answer) })
	return s
}

// listen gives each connection a goroutine until the test ends.
func (s *server) listen(tb testing.TB, serve func(net.Conn)) {
	tb.Helper()
	s.listenWith(tb, net.ListenConfig{}, serve)
}

func (s *server) listenWith(tb testing.TB, how net.ListenConfig, serve func(net.Conn)) {
	tb.Helper()
	listener, err := how.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s.listener = listener
	s.Address = listener.Addr().String()
	var under sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	tb.Cleanup(func() {
		listener.Close()
		mu.Lock()
		for conn := range open {
			conn.Close()
		}
		mu.Unlock()
		under.Wait()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[conn] = true
			under.Add(1)
			mu.Unlock()
			go func() {
				defer under.Done()
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
}

func (s *server) serve(conn net.Conn, answer handler) {
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
		if !answer(req, conn) {
			return
		}
	}
}

// got returns the requests that have arrived.
func (s *server) got() []*http1.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http1.Request(nil), s.received...)
}

// ok answers 200 with a stamp and that body.
func ok(body string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, head(req, 200, "Cresshub-Server-Stamp: s1"), length(body), body)
		return true
	}
}

// head is the status line and the fields of an answer to req, without the blank line.
func head(req *http1.Request, status int, fields ...string) string {
	lines := fmt.Sprintf("HTTP/1.1 %d X\r\nCresshub-Try-Id: %s\r\n", status, req.Header.Get(tryIDHeader))
	for _, f := range fields {
		lines += f + "\r\n"
	}
	return lines
}

func length(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) }

// status answers with a status, fields and no body.
func status(code int, fields ...string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, head(req, code, fields...), length(""))
		return true
	}
}

// newLookupServers returns servers of the service lookup that share a handler.
func newLookupServers(tb testing.TB, answer handler) []*server {
	tb.Helper()
	var servers []*server
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		servers = append(servers, newServer(tb, id, "lookup", catalog.NoRole, answer))
	}
	return servers
}

// requestsReceived is how many requests arrived at all of them.
func requestsReceived(servers []*server) (sum int) {
	for _, s := range servers {
		sum += len(s.got())
	}
	return sum
}

// breakOff closes without an answer.
func breakOff(*http1.Request, io.Writer) bool { return false }

// raw writes text as it is.
func raw(text string) handler {
	return func(_ *http1.Request, w io.Writer) bool {
		io.WriteString(w, text)
		return true
	}
}

// neverAnswer sends nothing and waits for the other side to end the connection, which it reports on ended.
func neverAnswer(ended chan<- string) handler {
	return func(req *http1.Request, w io.Writer) bool {
		io.Copy(io.Discard, w.(net.Conn))
		ended <- req.Header.Get(tryIDHeader)
		return false
	}
}

// inTurn answers each request by the next handler, and all further ones by the last.
func inTurn(handlers ...handler) handler {
	var mu sync.Mutex
	return func(req *http1.Request, w io.Writer) bool {
		mu.Lock()
		h := handlers[0]
		if len(handlers) > 1 {
			handlers = handlers[1:]
		}
		mu.Unlock()
		return h(req, w)
	}
}

// events answers with a stream of the events from..to, ended or broken off.
func events(from, to int, whole bool) handler {
	return func(req *http1.Request, w io.Writer) bool {
		fmt.Fprint(w, head(req, 200, "Cresshub-Server-Stamp: s"+fmt.Sprint(from), "Content-Type: text/event-stream",
			"Transfer-Encoding: chunked"), "\r\n")
		for id := from; id <= to; id++ {
			io.WriteString(w, chunk(event(id)))
		}
		if whole {
			io.WriteString(w, "0\r\n\r\n")
		}
		return whole
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func eventsText(from, to int) string {
	var all strings.Builder
	for id := from; id <= to; id++ {
		all.WriteString(event(id))
	}
	return all.String()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
