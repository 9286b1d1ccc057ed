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

// newBlockedServer is a zone server whose responses wait until release is closed.
func newBlockedServer(t *testing.T) (zone *nettest.ScriptedServer, release chan bool) {
	t.Helper()
	release = make(chan bool)
	return nettest.Serve(t, func(request *http1.Request) *http1.Response {
		<-release
		return nettest.OK(request.Header.Get(idField))
	}), release
}

// noStepDue are the times of a drain that goes no further than its beginning.
var noStepDue = drain.Times{CloseIdle: time.Hour, AcceptFor: time.Hour, CloseAll: time.Hour,
	ClosePartial: time.Hour}

// startShutdown begins the shutdown of a rig and returns once its state says so.
func (r *testRig) startShutdown(t *testing.T) {
	t.Helper()
	go func() {
		r.Shutdown(r.listener)
		close(r.ended)
	}()
	nettest.Until(t, "it ends", func() bool { return !r.Serving() })
}

// nextOutcome returns what a client reads next: the status and body of a response, or how the connection
// ended.
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

// Requests that a client sent before the connection was due to close are answered, also where it did not wait
// for the response before; then Shutdown returns.
func TestShutdownServesPipelinedRequests(t *testing.T) {
	for _, lame := range []bool{false, true} {
		rig := newRig(t, nil)
		due := rig.drainTimes.Load()
		rig.drainTimes.Store(&noStepDue)
		zone, release := newBlockedServer(t)
		rig.list(zone.Address)
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, getRequest("one")+getRequest("two"))
		nettest.Until(t, "the first is sent", func() bool { return len(zone.Received("")) == 1 })
		if lame {
			rig.LameDuck(true)
		} else {
			rig.startShutdown(t)
		}
		close(release)
		got := nextOutcome(conn) + ", " + nextOutcome(conn) + ", " + nextOutcome(conn)
		if got != "200 one, 200 two, end" {
			t.Errorf("lame %v: %s", lame, got)
		}
		rig.drainTimes.Store(due)
		if lame {
			rig.startShutdown(t)
		}
		<-rig.ended
	}
}

// A connection whose next request was buffered together with the one before does not count as idle.
func TestBufferedRequestIsNotIdle(t *testing.T) {
	server := newIdleServer()
	far, near := tcpPair(t)
	c := &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1)}
	server.clients[c] = struct{}{}
	io.WriteString(far, "GET /one\r\nGET /two\r\n")
	nettest.Until(t, "all has come", func() bool { c.In.Peek(1); return c.In.Buffered() == 20 })
	c.In.Discard(10)
	server.markIdle(c)
	server.mu.Lock()
	server.closeDue(drain.Plan{IdleBefore: time.Now().Add(time.Hour)})
	_, open := server.clients[c]
	server.mu.Unlock()
	if !open {
		t.Error("it was closed")
	}
	c.In.Discard(10)
	server.markIdle(c)
	server.mu.Lock()
	server.closeDue(drain.Plan{IdleBefore: time.Now().Add(time.Hour)})
	_, open = server.clients[c]
	server.mu.Unlock()
	if open {
		t.Error("one that rests stayed")
	}
}

