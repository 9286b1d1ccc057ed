package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/drain"
	"cresshub/internal/testbed/nettest"
)

// newBlockedServer starts a server that responds to requests only once release is closed.
func newBlockedServer(t *testing.T) (backend *nettest.ScriptedServer, release chan bool) {
	t.Helper()
	release = make(chan bool)
	return nettest.Serve(t, func(request *http1.Request) *http1.Response {
		<-release
		return nettest.OK(request.Header.Get(idField))
	}), release
}

// noStepDue are the times of a drain none of whose steps becomes due during a test.
var noStepDue = drain.Times{CloseIdle: time.Hour, AcceptFor: time.Hour, CloseAll: time.Hour,
	ClosePartial: time.Hour}

// startShutdown calls Shutdown in a goroutine and returns once the drain is on.
func (r *testRig) startShutdown(t *testing.T) {
	t.Helper()
	go func() {
		r.Shutdown(r.listener)
		close(r.shutdownDone)
	}()
	nettest.Until(t, "the drain is on", func() bool { return !r.Serving() })
}

// nextOutcome returns what a client reads next: the status and body of a response, "end" if the connection
// has ended, or "nothing" if the read timed out.
func nextOutcome(conn *connbuffer.Conn) string {
	response, err := http1.ReadResponse(conn.In)
	var timeout net.Error
	switch {
	case err == nil:
		return fmt.Sprint(response.Status, " ", strings.TrimSpace(string(response.Body)))
	case errors.As(err, &timeout) && timeout.Timeout():
		return "nothing"
	}
	return "end"
}

// Requests that a client sent before its connection was due to close get their responses, pipelined ones too.
// Shutdown returns afterwards.
func TestShutdownServesPipelinedRequests(t *testing.T) {
	for _, lameDuck := range []bool{false, true} {
		rig := newRig(t, nil)
		originalTimes := rig.drainTimes.Load()
		rig.drainTimes.Store(&noStepDue)
		backend, release := newBlockedServer(t)
		rig.setServers(backend.Address)
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, getRequest("one")+getRequest("two"))
		nettest.Until(t, "the first request is sent", func() bool { return len(backend.Received("")) == 1 })
		if lameDuck {
			rig.LameDuck(true)
		} else {
			rig.startShutdown(t)
		}
		close(release)
		got := nextOutcome(conn) + ", " + nextOutcome(conn) + ", " + nextOutcome(conn)
		if got != "200 one, 200 two, end" {
			t.Errorf("lame duck %v: %s", lameDuck, got)
		}
		rig.drainTimes.Store(originalTimes)
		if lameDuck {
			rig.startShutdown(t)
		}
		<-rig.shutdownDone
	}
}

// A connection whose next request was buffered together with the previous one does not count as idle, so a
// drain does not close it.
func TestBufferedRequestIsNotIdle(t *testing.T) {
	server := newServerWithoutListener()
	far, near := tcpPair(t)
	c := &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1)}
	server.clients[c] = struct{}{}
	io.WriteString(far, "GET /one\r\nGET /two\r\n")
	nettest.Until(t, "both requests are buffered", func() bool { c.In.Peek(1); return c.In.Buffered() == 20 })
	c.In.Discard(10)
	server.markIdle(c)
	server.mu.Lock()
	server.closeDue(drain.Plan{IdleBefore: time.Now().Add(time.Hour)})
	_, open := server.clients[c]
	server.mu.Unlock()
	if !open {
		t.Error("the connection was closed with a request in its buffer")
	}
	c.In.Discard(10)
	server.markIdle(c)
	server.mu.Lock()
	server.closeDue(drain.Plan{IdleBefore: time.Now().Add(time.Hour)})
	_, open = server.clients[c]
	server.mu.Unlock()
	if open {
		t.Error("the connection was not closed when it was idle")
	}
}

// A connection does not count as idle once the first byte of a request has arrived, whether the byte is still
// in the socket or has been consumed. The test holds the lock, as a drain does, from before the request is
// sent until closeDue has run. If the connection's goroutine consumed bytes before markReceiving, which needs
// the lock, closeDue would take the connection for idle.
func TestConnectionIsNotIdleAfterFirstByte(t *testing.T) {
	rig := newRig(t, nil)
	backend := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	rig.setServers(backend.Address)
	for i := range 10 {
		conn := nettest.Dial(t, rig.address)
		if i%2 > 0 { // every second connection is idle after a request; the others never had one
			nettest.Ask(t, conn, getRequest(fmt.Sprint("before-", i)))
		}
		var idle *client
		nettest.Until(t, "the connection is idle", func() bool {
			rig.Server.mu.Lock()
			defer rig.Server.mu.Unlock()
			for idle = range rig.clients {
			}
			return idle != nil && idle.idle
		})
		rig.Server.mu.Lock()
		before := idle.LastReceived()
		io.WriteString(conn, getRequest(fmt.Sprint(i)))
		nettest.Until(t, "the bytes of the request arrive", func() bool {
			return !idle.SocketQuiet() || idle.LastReceived() != before
		})
		for range 50 { // time for the goroutine to consume the bytes, if it does so without the lock
			if idle.LastReceived() != before {
				break
			}
			time.Sleep(100 * time.Microsecond)
		}
		rig.closeDue(drain.Plan{IdleBefore: time.Now().Add(time.Hour)})
		rig.Server.mu.Unlock()
		if got := nextOutcome(conn); got != "200 " {
			t.Errorf("%d: %s", i, got)
		}
		conn.Close()
		nettest.Until(t, "the proxy has closed the connection", func() bool {
			rig.Server.mu.Lock()
			defer rig.Server.mu.Unlock()
			return len(rig.clients) == 0
		})
	}
}

