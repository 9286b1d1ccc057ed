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

func (s *Server) serve(c *client) {
	for s.request(c) {
		s.rest(c)
	}
}

// request serves one request; false means that the connection is closed.
func (s *Server) request(c *client) (again bool) {
	limits := s.limits.Load()
	limit := limits.Idle
	if c.fresh { // only this goroutine unsets it
		limit = limits.First
	}
	c.SetReadDeadline(time.Now().Add(limit))
	// Whoever closes what rests looks for bytes in the system: nothing is taken out before the connection
	// counts as in a request.
	err := c.AwaitReadable()
	if err == nil {
		s.starts(c)
		c.SetReadDeadline(time.Now().Add(limits.Request))
		_, err = c.In.Peek(1)
	}
	silent := err != nil
	var q *http1.Request
	var body *http1.Body
	held := 0
	if !silent {
		if q, body, err = http1.ReadRequestHead(c.In); err == nil {
			held, err = s.keep(c, q, body)
		}
	}
	arrived := time.Now() // a request's time counts from its last byte
	defer s.Bodies.Release(held)
	if !s.begin(c) {
		return false
	}
	defer func() {
		if !again {
			s.mu.Lock()
			delete(s.clients, c)
			s.mu.Unlock()
			c.Close()
			s.Budget.Give(descriptors.Clients)
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
		u = &upload{server: s, client: c, body: body, over: make(chan struct{})}
		c.upload.Store(u)
		defer c.upload.Store(nil)
		defer u.ended()
	} else if !begins(c.In) {
		// The length told does not fit: what was read as a whole request is a part of one.
		s.reject(c, &http1.MalformedError{Status: 400, Reason: "more than one request"})
		return false
	}
	f := s.answer(c, q, u, arrived)
	if u != nil && u.malformed() != nil {
		s.reject(c, u.malformed())
		f.answer = nil
	}
	if f.answer != nil {
		// What is left of a body is in the way of the next request.
		f.answer.Close = q.Close || s.leaving(c) || !body.Complete()
		if c.use != nil {
			c.use.In = body.BytesRead()
		}
		passed := s.pass(c, q, &f)
		again = passed && !f.answer.Close
		switch {
		case !passed: // to end the sending in order would say that this was all
		case !body.Complete():
			s.linger(c, limits.Discard)
		case f.answer.Close && !c.Quiet():
			s.linger(c, limits.Linger)
		}
	}
	if f.from != nil {
		s.Pool.Release(f.from)
	}
	if c.taken {
		c.taken = false
		s.Count.InProgress.Add(-1)
	}
	s.logged(c, arrived)
	return again
}

// begins tells whether what has already come behind a request can be the start of another.
func begins(r *bufio.Reader) bool {
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
	s.rejected(status, err.Error())
	c.SetWriteDeadline(time.Now().Add(s.limits.Load().Write))
	if plain(status, err.Error(), true).Write(c.Out) != nil || c.Flush() != nil {
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

// rejected counts a request that cannot be used.
func (s *Server) rejected(status int, reason string) {
	s.Count.Invalid.Add()
	s.Log.Warn("request rejected", logging.Status, status, logging.Err, reason)
}

func plain(status int, text string, ends bool) *http1.Response {
	return &http1.Response{Status: status, Body: []byte(text + "\n"), Close: ends,
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}}
}
