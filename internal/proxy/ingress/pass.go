package ingress

import (
	"io"
	"net"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
)

// finalResponse is a request's final answer and what belongs to it.
type finalResponse struct {
	response      *http1.Response   // nil where nobody waits for one
	outcome       *upstream.Outcome // what the answer is of, to be released; nil where it is our own
	counter       *stats.Counter    // where it counts once it is written; nil where it is of no class
	failedCounter *stats.Counter    // where it counts instead if its server breaks it off; set where from is
}

// sendBuffer bounds what the system keeps of an answer that streams. With more a slow client is written to in
// leaps of seconds, and many of them take megabytes each.
const sendBuffer = 64 << 10

// writeResponse writes the final answer and returns whether the connection can go on.
func (s *Server) writeResponse(c *client, q *http1.Request, f *finalResponse) bool {
	response := f.response
	if q.Method == "HEAD" && !response.Bodiless {
		response.Bodiless, response.Length, response.Body = true, int64(len(response.Body)), nil
	}
	limits := s.limits.Load()
	c.SetWriteDeadline(time.Now().Add(limits.WriteTimeout))
	w, err := response.Begin(c.Out, q.HTTP10)
	if err == nil {
		err = c.Flush()
	}
	if err != nil {
		return false
	}
	if f.outcome == nil || f.outcome.Stream == nil {
		f.counter.Add()
		s.reportUsage(c, f.counter, int64(len(response.Body)))
		return true
	}
	if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
		t.SetWriteBuffer(sendBuffer)
	}
	buffer, release := s.Bodies.Buffer()
	defer release()
	written := int64(len(response.Body))
	for {
		n, readErr := f.outcome.Stream.Read(buffer)
		written += int64(n)
		c.SetWriteDeadline(time.Now().Add(limits.StallTimeout))
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return false
			}
			if c.Flush() != nil {
				return false // the client left
			}
		}
		if readErr == nil {
			continue
		}
		if readErr != io.EOF || w.Close() != nil {
			// The client must be able to tell that this is not all. Where the end of the connection is the end of
			// the body only a reset says so.
			f.failedCounter.Add()
			s.reportUsage(c, f.failedCounter, written)
			if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			return false
		}
		if c.Flush() != nil {
			return false
		}
		f.counter.Add()
		s.reportUsage(c, f.counter, written)
		return true
	}
}
