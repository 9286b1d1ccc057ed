package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/logging"
)

// rejectConn reads one request and refuses it, on a connection for which there is no descriptor left in the
// budget: a client whose connection is just closed could not tell what became of its request.
func (s *Server) rejectConn(nc net.Conn) {
	defer func() { <-s.rejecting }()
	defer nc.Close()
	c := connbuffer.NewConn(nc)
	c.SetDeadline(time.Now().Add(s.limits.Load().RejectTimeout))
	q, body, err := http1.ReadRequestHead(c.In)
	if err != nil {
		return
	}
	_ = (&http1.Response{Status: 503, Close: true}).Write(c.Out) // Flush returns its error
	flushErr := c.Flush()
	if flushErr == nil && !(body.Complete() && c.Quiet()) {
		defer s.linger(c, s.limits.Load().Linger)
	}
	if class, ok := s.classes[q.Header.Get(classField)]; flushErr == nil && ok {
		s.Stats.Class(class).Dropped.Add()
		if t := (&client{}); s.RecordUsage != nil {
			s.startUsage(t, q, class)
			s.reportUsage(t, &s.Stats.Class(class).Dropped, 0)
		}
	}
}

// reject responds to a malformed or incomplete request, unless its client has disconnected.
func (s *Server) reject(c *client, err error) {
	status := 0
	var malformed *http1.MalformedError
	switch {
	case errors.As(err, &malformed):
		status = malformed.Status
	case errors.Is(err, os.ErrDeadlineExceeded) && s.Serving():
		status = 408
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = 503
	default:
		return
	}
	s.countRejected(status, err.Error())
	c.SetWriteDeadline(time.Now().Add(s.limits.Load().WriteTimeout))
	if textResponse(status, err.Error(), true).Write(c.Out) != nil || c.Flush() != nil {
		return
	}
	s.linger(c.Conn, s.limits.Load().Linger)
}

// linger ends the sending and reads on for a while after a response that ends the connection: a close with
// unread bytes is a reset, which could overtake the response.
func (s *Server) linger(c *connbuffer.Conn, wait time.Duration) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite() // where it fails the connection has ended
		c.SetReadDeadline(time.Now().Add(wait))
		_, _ = io.Copy(io.Discard, t) // until the client closes or the time is over, which is an error too
	}
}

// countRejected counts a request that cannot be used.
func (s *Server) countRejected(status int, reason string) {
	s.Stats.Invalid.Add()
	s.Log.Warn("ingress: request rejected", logging.Status, status, logging.Err, reason)
}

// textResponse returns a response of the proxy's own; ends says that the connection ends with it.
func textResponse(status int, text string, ends bool) *http1.Response {
	return &http1.Response{Status: status, Body: []byte(text + "\n"), Close: ends,
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}}
}
