package ingress

import (
	"errors"
	"io"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
)

// finalResponse is a request's final response and what belongs to it.
type finalResponse struct {
	response *http1.Response   // nil where nobody waits for one
	outcome  *upstream.Outcome // where response comes from, to be released; nil for a local reply
	class    *stats.ResponseCounters    // counters of the request's class; nil for a health check
	answer   answer            // what it counts as once it is written
}

// sendBuffer bounds the kernel's send buffer, in bytes, while a response streams. With more, writes to a slow
// client make progress in leaps of seconds, and many such clients take megabytes each.
const sendBuffer = 64 << 10

// writeResponse writes the final response and returns whether all of it was written.
func (s *Server) writeResponse(c *client, message *http1.Request, f *finalResponse) bool {
	response := f.response
	if message.Method == "HEAD" && !response.Bodiless {
		response.Bodiless, response.Length, response.Body = true, int64(len(response.Body)), nil
	}
	limits := s.limits.Load()
	c.SetWriteDeadline(time.Now().Add(limits.WriteTimeout))
	w, err := response.Begin(c.Out, message.HTTP10)
	if err == nil {
		err = c.Flush()
	}
	if err != nil {
		return false
	}
	written := int64(len(response.Body))
	if f.outcome != nil && f.outcome.Stream != nil {
		return s.streamResponse(c, w, f, written, limits.StallTimeout)
	}
	s.countAnswer(c, f.class, f.answer, written)
	return true
}

// streamResponse copies the rest of a response from its server to the client. written is the number of bytes
// of its body that were written before.
func (s *Server) streamResponse(c *client, w http1.BodyWriter, f *finalResponse, written int64,
	stall time.Duration) bool {
	if t, ok := c.TCP(); ok {
		_ = t.SetWriteBuffer(sendBuffer) // with the system's own size it works too
	}
	buffer, release := s.Bodies.Buffer()
	defer release()
	for {
		n, readErr := f.outcome.Stream.Read(buffer)
		written += int64(n)
		c.SetWriteDeadline(time.Now().Add(stall))
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return false
			}
			if c.Flush() != nil {
				return false // the client has disconnected
			}
		}
		switch {
		case readErr == nil:
			continue
		case !errors.Is(readErr, io.EOF) || w.Close() != nil:
			s.failStream(c, f, written)
			return false
		case c.Flush() != nil:
			return false
		}
		s.countAnswer(c, f.class, f.answer, written)
		return true
	}
}

// failStream counts a response that its server broke off and has the connection end with a reset: the client
// must be able to tell that the response is not complete, also where the end of the connection delimits it.
func (s *Server) failStream(c *client, f *finalResponse, written int64) {
	s.countAnswer(c, f.class, answerBadGateway, written)
	if t, ok := c.TCP(); ok {
		t.SetLinger(0)
	}
}
