package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/descriptors"
	"cresshub/internal/proxy/logging"
)

func (s *Server) serveConn(c *client) {
	for s.serveRequest(c) {
		s.markIdle(c)
	}
}

// serveRequest serves one request; false means that the connection is closed.
func (s *Server) serveRequest(c *client) (reusable bool) {
	limits := s.limits.Load()
	limit := limits.IdleTimeout
	if c.unused { // only this goroutine unsets it
		limit = limits.FirstRequestTimeout
	}
	c.SetReadDeadline(time.Now().Add(limit))
	// Whoever closes what rests looks for bytes in the system: nothing is taken out before the connection
	// counts as in a request.
	err := c.AwaitReadable()
	if err == nil {
		s.markReceiving(c)
		c.SetReadDeadline(time.Now().Add(limits.HeadTimeout))
		_, err = c.In.Peek(1)
	}
	silent := err != nil
	var q *http1.Request
	var body *http1.Body
	reserved := 0
	if !silent {
		if q, body, err = http1.ReadRequestHead(c.In); err == nil {
			reserved, err = s.bufferBody(c, q, body)
		}
	}
	arrived := time.Now() // a request's time counts from its last byte
	defer s.Bodies.Release(reserved)
	if !s.claim(c) {
		return false
	}
	defer func() {
		if !reusable {
			s.mu.Lock()
			delete(s.clients, c)
			s.mu.Unlock()
			c.Close()
			s.Budget.Release(descriptors.Clients)
		}
	}()
	if silent {
		return false
	}
	if err != nil {
		s.reject(c, err)
		return false
	}
	var u *upload
	if !body.Complete() {
		u = &upload{server: s, client: c, body: body, ended: make(chan struct{})}
		c.upload.Store(u)
		defer c.upload.Store(nil)
		defer u.countOut()
	} else if !mayBeginRequest(c.In) {
		// The length told does not fit: what was read as a whole request is a part of one.
		s.reject(c, &http1.MalformedError{Status: 400, Reason: "more than one request"})
		return false
	}
	f := s.respond(c, q, u, arrived)
	if u != nil && u.malformed() != nil {
		s.reject(c, u.malformed())
		f.response = nil
	}
	if f.response != nil {
		// What is left of a body is in the way of the next request.
		f.response.Close = q.Close || s.closesAfterResponse(c) || !body.Complete()
		if c.usage != nil {
			c.usage.In = body.BytesRead()
		}
		written := s.writeResponse(c, q, &f)
		reusable = written && !f.response.Close
		switch {
		case !written: // to end the sending in order would say that this was all
		case !body.Complete():
			s.linger(c, limits.DiscardTimeout)
		case f.response.Close && !c.Quiet():
			s.linger(c, limits.Linger)
		}
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

// mayBeginRequest tells whether what has already come behind a request can be the start of another.
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

// reject answers what is no whole request, as far as there is somebody to answer.
func (s *Server) reject(c *client, err error) {
	status := 0
	var m *http1.MalformedError
	switch {
	case errors.As(err, &m):
		status = m.Status
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
	s.linger(c, s.limits.Load().Linger)
}

// linger reads on for a while after an answer that ends the connection: a close with unread bytes is a reset,
// which could overtake the answer.
func (s *Server) linger(c *client, wait time.Duration) {
	if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
		c.SetReadDeadline(time.Now().Add(wait))
		io.Copy(io.Discard, t)
	}
}

// countRejected counts a request that cannot be used.
func (s *Server) countRejected(status int, reason string) {
	s.Stats.Invalid.Add()
	s.Log.Warn("request rejected", logging.Status, status, logging.Err, reason)
}

func textResponse(status int, text string, ends bool) *http1.Response {
	return &http1.Response{Status: status, Body: []byte(text + "\n"), Close: ends,
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}}
}