// tcpPair returns both ends of a TCP connection over loopback.
func tcpPair(t *testing.T) (far, near net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if far, err = net.Dial("tcp", listener.Addr().String()); err == nil {
		near, err = listener.Accept()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close(); near.Close() })
	return far, near
}

// During a shutdown, new connections are accepted for AcceptFor, a request with an incomplete head is
// rejected when it is due by the drain times, idle connections are closed, and a request whose server hangs
// gets its error response at its deadline.
func TestShutdownWithAllKindsOfClients(t *testing.T) {
	t.Parallel()
	rig := newRig(t, nil)
	originalTimes := rig.drainTimes.Load()
	rig.drainTimes.Store(&noStepDue) // until the new connections have got their responses
	backend, release := newBlockedServer(t)
	defer close(release)
	rig.setServers(backend.Address)
	incomplete, hanging, idle := nettest.Dial(t, rig.address), nettest.Dial(t, rig.address),
		nettest.Dial(t, rig.address)
	io.WriteString(incomplete, "GET /api HT")
	io.WriteString(hanging, nettest.Request("POST", "assign", "hangs", 4*time.Second))
	nettest.Until(t, "the request is sent", func() bool { return len(backend.Received("")) == 1 })
	rig.startShutdown(t)
	for range 20 {
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, "GET "+readyPath+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if got := nextOutcome(conn); got != "503 sending clients away" {
			t.Errorf("new connection: %s", got)
		}
	}
	rig.drainTimes.Store(originalTimes)
	if got := nextOutcome(incomplete); !strings.HasPrefix(got, "503 ") {
		t.Errorf("connection with an incomplete head: %s", got)
	}
	if got := nextOutcome(idle); got != "end" {
		t.Errorf("idle connection: %s", got)
	}
	if got := nextOutcome(hanging); got != "504 no answer in time" {
		t.Errorf("connection whose server hangs: %s", got)
	}
	<-rig.shutdownDone
}

// A request may cross with the close of its idle connection. It then either gets its response, or was not
// sent to a server.
func TestRequestRacesWithIdleClose(t *testing.T) {
	rig := newRig(t, nil)
	backend := nettest.Serve(t, func(request *http1.Request) *http1.Response {
		return nettest.OK(request.Header.Get(idField))
	})
	rig.setServers(backend.Address)
	const n = 50
	answered := make([]string, n)
	var wg sync.WaitGroup
	conns := make([]*connbuffer.Conn, n)
	for i := range conns {
		conns[i] = nettest.Dial(t, rig.address)
		response := nettest.Ask(t, conns[i], getRequest(fmt.Sprint("before-", i)))
		if response.Status != 200 {
			t.Fatalf("%+v", response)
		}
	}
	rig.startShutdown(t)
	for i, conn := range conns {
		wg.Add(1)
		go func() { // the requests are spread over the time in which idle connections are closed
			defer wg.Done()
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			io.WriteString(conn, getRequest(fmt.Sprint(i)))
			answered[i] = nextOutcome(conn)
		}()
	}
	wg.Wait()
	<-rig.shutdownDone
	sent := map[string]bool{}
	for _, request := range backend.Received("") {
		sent[request.Header.Get(idField)] = true
	}
	for i, got := range answered {
		if id := fmt.Sprint(i); (got == "200 "+id) != sent[id] || got == "nothing" {
			t.Errorf("request %s: the client reads %q; sent to a server: %v", id, got, sent[id])
		}
	}
}

// Concurrent calls of LameDuck leave at most one closeIdleLoop, and the last call takes effect.
func TestLameDuckTogglesKeepOneLoop(t *testing.T) {
	rig := newRig(t, nil)
	for range 20 {
		var wg sync.WaitGroup
		for _, on := range []bool{true, false, true} {
			wg.Add(1)
			go func() { defer wg.Done(); rig.LameDuck(on) }()
		}
		wg.Wait()
		rig.LameDuck(true)
		conn := nettest.Dial(t, rig.address)
		if got := nextOutcome(conn); got != "end" {
			t.Errorf("new connection in lame duck state: %s, want end", got)
		}
		rig.LameDuck(false)
		nettest.Until(t, "closeIdleLoop returns", func() bool {
			rig.Server.mu.Lock()
			defer rig.Server.mu.Unlock()
			return !rig.closeIdleLoopRunning
		})
	}
}

