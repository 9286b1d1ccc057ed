package ingress

import (
	"bufio"
	"bytes"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/config"
)

// serveConn is the goroutine of a connection.
func (s *Server) serveConn(c *client) {
	for s.serveRequest(c) {
		s.markIdle(c)
	}
}

// serveRequest reads one request and responds to it. reusable is false if the connection was closed.
func (s *Server) serveRequest(c *client) (reusable bool) {
	limits := s.limits.Load()
	arriving := s.awaitRequest(c, limits)
	var (
		message  *http1.Request
		body     *http1.Body
		reserved int // bytes taken from the budget for bodies
		err      error
	)
	if arriving {
		if message, body, err = http1.ReadRequestHead(c.In); err == nil {
			reserved, err = s.bufferBody(c, message, body)
		}
	}
	arrived := time.Now() // a request's time counts from its last byte
	defer s.Bodies.Release(reserved)
	if !s.claim(c) {
		return false
	}
	defer func() {
		if !reusable {
			s.closeClaimed(c)
		}
	}()
	switch {
	case !arriving:
		return false
	case err != nil:
		s.reject(c, err)
		return false
	case body.Complete() && !mayBeginRequest(c.In):
		// The stated length is wrong: what was read as a complete request is a part of one.
		s.reject(c, &http1.MalformedError{Status: http1.StatusBadRequest, Reason: "more than one request"})
		return false
	}
	return s.handle(c, message, body, arrived, limits)
}

// awaitRequest waits for the first byte of a request; false if none comes in time.
func (s *Server) awaitRequest(c *client, limits *config.Clients) bool {
	limit := limits.IdleTimeout
	if c.unused { // only this goroutine unsets it
		limit = limits.FirstRequestTimeout
	}
	c.SetReadDeadline(time.Now().Add(limit))
	// Whoever closes idle connections looks for bytes in the socket: none is consumed before the connection is
	// marked as receiving.
	if c.AwaitReadable() != nil {
		return false
	}
	s.markReceiving(c)
	c.SetReadDeadline(time.Now().Add(limits.HeadTimeout))
	_, err := c.In.Peek(1)
	return err == nil
}

// handle responds to a request whose body is buffered, or of whose body an attempt reads the rest. It returns
// whether the connection can be used again.
func (s *Server) handle(c *client, message *http1.Request, body *http1.Body, arrived time.Time,
	limits *config.Clients) (reusable bool) {
	var u *upload
	if !body.Complete() {
		u = &upload{server: s, client: c, body: body, ended: make(chan struct{})}
		c.upload.Store(u)
		defer c.upload.Store(nil)
		defer u.countOut()
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

// sendFinal writes the final response and, if the connection ends with it, lingers so that the response is
// not lost to a reset. It returns whether the connection can be used again.
func (s *Server) sendFinal(c *client, message *http1.Request, body *http1.Body, f *finalResponse,
	limits *config.Clients) (reusable bool) {
	// What is left of a body is in the way of the next request.
	f.response.Close = message.Close || s.closesAfterResponse(c) || !body.Complete()
	if c.usage != nil {
		c.usage.In = body.BytesRead()
	}
	written := s.writeResponse(c, message, f)
	switch {
	case !written: // a regular end of the connection would say that this was all
	case !body.Complete():
		s.linger(c.Conn, limits.DiscardTimeout)
	case f.response.Close && !c.Quiet():
		s.linger(c.Conn, limits.Linger)
	}
	return written && !f.response.Close
}

// mayBeginRequest reports whether the bytes that are buffered after a request may begin another one.
func mayBeginRequest(r *bufio.Reader) bool {
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
