package upstream

import (
	"io"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/testbed/nettest"
)

const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"

// serveInParts starts a server that writes its response in parts and after each waits for a token from
// proceed. It sends on wrote after each part, and on ended when the client has closed the connection.
func serveInParts(t *testing.T, proceed chan bool, parts ...string) (address string, wrote, ended chan bool) {
	t.Helper()
	wrote, ended = make(chan bool, 9), make(chan bool, 9)
	address = nettest.Listen(t, func(c *connbuffer.Conn) {
		for {
			if _, err := http1.ReadRequest(c.In); err != nil {
				ended <- true
				return
			}
			for _, part := range parts {
				io.WriteString(c, part)
				wrote <- true
				<-proceed
			}
		}
	})
	return address, wrote, ended
}

// Cancel during a response ends the attempt and closes its connection. Cancel after the last byte has no
// effect, and the connection is reused.
func TestCancelDuringAndAfterResponse(t *testing.T) {
	proceed := make(chan bool)
	address, wrote, ended := serveInParts(t, proceed, head[:3], head[3:]+"bo", "dy")
	for more := range 2 {
		p := newPool(&fakeDirectory{address: address}, nettest.Patience)
		a, done := startAttempt(p, distantDeadline())
		for range more {
			<-wrote
			proceed <- true
		}
		<-wrote
		a.Cancel()
		if out := <-done; out.Result != dispatch.Cancelled || out.Response != nil || p.bodies.Used() != 0 {
			t.Errorf("cancelled after %d parts: %s, %d bytes reserved", more+1, dispatch.ResultNames[out.Result],
				p.bodies.Used())
		}
		for range 2 - more {
			proceed <- true
			<-wrote
		}
		proceed <- true
		<-ended
	}
	p := newPool(&fakeDirectory{address: address}, nettest.Patience)
	for range 2 {
		a, done := startAttempt(p, distantDeadline())
		for range 3 {
			<-wrote
			proceed <- true
		}
		out := <-done
		a.Cancel()
		if out.Result != dispatch.Served || string(out.Response.Body) != "body" {
			t.Errorf("cancelled after the last byte: %s", dispatch.ResultNames[out.Result])
		}
		p.Release(&out)
	}
	if n := p.stats.OpenedServerConns.Load(); n != 1 || p.stats.ReusedServerConns.Load() != 1 {
		t.Errorf("two attempts opened %d connections", n)
	}
}

// Bytes after a response with "Connection: close" are dropped, and the next attempt gets a new connection.
func TestBytesAfterClosingResponseAreDropped(t *testing.T) {
	for _, extra := range []string{"", head + "late", "noise"} {
		address := nettest.Listen(t, func(c *connbuffer.Conn) {
			if _, err := http1.ReadRequest(c.In); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nown"+extra)
			io.Copy(io.Discard, c) // the pool closes it
		})
		p := newPool(&fakeDirectory{address: address}, nettest.Patience)
		for range 2 {
			_, done := startAttempt(p, distantDeadline())
			if out := <-done; out.Result != dispatch.Served || string(out.Response.Body) != "own" {
				t.Errorf("extra bytes %q: %s", extra, dispatch.ResultNames[out.Result])
			}
		}
		if n := p.stats.OpenedServerConns.Load(); n != 2 {
			t.Errorf("extra bytes %q: two attempts opened %d connections", extra, n)
		}
	}
}

// If a server moves or begins to drain while an idle connection to it is being reused, nothing is written to
// the old address.
func TestServerMovedOrDrainingAtReuse(t *testing.T) {
	for name, change := range map[string]func(d *fakeDirectory, to string){
		"moved":    func(d *fakeDirectory, to string) { d.address = to },
		"draining": func(d *fakeDirectory, _ string) { d.removed.Store(true) },
	} {
		old := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("old") })
		fresh := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("new") })
		directory := &fakeDirectory{address: old.Address}
		p := newPool(directory, nettest.Patience)
		_, done := startAttempt(p, distantDeadline())
		<-done
		lookups := 0
		directory.onLookup = func() { // the second lookup is right before the first byte
			if lookups++; lookups == 2 {
				change(directory, fresh.Address)
			}
		}
		_, done = startAttempt(p, distantDeadline())
		if out := <-done; out.Result != dispatch.Rejected {
			t.Errorf("%s: %s", name, dispatch.ResultNames[out.Result])
		}
		if len(old.Received("")) != 1 || len(fresh.Received("")) != 0 {
			t.Errorf("%s: the old address received %d requests, the new one %d", name, len(old.Received("")),
				len(fresh.Received("")))
		}
	}
}

func TestCancelClosesConnection(t *testing.T) {
	server := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.NoResponse })
	a, done := startAttempt(newPool(&fakeDirectory{address: server.Address}, time.Hour), distantDeadline())
	nettest.Until(t, "the attempt arrives", func() bool { return len(server.Received("")) == 1 })
	a.Cancel()
	if got := <-done; got.Result != dispatch.Cancelled {
		t.Error(dispatch.ResultNames[got.Result])
	}
	<-server.Abandoned
}
