package ingress

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"cresshub/internal/counters"
	"cresshub/internal/ring"
	"cresshub/internal/sockets"
)

func pair() (*client, net.Conn) {
	near, far := net.Pipe()
	return &client{Conn: ring.NewConn(near), woken: make(chan struct{}, 1)}, far
}

// A wake may come before its wait, during it, or with the next request already there; none is lost.
func TestWakeIsNotLost(t *testing.T) {
	c, far := pair()
	for range 100 {
		go c.Wake()
		if err := c.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	c.Wake()
	if err := c.Wait(); err != nil {
		t.Fatal(err)
	}
	go func() {
		io.WriteString(far, "early")
		c.Wake()
	}()
	if err := c.Wait(); err != nil {
		t.Fatal(err)
	}
	if c.In.Buffered() != len("early") {
		t.Errorf("%d bytes of the next request kept", c.In.Buffered())
	}
}

func TestWaitNoticesThatTheClientLeft(t *testing.T) {
	c, far := pair()
	go far.Close()
	if err := c.Wait(); err == nil {
		t.Error("the client is still there")
	}
}

func server(log io.Writer) *Server {
	lines := slog.New(slog.NewTextHandler(log, nil))
	return New(nil, nil, nil, nil, sockets.NewBudget(100), &counters.Set{}, lines)
}

// Places go first from those that never asked, then from those stuck in a request, then from those that
// rest, and never from one with a whole request or one that only just came.
func TestWhoMakesRoom(t *testing.T) {
	s := server(io.Discard)
	old := time.Now().Add(-time.Minute)
	add := func(c client) *client {
		c.Conn = ring.NewConn(func() net.Conn { near, _ := net.Pipe(); return near }())
		s.clients[&c] = struct{}{}
		return &c
	}
	add(client{since: old})
	add(client{idle: true, fresh: true, since: time.Now().Add(time.Minute)})
	order := []*client{
		add(client{idle: true, fresh: true, since: old}),
		add(client{idle: true, fresh: true, since: old.Add(time.Second)}),
		add(client{idle: true, fresh: true, half: true, since: old}),
		add(client{idle: true, since: old}),
		add(client{idle: true, since: time.Now().Add(-100 * time.Millisecond)}), // one request a connection
	}
	for i, c := range order {
		if !s.closeOne() {
			t.Fatalf("only %d made room", i)
		}
		if _, held := s.clients[c]; held {
			t.Errorf("another one than the %d. made room", i)
		}
	}
	if s.closeOne() {
		t.Error("one in use made room")
	}
}

func TestRejectionsAreLoggedSparingly(t *testing.T) {
	var log bytes.Buffer
	s := server(&log)
	for range 1000 {
		s.rejected(400, "no id")
	}
	if n := strings.Count(log.String(), "\n"); n > 60 { // one a second, and this takes no minute
		t.Errorf("%d lines for 1000 requests", n)
	}
	if !strings.Contains(log.String(), "no id") {
		t.Error("nothing was logged")
	}
}

func TestBegins(t *testing.T) {
	for behind, want := range map[string]bool{"": true, "GET /api": true, "PO": true, "POST /": true,
		"xyz": false, "\r\n": false, "GETaway": false} {
		r := bufio.NewReader(strings.NewReader(behind))
		r.Peek(1)
		if got := begins(r); got != want {
			t.Errorf("%q: %v", behind, got)
		}
	}
}
