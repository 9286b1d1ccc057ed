package ingress

import (
	"bufio"
	"bytes"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/config"
)

// serveConn serves the requests of a connection until it is closed. It runs in the connection's goroutine.
func (s *Server) serveConn(c *client) {
	for s.serveRequest(c) {
		s.markIdle(c)
	}
}

// serveRequest reads one request and responds to it. reusable is false if the connection was closed, by this
// call or by another goroutine.
func (s *Server) serveRequest(c *client) (reusable bool) {
	limits := s.limits.Load()
	begun := s.awaitRequest(c, limits)
	var (
		message  *http1.Request
		body     *http1.Body
		reserved int // bytes taken from the budget for bodies
		err      error
	)
	if begun {
		if message, body, err = http1.ReadRequestHead(c.In); err == nil {
			reserved, err = s.bufferBody(c, message, body)
		}
	}
	arrived := time.Now() // X-Timeout counts from a request's last byte; for an upload see MarkSent
	defer s.Bodies.Release(reserved)
	if !s.takeOwnership(c) {
		return false
	}
	defer func() {
		if !reusable {
			s.closeOwned(c)
		}
	}()
	switch {
	case !begun:
		return false
	case err != nil:
		s.reject(c, err)
		return false
	case body.Complete() && !mayStartRequest(c.In):
		// The stated length was too small: the bytes that follow are the rest of the body, not another request.
		s.reject(c, &http1.MalformedError{Status: http1.StatusBadRequest, Reason: "more than one request"})
		return false
	}
	return s.handle(c, message, body, arrived, limits)
}

// awaitRequest waits for the first byte of a request and marks the connection as receiving. It returns false
// if no byte arrives before the timeout or the end of the connection.
func (s *Server) awaitRequest(c *client, limits *config.Clients) bool {
	limit := limits.IdleTimeout
	if c.unused { // read without the lock, since only this goroutine clears it
		limit = limits.FirstRequestTimeout
	}
	c.SetReadDeadline(time.Now().Add(limit))
	// Goroutines that close idle connections check the socket for unread bytes, so none may be consumed before
	// the connection is marked as receiving.
	if c.AwaitReadable() != nil {
		return false
	}
	s.markReceiving(c)
	c.SetReadDeadline(time.Now().Add(limits.HeadTimeout))
	_, err := c.In.Peek(1)
	return err == nil
}

// handle responds to a request whose head and body are read, except for the part of a large body that is left
// to an attempt. It returns whether the connection can be reused.
func (s *Server) handle(c *client, message *http1.Request, body *http1.Body, arrived time.Time,
	limits *config.Clients) (reusable bool) {
	var u *upload
	if !body.Complete() {
		u = &upload{server: s, client: c, body: body, ended: make(chan struct{})}
		c.upload.Store(u)
		defer c.upload.Store(nil)
		defer u.endInProgress()
	}
	f := s.respond(c, message, u, arrived)
	if u != nil && u.malformed() != nil {
		s.reject(c, u.malformed())
		f.response = nil
	}
	if f.response != nil {
		reusable = s.sendFinal(c, message, body, &f, limits)
	}
	if f.outcome != nil {
		s.Pool.Release(f.outcome)
	}
	if c.inProgress {
		c.inProgress = false
		s.Stats.InProgress.Add(-1)
	}
	s.logRequest(c, arrived)
	return reusable
}

// sendFinal writes the final response. If the connection closes after it, sendFinal lingers where unread
// bytes would cause a reset, in which the response could be lost. It returns whether the connection can be
// reused.
func (s *Server) sendFinal(c *client, message *http1.Request, body *http1.Body, f *finalResponse,
	limits *config.Clients) (reusable bool) {
	// The unread rest of a body would have to be read before the next request.
	f.response.Close = message.Close || s.closesAfterResponse(c) || !body.Complete()
	if c.usage != nil {
		c.usage.In = body.BytesRead()
	}
	written := s.writeResponse(c, message, f)
	switch {
	case !written: // no linger: its FIN would tell the client that the response is complete
	case !body.Complete():
		s.linger(c.Conn, limits.DiscardTimeout)
	case f.response.Close && !c.Quiet():
		s.linger(c.Conn, limits.Linger)
	}
	return written && !f.response.Close
}

// mayStartRequest reports whether the bytes buffered after a request may be the start of another request. It
// accepts a blank line before it, and a start that is not complete yet.
func mayStartRequest(r *bufio.Reader) bool {
	b, _ := r.Peek(min(r.Buffered(), len("\r\nPOST ")))
	b = bytes.TrimPrefix(b, []byte("\r\n"))
	b = b[:min(len(b), len("POST "))]
	for _, method := range []string{"GET ", "POST ", "HEAD "} {
		if bytes.HasPrefix([]byte(method), b) || bytes.HasPrefix(b, []byte(method)) {
			return true
		}
	}
	return string(b) == "\r"
}