// Nor does one whose first byte has just been consumed from the socket. The test holds the lock as a drain
// does, from before the request until it has seen the connection in every state.
func TestFirstByteEndsIdle(t *testing.T) {
	rig := newRig(t, nil)
	zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
	rig.list(zone.Address)
	for i := range 10 {
		conn := nettest.Dial(t, rig.address)
		if i%2 > 0 { // one idle after a request, and one that never had any
			nettest.Ask(t, conn, getRequest(fmt.Sprint("before-", i)))
		}
		var rests *client
		nettest.Until(t, "it is idle", func() bool {
			rig.Server.mu.Lock()
			defer rig.Server.mu.Unlock()
			for rests = range rig.clients {
			}
			return rests != nil && rests.idle
		})
		rig.Server.mu.Lock()
		before := rests.LastReceived()
		io.WriteString(conn, getRequest(fmt.Sprint(i)))
		nettest.Until(t, "its bytes arrive", func() bool {
			return !rests.Still() || rests.LastReceived() != before
		})
		for range 50 { // or until its bytes are consumed, which is all there is to observe
			if rests.LastReceived() != before {
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
		nettest.Until(t, "it is gone", func() bool {
			rig.Server.mu.Lock()
			defer rig.Server.mu.Unlock()
			return len(rig.clients) == 0
		})
	}
}

// tcpPair returns both ends of a connection over loopback.
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

// On shutdown half a head is answered at the limit, servers that hang are waited for until the deadline and
// no longer, and new connections are accepted for as long as configured.
func TestShutdownWithAllKindsOfClients(t *testing.T) {
	t.Parallel()
	rig := newRig(t, nil)
	due := rig.drainTimes.Load()
	rig.drainTimes.Store(&noStepDue) // until the new connections have been answered
	zone, release := newBlockedServer(t)
	defer close(release)
	rig.list(zone.Address)
	half, hangs, rests := nettest.Dial(t, rig.address), nettest.Dial(t, rig.address),
		nettest.Dial(t, rig.address)
	io.WriteString(half, "GET /api HT")
	io.WriteString(hangs, nettest.Request("POST", "assign", "hangs", 4*time.Second))
	nettest.Until(t, "the request is sent", func() bool { return len(zone.Received("")) == 1 })
	rig.startShutdown(t)
	for range 20 {
		conn := nettest.Dial(t, rig.address)
		io.WriteString(conn, "GET "+readyPath+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if got := nextOutcome(conn); got != "503 sending clients away" {
			t.Errorf("a new connection: %s", got)
		}
	}
	rig.drainTimes.Store(due)
	if got := nextOutcome(half); !strings.HasPrefix(got, "503 ") {
		t.Errorf("half a head: %s", got)
	}
	if got := nextOutcome(rests); got != "end" {
		t.Errorf("one that rests: %s", got)
	}
	if got := nextOutcome(hangs); got != "504 no answer in time" {
		t.Errorf("one that waits: %s", got)
	}
	<-rig.ended
}

// The last byte of a request may cross with the close of its connection: it is answered, or it was not sent.
func TestRequestCrossesWithClose(t *testing.T) {
	rig := newRig(t, nil)
	zone := nettest.Serve(t, func(request *http1.Request) *http1.Response {
		return nettest.OK(request.Header.Get(idField))
	})
	rig.list(zone.Address)
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
		go func() { // throughout the time in which idle connections are closed
			defer wg.Done()
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			io.WriteString(conn, getRequest(fmt.Sprint(i)))
			answered[i] = nextOutcome(conn)
		}()
	}
	wg.Wait()
	<-rig.ended
	sent := map[string]bool{}
	for _, request := range zone.Received("") {
		sent[request.Header.Get(idField)] = true
	}
	for i, got := range answered {
		if id := fmt.Sprint(i); (got == "200 "+id) != sent[id] || got == "nothing" {
			t.Errorf("%s: %s, sent: %v", id, got, sent[id])
		}
	}
}

// On and off in any order leave one closeIdleLoop at most, and the last call counts.
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
			t.Errorf("while it is on: %s", got)
		}
		rig.LameDuck(false)
		nettest.Until(t, "the sweep ends", func() bool {
			rig.Server.mu.Lock()
			defer rig.Server.mu.Unlock()
			return !rig.closeIdleLoopRunning
		})
	}
}

// A response that ends its connection is received in full, though more had arrived than was read: the
// connection ends with FIN, not with a reset.
func TestLastResponseBeforeClose(t *testing.T) {
	for name, full := range map[string]bool{"ends": false, "turned away": true} {
		t.Run(name, func(t *testing.T) {
			rig := newRig(t, nil)
			zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("") })
			rig.list(zone.Address)
			text := strings.Replace(getRequest("id"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1) +
				strings.Repeat(getRequest("next"), 100)
			if full {
				for n := int64(1); rig.Stats.RejectedConns.Load() == 0; n++ {
					io.WriteString(nettest.Dial(t, rig.address), "GET /")
					nettest.Until(t, "it is accepted", func() bool { return rig.Stats.AcceptedConns.Load() == n })
				}
				text = postRequest("id", 8000, strings.Repeat("x", 8000))
			}
			conn := nettest.Dial(t, rig.address)
			io.WriteString(conn, text)
			if got := nextOutcome(conn); got != map[bool]string{false: "200 ", true: "503 "}[full] {
				t.Fatalf("answer %q", got)
			}
			if _, err := conn.In.Peek(1); err != io.EOF {
				t.Errorf("then %v", err)
			}
		})
	}
}

