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

// servePieces is a server that writes a response in pieces: after each it waits for a token.
func servePieces(t *testing.T, on chan bool, pieces ...string) (address string, wrote, ended chan bool) {
	t.Helper()
	wrote, ended = make(chan bool, 9), make(chan bool, 9)
	address = nettest.Listen(t, func(c *connbuffer.Conn) {
		for {
			if _, err := http1.ReadRequest(c.In); err != nil {
				ended <- true
				return
			}
			for _, p := range pieces {
				io.WriteString(c, p)
				wrote <- true
				<-on
			}
		}
	})
	return address, wrote, ended
}

// A cancel within a response ends the attempt and its connection; one after the last byte changes nothing,
// and the connection is reused.
func TestCancelDuringAndAfterResponse(t *testing.T) {
	on := make(chan bool)
	address, wrote, ended := servePieces(t, on, head[:3], head[3:]+"bo", "dy")
	for begun := range 2 {
		p := newPool(&fakeDirectory{address: address}, nettest.Patience)
		a, done := startAttempt(p, distantDeadline())
		for range begun {
			<-wrote
			on <- true
		}
		<-wrote
		a.Cancel()
		if out := <-done; out.Result != dispatch.Cancelled || out.Response != nil || p.bodies.Used() != 0 {
			t.Errorf("after %d pieces: %s, %d bytes reserved", begun+1, dispatch.ResultNames[out.Result],
				p.bodies.Used())
		}
		for range 2 - begun {
			on <- true
			<-wrote
		}
		on <- true
		<-ended
	}
	p := newPool(&fakeDirectory{address: address}, nettest.Patience)
	for range 2 {
		a, done := startAttempt(p, distantDeadline())
		for range 3 {
			<-wrote
			on <- true
		}
		out := <-done
		a.Cancel()
		if out.Result != dispatch.Served || string(out.Response.Body) != "body" {
			t.Errorf("after the last byte: %s", dispatch.ResultNames[out.Result])
		}
		p.Release(&out)
	}
	if n := p.stats.OpenedServerConns.Load(); n != 1 || p.stats.ReusedServerConns.Load() != 1 {
		t.Errorf("%d connections for two", n)
	}
}

// Bytes behind a response that ends its connection are dropped, and the next attempt gets a new connection.
func TestBytesAfterClosingResponseAreDropped(t *testing.T) {
	for _, more := range []string{"", head + "late", "noise"} {
		address := nettest.Listen(t, func(c *connbuffer.Conn) {
			if _, err := http1.ReadRequest(c.In); err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nown"+more)
			io.Copy(io.Discard, c) // the pool closes it
		})
		p := newPool(&fakeDirectory{address: address}, nettest.Patience)
		for range 2 {
			_, done := startAttempt(p, distantDeadline())
			if out := <-done; out.Result != dispatch.Served || string(out.Response.Body) != "own" {
				t.Errorf("more %q: %s", more, dispatch.ResultNames[out.Result])
			}
		}
		if n := p.stats.OpenedServerConns.Load(); n != 2 {
			t.Errorf("more %q: %d connections", more, n)
		}
	}
}

// When a connection is handed over its server may have moved, or begun to drain: nothing is written to the
// old address.
func TestServerMovedOrDrainingAtReuse(t *testing.T) {
	for name, move := range map[string]func(w *fakeDirectory, to string){
		"moved":    func(w *fakeDirectory, to string) { w.address = to },
		"draining": func(w *fakeDirectory, _ string) { w.removed.Store(true) },
	} {
		old := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("old") })
		fresh := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.OK("new") })
		where := &fakeDirectory{address: old.Address}
		p := newPool(where, nettest.Patience)
		_, done := startAttempt(p, distantDeadline())
		<-done
		looks := 0
		where.onLookup = func() { // the second look-up is right before the first byte
			if looks++; looks == 2 {
				move(where, fresh.Address)
			}
		}
		_, done = startAttempt(p, distantDeadline())
		if out := <-done; out.Result != dispatch.Rejected {
			t.Errorf("%s: %s", name, dispatch.ResultNames[out.Result])
		}
		if len(old.Received("")) != 1 || len(fresh.Received("")) != 0 {
			t.Errorf("%s: %d came to the old address, %d to the new", name, len(old.Received("")),
				len(fresh.Received("")))
		}
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	x := nettest.Serve(t, func(*http1.Request) *http1.Response { return nettest.NoResponse })
	a, done := startAttempt(newPool(&fakeDirectory{address: x.Address}, time.Hour), distantDeadline())
	nettest.Until(t, "the attempt arrives", func() bool { return len(x.Received("")) == 1 })
	a.Cancel()
	if got := <-done; got.Result != dispatch.Cancelled {
		t.Error(dispatch.ResultNames[got.Result])
	}
	<-x.Abandoned
}
