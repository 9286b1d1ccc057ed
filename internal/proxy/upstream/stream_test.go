package upstream

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
	"cresshub/internal/testbed/nettest"
)

// A streamed response may outlast its request's deadline: each Read may last Limits.StallTimeout, whatever
// part of the coding is buffered already.
func TestStreamOutlastsRequestDeadline(t *testing.T) {
	piece := strings.Repeat("x", 1000)
	for name, form := range map[string]struct{ head, piece, end string }{
		"chunks":        {"Transfer-Encoding: chunked", "3e8\r\n" + piece + "\r\n", "0\r\n\r\n"},
		"an open chunk": {"Transfer-Encoding: chunked", "\r\n3e8\r\n" + piece, "\r\n0\r\n\r\n"},
		"a length": {"Content-Length: 100000", strings.Repeat("x", 5000),
			strings.Repeat("x", 85_000)},
		"the end of it":    {"A: b", piece, ""},
		"half a last line": {"Transfer-Encoding: chunked", "3e8\r\n" + piece + "\r\n0\r\nA: b", "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun, late := make(chan bool), make(chan bool)
			address := nettest.Listen(t, func(c *connbuffer.Conn) {
				if _, err := http1.ReadRequest(c.In); err != nil {
					return
				}
				if name == "half a last line" {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n3e8\r\n%s\r\n", form.head, piece)
					<-begun
					io.WriteString(c, form.piece)
				} else {
					first := strings.TrimPrefix(form.piece, "\r\n")
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", form.head, first+form.piece)
					<-begun
					io.WriteString(c, form.piece)
				}
				<-late
				io.WriteString(c, form.end)
			})
			p := newPool(&fakeDirectory{address: address}, time.Hour)
			l := *p.limits.Load()
			l.BufferTime = 100 * time.Millisecond
			p.SetLimits(l)
			until := time.Now().Add(4 * time.Second)
			_, done := startAttempt(p, until)
			out := <-done
			if out.Result != dispatch.Served || out.Stream == nil {
				t.Fatalf("%s, %+v", dispatch.ResultNames[out.Result], out)
			}
			close(begun)
			go func() {
				time.Sleep(time.Until(until.Add(100 * time.Millisecond))) // past the deadline of the request
				close(late)
			}()
			if n, err := io.Copy(io.Discard, out.Stream); err != nil {
				t.Errorf("%v after %d bytes", err, n+int64(len(out.Response.Body)))
			}
			p.Release(&out)
		})
	}
}

// A streamed response that stalls, ends early or is longer than stated never counts as complete, blocks its
// reader no longer than Limits.StallTimeout, and leaves no connection for reuse; all of its memory is
// released.
func TestStreamEndsEarlyOrStalls(t *testing.T) {
	const size = 100_000
	for _, c := range []struct {
		name   string
		bytes  int
		stays  bool // the server sends no more and does not close
		stalls bool // the end of the body is waited for in vain
		whole  bool
		idle   int
	}{
		{"complete", size, true, false, true, 1},
		{"stalls", 50_000, true, true, false, 0},
		{"ends early", 50_000, false, false, false, 0},
		{"longer than stated", size + 5, true, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := nettest.Listen(t, func(conn *connbuffer.Conn) {
				if _, err := http1.ReadRequest(conn.In); err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size,
					strings.Repeat("x", c.bytes))
				if c.stays {
					io.Copy(io.Discard, conn)
				}
			})
			p := newPool(&fakeDirectory{address: address}, time.Hour)
			if c.stalls {
				l := *p.limits.Load()
				l.StallTimeout = 300 * time.Millisecond
				p.SetLimits(l)
			}
			_, done := startAttempt(p, distantDeadline())
			out := <-done
			if out.Result != dispatch.Served || out.Stream == nil {
				t.Fatalf("%+v", out)
			}
			n, err := io.Copy(io.Discard, out.Stream)
			if got := n + int64(len(out.Response.Body)); (err == nil) != c.whole || c.whole && got != size {
				t.Errorf("%d bytes, %v", got, err)
			}
			p.Release(&out)
			p.Release(&out) // a second call is a no-op
			idle := func() (n int) {
				p.mu.Lock()
				defer p.mu.Unlock()
				for _, list := range p.idle {
					n += len(list)
				}
				return n
			}
			nettest.Until(t, "the connection is parked", func() bool { return idle() == c.idle })
			time.Sleep(20 * time.Millisecond)
			if idle() != c.idle || p.bodies.Used() != 0 {
				t.Errorf("%d idle connections, %d bytes reserved", idle(), p.bodies.Used())
			}
		})
	}
}
