package ingress

import (
	"io"
	"net"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
)

// final is a request's final answer and what belongs to it.
type final struct {
	answer *http1.Response   // nil where nobody waits for one
	from   *upstream.Outcome // what the answer is of, to be released; nil where it is our own
	count  *stats.Counter    // where it counts once it is written; nil where it is of no class
	failed *stats.Counter    // where it counts instead if its server breaks it off; set where from is
}

// sendBuffer bounds what the system keeps of an answer that streams. With more a slow client is written to in
// leaps of seconds, and many of them take megabytes each.
const sendBuffer = 64 << 10

// pass writes the final answer and returns whether the connection can go on.
func (s *Server) pass(c *client, q *http1.Request, f *final) bool {
	a := f.answer
	if q.Method == "HEAD" && !a.Bodiless {
		a.Bodiless, a.Length, a.Body = true, int64(len(a.Body)), nil
	}
	limits := s.limits.Load()
	c.SetWriteDeadline(time.Now().Add(limits.Write))
	w, err := a.Begin(c.Out, q.HTTP10)
	if err == nil {
		err = c.Flush()
	}
	if err != nil {
		return false
	}
	if f.from == nil || f.from.Rest == nil {
		f.count.Add()
		s.used(c, f.count, int64(len(a.Body)))
		return true
	}
	if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
		t.SetWriteBuffer(sendBuffer)
	}
	room, give := s.Bodies.Buffer()
	defer give()
	written := int64(len(a.Body))
	for {
		n, end := f.from.Rest.Read(room)
		written += int64(n)
		c.SetWriteDeadline(time.Now().Add(limits.Stall))
		if n > 0 {
			if _, err := w.Write(room[:n]); err != nil {
				return false
			}
			if c.Flush() != nil {
				return false // the client left
			}
		}
		if end == nil {
			continue
		}
		if end != io.EOF || w.Close() != nil {
			// The client must be able to tell that this is not all. Where the end of the connection is the end of
			// the body only a reset says so.
			f.failed.Add()
			s.used(c, f.failed, written)
			if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			return false
		}
		if c.Flush() != nil {
			return false
		}
		f.count.Add()
		s.used(c, f.count, written)
		return true
	}
}
