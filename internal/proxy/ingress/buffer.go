package ingress

import (
	"time"

	"cresshub/internal/http1"
)

// bufferBody reads a request's body as far as it is buffered for further attempts: all of a small one, the
// start of one that is known to be large, or as much as the budget for bodies allows. reserved is what it
// took from that.
func (s *Server) bufferBody(c *client, q *http1.Request, body *http1.Body) (reserved int, err error) {
	if body.Complete() {
		return 0, nil
	}
	if q.ExpectsContinue && c.In.Buffered() == 0 { // else the client has not waited for it
		if err := s.sendContinue(c); err != nil {
			return 0, err
		}
	}
	q.Length = body.Length()
	reservation := s.Bodies.Reservation(q.Length, http1.MaxBufferedBody)
	for n := 0; ; {
		if n == len(q.Body) {
			var ok bool
			if q.Body, ok = reservation.Grow(q.Body); !ok {
				return reservation.Bytes(), nil
			}
		}
		m, err := c.read(body, q.Body[n:], s.limits.Load().StallTimeout)
		n += m
		if body.Complete() {
			q.Body, q.Length = q.Body[:n], 0
			return reservation.Bytes(), nil
		}
		if err != nil {
			return reservation.Bytes(), err
		}
	}
}

func (s *Server) sendContinue(c *client) error {
	c.SetWriteDeadline(time.Now().Add(s.limits.Load().WriteTimeout))
	http1.WriteContinue(c.Out)
	return c.Flush()
}
