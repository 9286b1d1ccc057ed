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

// rejectConn reads one request and rejects it, on a connection for which there is no descriptor left in the
// budget: a client whose connection is just closed could not tell what became of its request.
func (s *Server) rejectConn(nc net.Conn) {
	defer func() { <-s.rejecting }()
	defer nc.Close()
	c := connbuffer.NewConn(s.Clock.Wrap(nc))
	c.SetDeadline(time.Now().Add(s.limits.Load().RejectTimeout))
	message, body, err := http1.ReadRequestHead(c.In)
	if err != nil {
		return
	}
	response := http1.Response{Status: http1.StatusServiceUnavailable, Close: true}
	_ = response.Write(c.Out) // Flush returns its error
	flushErr := c.Flush()
	if flushErr == nil && !(body.Complete() && c.Quiet()) {
		defer s.linger(c, s.limits.Load().Linger)
	}
	class, known := s.classes[message.Header.Get(classField)]
	if flushErr != nil || !known {
		return
	}
	usageOnly := &client{} // without a connection: just for the usage of this request
	s.startUsage(usageOnly, message, class)
	s.countAnswer(usageOnly, s.Stats.Class(class), answerDropped, 0)
}

// reject responds to a malformed or incomplete request, unless its client has disconnected.
func (s *Server) reject(c *client, err error) {
	status := 0
	var malformed *http1.MalformedError
	switch {
	case errors.As(err, &malformed):
		status = malformed.Status
	case errors.Is(err, os.ErrDeadlineExceeded) && s.Serving():
		status = http1.StatusRequestTimeout
	case errors.Is(err, os.ErrDeadlineExceeded): // a drain has ended the wait
		status = http1.StatusServiceUnavailable
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
	if t, ok := c.TCP(); ok {
		_ = t.CloseWrite() // where it fails the connection has ended
		c.SetReadDeadline(time.Now().Add(wait))
		_, _ = io.Copy(io.Discard, t) // until the client closes or the time is over, which is an error too
	}
}

// countRejected counts and logs a request that is malformed or invalid.
func (s *Server) countRejected(status int, reason string) {
	s.Stats.Invalid.Inc()
	s.Log.Warn("ingress: request rejected", logging.Status, status, logging.Err, reason)
}

// textResponse returns a local reply, one that the proxy makes itself. closes says that the connection ends
// with it.
func textResponse(status int, text string, closes bool) *http1.Response {
	return &http1.Response{
		Status: status, Body: []byte(text + "\n"), Close: closes,
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
	}
}
