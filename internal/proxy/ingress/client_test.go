package ingress

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"cresshub/internal/bodybudget"
	"cresshub/internal/connbuffer"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/stats"
)

func newClient() (*client, net.Conn) {
	near, far := net.Pipe()
	return &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1)}, far
}

// A Wake may come before its Wait, during it, or with the next request already there; none is lost.
func TestWakeIsNotLost(t *testing.T) {
	c, far := newClient()
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
		t.Errorf("%d bytes of the next request buffered", c.In.Buffered())
	}
}

func TestWaitNoticesClientGone(t *testing.T) {
	c, far := newClient()
	go far.Close()
	if err := c.Wait(); err == nil {
		t.Error("the client is still there")
	}
}

func newServer() *Server {
	return New(Options{Limits: config.Clients{MaxRejecting: 1, ReclaimUnused: 50 * time.Millisecond,
		ReclaimPartial: 500 * time.Millisecond, ReclaimIdle: 20 * time.Millisecond},
		Bodies: bodybudget.NewBudget(1 << 20), Budget: descriptors.NewBudget(100, 0.6, 0.25),
		Stats: &stats.Set{}, Log: slog.New(slog.DiscardHandler)})
}

// Connections are closed first where they never sent a request, then where they stall within one, then where
// they are idle, and never with a complete request or just after they opened.
func TestExpendabilityOrder(t *testing.T) {
	s := newServer()
	old := time.Now().Add(-time.Minute)
	add := func(c *client) *client {
		c.Conn = connbuffer.NewConn(func() net.Conn { near, _ := net.Pipe(); return near }())
		s.clients[c] = struct{}{}
		return c
	}
	add(&client{since: old})
	add(&client{idle: true, unused: true, since: time.Now().Add(time.Minute)})
	order := []*client{
		add(&client{idle: true, unused: true, since: old}),
		add(&client{idle: true, unused: true, since: old.Add(time.Second)}),
		add(&client{idle: true, unused: true, receiving: true, since: old}),
		add(&client{idle: true, since: old}),
		add(&client{idle: true, since: time.Now().Add(-100 * time.Millisecond)}), // one request a connection
	}
	for i, c := range order {
		if !s.closeMostExpendable() {
			t.Fatalf("only %d were closed", i)
		}
		if _, held := s.clients[c]; held {
			t.Errorf("another one than the %d. was closed", i)
		}
	}
	if s.closeMostExpendable() {
		t.Error("one in use was closed")
	}
}

// Without a request log, logging costs a request no allocation.
func TestRequestLogOffIsFree(t *testing.T) {
	s := newServer()
	c, _ := newClient()
	tries := []*attempt{{}}
	if n := testing.AllocsPerRun(1000, func() {
		if s.requestLog.Load().Allow() {
			t.Fatal("an entry is wanted")
		}
		s.recordOutcome(c, "served", 200, tries, 0)
		s.logRequest(c, time.Time{})
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestMayBeginRequest(t *testing.T) {
	for behind, want := range map[string]bool{"": true, "GET /api": true, "PO": true, "POST /": true,
		"\r\n": true, "\r\nGET /": true, "HEAD /": true, "GET http://h/": true, "\r\nxyz": false,
		"xyz": false, "\n": false, "GETaway": false} {
		r := bufio.NewReader(strings.NewReader(behind))
		r.Peek(1)
		if got := mayBeginRequest(r); got != want {
			t.Errorf("%q: %v", behind, got)
		}
	}
}
