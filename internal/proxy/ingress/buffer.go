package ingress

import (
	"time"

	"cresshub/internal/http1"
)

// bufferBody reads a request's body into message.Body, as far as it is retained for further attempts: all of
// a small body, the start of one that is known to be large, or as much as the budget for bodies allows.
// reserved is the number of bytes taken from that budget, even if err is not nil; the caller releases them.
func (s *Server) bufferBody(c *client, message *http1.Request, body *http1.Body) (reserved int, err error) {
	if body.Complete() {
		return 0, nil
	}
	if message.ExpectsContinue && c.In.Buffered() == 0 { // otherwise the client didn't wait for the 100
		if err := s.sendContinue(c); err != nil {
			return 0, err
		}
	}
	message.Length = body.Length()
	reservation := s.Bodies.Reservation(message.Length, http1.MaxBufferedBody)
	for n := 0; ; {
		if n == len(message.Body) {
			var ok bool
			if message.Body, ok = reservation.Grow(message.Body); !ok {
				return reservation.Bytes(), nil
			}
		}
		m, err := c.read(body, message.Body[n:], s.limits.Load().StallTimeout)
		n += m
		if body.Complete() {
			message.Body, message.Length = message.Body[:n], 0
			return reservation.Bytes(), nil
		}
		if err != nil {
			return reservation.Bytes(), err
		}
	}
}

// sendContinue sends the interim response 100 (Continue), for which a client waits before it sends the body.
func (s *Server) sendContinue(c *client) error {
	c.SetWriteDeadline(time.Now().Add(s.limits.Load().WriteTimeout))
	http1.WriteContinue(c.Out)
	return c.Flush()
}