// A request that has arrived when the idle time-out passes is served all the same: the goroutine may be
// scheduled after both.
func TestRequestArrivesAsIdleTimeoutEnds(t *testing.T) {
	rig := newRig(t, nil)
	limits := *rig.limits.Load()
	limits.FirstRequestTimeout = time.Nanosecond
	rig.SetLimits(limits)
	for range 20 {
		far, near := tcpPair(t)
		io.WriteString(far, "GET "+readyPath+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		c := &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1), idle: true, unused: true}
		nettest.Until(t, "it is there", func() bool { return !c.Still() })
		if !rig.Descriptors.Acquire(descriptors.Clients) {
			t.Fatal("no place")
		}
		rig.serveConn(c)
		far.SetDeadline(time.Now().Add(nettest.Patience))
		if got := nextOutcome(connbuffer.NewConn(far)); got != "200 ready" {
			t.Fatal(got)
		}
	}
}

// blockingListener returns from Accept only once release is closed, like a process that is stalled just after
// a connection was accepted.
type blockingListener struct {
	net.Listener
	accepted chan struct{} // closed with the first connection
	release  chan struct{}
	closes   atomic.Int64 // calls of Close
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

// A connection that was accepted, but not admitted when all others have ended, is served before Shutdown
// returns: its response has to be counted before the ledger is closed.
func TestShutdownAwaitsAnAcceptedConnection(t *testing.T) {
	rig := newRig(t, nil)
	zone := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("late") })
	rig.list(zone.Address)
	rig.listener.Close()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &blockingListener{Listener: inner, accepted: make(chan struct{}), release: make(chan struct{})}
	rig.listener = held
	go rig.Serve(held)
	conn := nettest.Dial(t, inner.Addr().String())
	io.WriteString(conn, getRequest("one"))
	<-held.accepted

	rig.drainTimes.Store(&drain.Times{})
	rig.startShutdown(t)
	nettest.Until(t, "Shutdown has looked twice whether all has ended", func() bool {
		select {
		case <-rig.ended:
			return true
		default:
			return held.closes.Load() > 2
		}
	})
	select {
	case <-rig.ended:
		t.Fatal("Shutdown has returned, and the connection is not served yet")
	default:
	}
	close(held.release)
	if got := nextOutcome(conn); got != "200 late" {
		t.Errorf("the client reads %s", got)
	}
	<-rig.ended
}

// A connection whose request is incomplete is not ended by a drain while bytes of the rest are in the socket.
func TestDrainLeavesWhatHasArrived(t *testing.T) {
	server := newIdleServer()
	far, near := tcpPair(t)
	c := &client{Conn: connbuffer.NewConn(near), wakeup: make(chan struct{}, 1), idle: true, receiving: true}
	server.clients[c] = struct{}{}
	endPartial := func() (ended bool) {
		server.mu.Lock()
		defer server.mu.Unlock()
		c.SetReadDeadline(time.Time{})
		server.closeDue(drain.Plan{PartialBefore: time.Now()})
		return c.AwaitReadable() != nil
	}
	io.WriteString(far, "GET /one")
	nettest.Until(t, "the bytes arrive", func() bool { return !c.Still() })
	if endPartial() {
		t.Error("it was ended before its goroutine had read what has arrived")
	}
	if _, err := c.In.Peek(len("GET /one")); err != nil {
		t.Fatalf("what has arrived is not read: %v", err)
	}
	c.In.Discard(c.In.Buffered())
	if !endPartial() {
		t.Error("one that stalls was not ended")
	}
}
