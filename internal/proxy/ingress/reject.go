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

// rejectConn reads one request and rejects it with status 503, on a connection for which the descriptor
// budget has no room. If the connection were closed without a response, the client could not tell whether its
// request was executed.
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
	usageOnly := &client{} // has no connection; only holds the usage of this request
	s.startUsage(usageOnly, message, class)
	s.countResponse(usageOnly, s.Stats.Class(class), responseDropped, 0)
}

// reject responds to a malformed request, or one that was incomplete at its timeout or when a drain ended the
// wait. It does not respond after other errors, as the client has then disconnected.
func (s *Server) reject(c *client, err error) {
	status := 0
	var malformed *http1.MalformedError
	switch {
	case errors.As(err, &malformed):
		status = malformed.Status
	case errors.Is(err, os.ErrDeadlineExceeded) && s.Serving():
		status = http1.StatusRequestTimeout
	case errors.Is(err, os.ErrDeadlineExceeded): // in a drain, whose closeDue may have ended the wait
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

// linger closes the sending side, then reads and discards what the client sends, until the client closes or
// wait has elapsed. Closing a connection with unread bytes sends a reset, which could overtake the response.
func (s *Server) linger(c *connbuffer.Conn, wait time.Duration) {
	if t, ok := c.TCP(); ok {
		_ = t.CloseWrite() // fails only if the connection has ended
		c.SetReadDeadline(time.Now().Add(wait))
		_, _ = io.Copy(io.Discard, t) // ends with an error at the deadline
	}
}

// countRejected counts and logs a request that is malformed or invalid.
func (s *Server) countRejected(status int, reason string) {
	s.Stats.Invalid.Inc()
	s.Log.Warn("ingress: request rejected", logging.Status, status, logging.Err, reason)
}

// textResponse returns a local reply, that is, a response of the proxy itself. closeConn says that the
// connection is closed after it.
func textResponse(status int, text string, closeConn bool) *http1.Response {
	return &http1.Response{
		Status: status, Body: []byte(text + "\n"), Close: closeConn,
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
	}
}
