package ingress

import (
	"errors"
	"io"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/stats"
	"cresshub/internal/proxy/upstream"
)

// finalResponse is a request's final response, with its source and how it is counted.
type finalResponse struct {
	response *http1.Response         // nil if the client has disconnected or was sent an error
	outcome  *upstream.Outcome       // of the attempt that response comes from; nil for a local reply
	class    *stats.ResponseCounters // counters of the request's class; nil for a health check
	kind     responseKind            // how response is counted once it is written
}

// sendBufferSize bounds the kernel's send buffer, in bytes, while a response streams. With a larger one,
// writes to a slow client make progress only every few seconds, and each of many such clients takes up
// megabytes.
const sendBufferSize = 64 << 10

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
	s.countResponse(c, f.class, f.kind, written)
	return true
}

// streamResponse copies the rest of a response from its server to the client, and returns whether all of it
// was written. written is the number of bytes of the body that were written before.
func (s *Server) streamResponse(c *client, w http1.BodyWriter, f *finalResponse, written int64,
	stallTimeout time.Duration) bool {
	if t, ok := c.TCP(); ok {
		_ = t.SetWriteBuffer(sendBufferSize) // on failure the system's default size is used
	}
	buffer, release := s.Bodies.Buffer()
	defer release()
	for {
		n, readErr := f.outcome.Stream.Read(buffer)
		written += int64(n)
		c.SetWriteDeadline(time.Now().Add(stallTimeout))
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
		s.countResponse(c, f.class, f.kind, written)
		return true
	}
}

// failStream counts a response that its server truncated, and makes the later close of the connection a
// reset: the client must be able to tell that the response is incomplete, even if the end of the connection
// delimits it.
func (s *Server) failStream(c *client, f *finalResponse, written int64) {
	s.countResponse(c, f.class, responseBadGateway, written)
	if t, ok := c.TCP(); ok {
		t.SetLinger(0)
	}
}
