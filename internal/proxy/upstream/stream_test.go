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

// A streamed response may last longer than its request's deadline: each Read may take Limits.StallTimeout,
// whichever part of the transfer coding is already buffered.
func TestStreamOutlastsRequestDeadline(t *testing.T) {
	kilobyte := strings.Repeat("x", 1000)
	for name, form := range map[string]struct{ head, part, end string }{
		"chunks":        {"Transfer-Encoding: chunked", "3e8\r\n" + kilobyte + "\r\n", "0\r\n\r\n"},
		"an open chunk": {"Transfer-Encoding: chunked", "\r\n3e8\r\n" + kilobyte, "\r\n0\r\n\r\n"},
		"a length": {"Content-Length: 100000", strings.Repeat("x", 5000),
			strings.Repeat("x", 85_000)},
		"the end of it":    {"A: b", kilobyte, ""},
		"half a last line": {"Transfer-Encoding: chunked", "3e8\r\n" + kilobyte + "\r\n0\r\nA: b", "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			streaming, late := make(chan bool), make(chan bool)
			address := nettest.Listen(t, func(c *connbuffer.Conn) {
				if _, err := http1.ReadRequest(c.In); err != nil {
					return
				}
				if name == "half a last line" {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n3e8\r\n%s\r\n", form.head, kilobyte)
					<-streaming
					io.WriteString(c, form.part)
				} else {
					first := strings.TrimPrefix(form.part, "\r\n")
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", form.head, first+form.part)
					<-streaming
					io.WriteString(c, form.part)
				}
				<-late
				io.WriteString(c, form.end)
			})
			p := newPool(&fakeDirectory{address: address}, time.Hour)
			l := *p.limits.Load()
			l.BufferTime = 100 * time.Millisecond
			p.SetLimits(l)
			deadline := time.Now().Add(4 * time.Second)
			_, done := startAttempt(p, deadline)
			out := <-done
			if out.Result != dispatch.Served || out.Stream == nil {
				t.Fatalf("%s, %+v", dispatch.ResultNames[out.Result], out)
			}
			close(streaming)
			go func() {
				time.Sleep(time.Until(deadline.Add(100 * time.Millisecond)))
				close(late)
			}()
			if n, err := io.Copy(io.Discard, out.Stream); err != nil {
				t.Errorf("%v after %d bytes", err, n+int64(len(out.Response.Body)))
			}
			p.Release(&out)
		})
	}
}

// A streamed response that stalls or ends early does not count as complete, and one that is longer than
// stated ends at the stated length. Its reader is blocked no longer than Limits.StallTimeout, its connection
// is not reused, and all of its memory is released.
func TestStreamEndsEarlyOrStalls(t *testing.T) {
	const size = 100_000
	for _, c := range []struct {
		name   string
		bytes  int
		stays  bool // the server keeps the connection open after the last byte
		stalls bool // the rest of the body never arrives
		whole  bool // the body is complete
		idle   int  // idle connections afterwards
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
			nettest.Until(t, "the connection is idle or closed", func() bool { return idle() == c.idle })
			time.Sleep(20 * time.Millisecond)
			if idle() != c.idle || p.bodies.Used() != 0 {
				t.Errorf("%d idle connections, %d bytes reserved", idle(), p.bodies.Used())
			}
		})
	}
}
