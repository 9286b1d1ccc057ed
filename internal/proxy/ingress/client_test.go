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

// newClient returns a connected client as the server holds it, and the other end of its connection.
func newClient() (*client, net.Conn) {
	near, far := net.Pipe()
	return &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1)}, far
}

// A Wake may come before its Wait, during it, or with the next request already there; none is lost.
func TestWakeIsNotLost(t *testing.T) {
	client, far := newClient()
	for range 100 {
		go client.Wake()
		if err := client.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	client.Wake()
	if err := client.Wait(); err != nil {
		t.Fatal(err)
	}
	go func() {
		io.WriteString(far, "early")
		client.Wake()
	}()
	if err := client.Wait(); err != nil {
		t.Fatal(err)
	}
	if client.In.Buffered() != len("early") {
		t.Errorf("%d bytes of the next request buffered", client.In.Buffered())
	}
}

func TestWaitNoticesClientGone(t *testing.T) {
	client, far := newClient()
	go far.Close()
	if err := client.Wait(); err == nil {
		t.Error("the client is still there")
	}
}

// newIdleServer returns a server that doesn't listen.
func newIdleServer() *Server {
	return New(Options{Limits: config.Clients{MaxRejecting: 1, ReclaimUnused: 50 * time.Millisecond,
		ReclaimPartial: 500 * time.Millisecond, ReclaimIdle: 20 * time.Millisecond},
		Bodies: bodybudget.NewBudget(1 << 20), Descriptors: descriptors.NewBudget(100, 0.6, 0.25),
		Stats: &stats.Set{}, Log: slog.New(slog.DiscardHandler)})
}

// Connections are closed first where they never sent a request, then where they stall within one, then where
// they are idle, and never with a complete request or just after they opened.
func TestExpendabilityOrder(t *testing.T) {
	server := newIdleServer()
	old := time.Now().Add(-time.Minute)
	add := func(c *client) *client {
		c.Conn = connbuffer.NewConn(func() net.Conn { near, _ := net.Pipe(); return near }())
		server.clients[c] = struct{}{}
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
	for i, client := range order {
		if !server.reclaimConnection() {
			t.Fatalf("only %d were closed", i)
		}
		if _, held := server.clients[client]; held {
			t.Errorf("another one than the %d. was closed", i)
		}
	}
	if server.reclaimConnection() {
		t.Error("one in use was closed")
	}
}

// Without a request log, logging costs a request no allocation.
func TestRequestLogOffIsFree(t *testing.T) {
	server := newIdleServer()
	client, _ := newClient()
	tries := []*attempt{{}}
	if n := testing.AllocsPerRun(1000, func() {
		if server.requestLog.Load().Allow() {
			t.Fatal("an entry is wanted")
		}
		server.recordOutcome(client, "served", 200, tries, 0)
		server.logRequest(client, time.Time{})
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestMayBeginRequest(t *testing.T) {
	for buffered, want := range map[string]bool{"": true, "GET /api": true, "PO": true, "POST /": true,
		"\r\n": true, "\r\nGET /": true, "HEAD /": true, "GET http://h/": true, "\r\nxyz": false,
		"xyz": false, "\n": false, "GETaway": false} {
		reader := bufio.NewReader(strings.NewReader(buffered))
		reader.Peek(1)
		if got := mayStartRequest(reader); got != want {
			t.Errorf("%q: %v", buffered, got)
		}
	}
}
