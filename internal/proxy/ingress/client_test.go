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

// newTestClient returns a client over an in-memory connection, and the other end of the connection.
func newTestClient() (*client, net.Conn) {
	near, far := net.Pipe()
	return &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1)}, far
}

// Wait returns for a Wake that is called before it, during it, or after bytes of the next request have
// arrived.
func TestWakeIsNotLost(t *testing.T) {
	client, far := newTestClient()
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
		t.Errorf("%d bytes of the next request are buffered, want all", client.In.Buffered())
	}
}

func TestWaitReturnsWhenClientDisconnects(t *testing.T) {
	client, far := newTestClient()
	go far.Close()
	if err := client.Wait(); err == nil {
		t.Error("Wait returned no error after the client closed the connection")
	}
}

// newServerWithoutListener returns a server that doesn't listen.
func newServerWithoutListener() *Server {
	return New(Options{Limits: config.Clients{MaxRejecting: 1, ReclaimUnused: 50 * time.Millisecond,
		ReclaimPartial: 500 * time.Millisecond, ReclaimIdle: 20 * time.Millisecond},
		Bodies: bodybudget.NewBudget(1 << 20), Descriptors: descriptors.NewBudget(100, 0.6, 0.25),
		Stats: &stats.Set{}, Log: slog.New(slog.DiscardHandler)})
}

// Connections that never sent a request are reclaimed first, then those that stall within one, then idle
// ones. A connection with a complete request, or one that opened just now, is never reclaimed.
func TestReclaimPriorityOrder(t *testing.T) {
	server := newServerWithoutListener()
	aMinuteAgo := time.Now().Add(-time.Minute)
	add := func(c *client) *client {
		c.Conn = connbuffer.NewConn(func() net.Conn { near, _ := net.Pipe(); return near }())
		server.clients[c] = struct{}{}
		return c
	}
	add(&client{since: aMinuteAgo})
	add(&client{idle: true, unused: true, since: time.Now().Add(time.Minute)})
	order := []*client{
		add(&client{idle: true, unused: true, since: aMinuteAgo}),
		add(&client{idle: true, unused: true, since: aMinuteAgo.Add(time.Second)}),
		add(&client{idle: true, unused: true, receiving: true, since: aMinuteAgo}),
		add(&client{idle: true, since: aMinuteAgo}),
		// Idle for a short time only, as those of clients that open a connection for each request.
		add(&client{idle: true, since: time.Now().Add(-100 * time.Millisecond)}),
	}
	for i, client := range order {
		if !server.reclaimConnection() {
			t.Fatalf("only %d connections were closed", i)
		}
		if _, open := server.clients[client]; open {
			t.Errorf("another connection than number %d of the order was closed", i)
		}
	}
	if server.reclaimConnection() {
		t.Error("a connection in use, or a new one, was closed")
	}
}

// Without a request log, the calls that log a request allocate nothing.
func TestDisabledRequestLogDoesNotAllocate(t *testing.T) {
	server := newServerWithoutListener()
	client, _ := newTestClient()
	attempts := []*attempt{{}}
	if n := testing.AllocsPerRun(1000, func() {
		if server.requestLog.Load().Allow() {
			t.Fatal("a request log that is not set selects a request")
		}
		server.recordOutcome(client, "served", 200, attempts, 0)
		server.logRequest(client, time.Time{})
	}); n > 0 {
		t.Errorf("%v allocations for each request, want 0", n)
	}
}

func TestMayBeginRequest(t *testing.T) {
	for buffered, want := range map[string]bool{"": true, "GET /api": true, "PO": true, "POST /": true,
		"\r\n": true, "\r\nGET /": true, "HEAD /": true, "GET http://h/": true, "\r\nxyz": false,
		"xyz": false, "\n": false, "GETaway": false} {
		reader := bufio.NewReader(strings.NewReader(buffered))
		reader.Peek(1)
		if got := mayStartRequest(reader); got != want {
			t.Errorf("mayStartRequest of %q: %v", buffered, got)
		}
	}
}