// A response after which the proxy closes the connection is received in full, even if the proxy has not read
// all that the client sent: the connection ends with a FIN, not with a reset.
func TestLastResponseBeforeClose(t *testing.T) {
	for name, overBudget := range map[string]bool{"ends": false, "beyond the descriptor budget": true} {
		t.Run(name, func(t *testing.T) {
			rig := newRig(t, nil)
			backend := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
			rig.setServers(backend.Address)
			text := strings.Replace(getRequest("id"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1) +
				strings.Repeat(getRequest("next"), 100)
			if overBudget {
				for n := int64(1); rig.Stats.RejectedConns.Load() == 0; n++ {
					io.WriteString(nettest.Dial(t, rig.address), "GET /")
					nettest.Until(t, "the connection is accepted", func() bool {
						return rig.Stats.AcceptedConns.Load() == n
					})
				}
				text = postRequest("id", 8000, strings.Repeat("x", 8000))
			}
			conn := nettest.Dial(t, rig.address)
			io.WriteString(conn, text)
			if got := nextOutcome(conn); got != map[bool]string{false: "200 ", true: "503 "}[overBudget] {
				t.Fatalf("the client reads %q", got)
			}
			if _, err := conn.In.Peek(1); err != io.EOF {
				t.Errorf("after the response: %v, want EOF", err)
			}
		})
	}
}

// A request that has arrived by the time the connection's goroutine runs is served, even if its timeout has
// passed too.
func TestRequestArrivesAsIdleTimeoutEnds(t *testing.T) {
	rig := newRig(t, nil)
	limits := *rig.limits.Load()
	limits.FirstRequestTimeout = time.Nanosecond
	rig.SetLimits(limits)
	for range 20 {
		far, near := tcpPair(t)
		io.WriteString(far, "GET "+readyPath+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		c := &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1), idle: true, unused: true}
		nettest.Until(t, "the request has arrived", func() bool { return !c.SocketQuiet() })
		if !rig.Descriptors.Acquire(descriptors.Clients) {
			t.Fatal("the descriptor budget is exhausted")
		}
		rig.serveConn(c)
		far.SetDeadline(time.Now().Add(nettest.Patience))
		if got := nextOutcome(connbuffer.NewConn(far)); got != "200 ready" {
			t.Fatal(got)
		}
	}
}

// blockingListener is a listener whose Accept returns a connection only once release is closed, as if the
// process stalled just after it accepted the connection.
type blockingListener struct {
	net.Listener
	accepted chan struct{} // closed when the first connection is accepted
	release  chan struct{}
	closes   atomic.Int64 // number of calls of Close
}

func (l *blockingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.release
	}
	return conn, err
}

func (l *blockingListener) Close() error {
	l.closes.Add(1)
	return l.Listener.Close()
}

// Shutdown waits for a connection that was accepted but not yet admitted when all others have ended: its
// response must be counted as usage before the ledger is closed.
func TestShutdownWaitsForAcceptedConnection(t *testing.T) {
	rig := newRig(t, nil)
	backend := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("late") })
	rig.setServers(backend.Address)
	rig.listener.Close()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	blocking := &blockingListener{Listener: inner, accepted: make(chan struct{}), release: make(chan struct{})}
	rig.listener = blocking
	go rig.Serve(blocking)
	conn := nettest.Dial(t, inner.Addr().String())
	io.WriteString(conn, getRequest("one"))
	<-blocking.accepted

	rig.drainTimes.Store(&drain.Times{})
	rig.startShutdown(t)
	nettest.Until(t, "Shutdown has checked twice whether all connections have ended", func() bool {
		select {
		case <-rig.shutdownDone:
			return true
		default:
			return blocking.closes.Load() > 2
		}
	})
	select {
	case <-rig.shutdownDone:
		t.Fatal("Shutdown returned before the accepted connection was served")
	default:
	}
	close(blocking.release)
	if got := nextOutcome(conn); got != "200 late" {
		t.Errorf("the client reads %s", got)
	}
	<-rig.shutdownDone
}

// A drain does not end the wait for the rest of an incomplete request while unread bytes of it are in the
// socket.
func TestDrainKeepsConnectionWithUnreadBytes(t *testing.T) {
	server := newServerWithoutListener()
	far, near := tcpPair(t)
	c := &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1), idle: true, receiving: true}
	server.clients[c] = struct{}{}
	closePartial := func() (ended bool) {
		server.mu.Lock()
		defer server.mu.Unlock()
		c.SetReadDeadline(time.Time{})
		server.closeDue(drain.Plan{PartialBefore: time.Now()})
		return c.AwaitReadable() != nil
	}
	io.WriteString(far, "GET /one")
	nettest.Until(t, "the bytes arrive", func() bool { return !c.SocketQuiet() })
	if closePartial() {
		t.Error("the wait was ended before the connection's goroutine had read the bytes that had arrived")
	}
	if _, err := c.In.Peek(len("GET /one")); err != nil {
		t.Fatalf("reading the bytes that have arrived: %v", err)
	}
	c.In.Discard(c.In.Buffered())
	if !closePartial() {
		t.Error("the wait was not ended though no bytes were left")
	}
}
