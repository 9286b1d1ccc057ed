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
	"cresshub/internal/logging"
	"cresshub/internal/sockets"
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
	_, err := c.In.Peek(1)
	silent := err != nil
	arrived := time.Now()
	var q *http1.Request
	if !silent {
		s.starts(c)
		if !c.fresh {
			c.SetReadDeadline(arrived.Add(limits.Request))
		}
		q, err = http1.ReadRequest(c.In)
	}
	if !s.begin(c) {
		return false
	}
	defer func() {
		if !again {
			s.mu.Lock()
			delete(s.clients, c)
			s.mu.Unlock()
			c.Close()
			s.Budget.Give(sockets.Clients)
		}
	}()
	if silent {
		return false
	}
	if err != nil {
		s.reject(c, err)
		return false
	}
	if !begins(c.In) {
		// The length told does not fit: what was read as a whole request is a part of one.
		s.reject(c, &http1.Malformed{Status: 400, Reason: "more than one request"})
		return false
	}
	answer, wrote := s.answer(c, q, arrived)
	if answer != nil {
		answer.Close = q.Close || !s.Serving()
		err = s.write(c, answer)
		if err == nil && wrote != nil {
			wrote.Add()
		}
		again = err == nil && !answer.Close
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
	b, _ := r.Peek(min(r.Buffered(), len("POST ")))
	return bytes.HasPrefix([]byte("GET /"), b) || bytes.HasPrefix([]byte("POST "), b)
}

func (s *Server) write(c *client, a *http1.Response) error {
	c.SetWriteDeadline(time.Now().Add(s.limits.Load().Write))
	if err := a.Write(c.Out); err != nil {
		return err
	}
	return c.Flush()
}

// reject answers what is no whole request, as far as there is somebody to answer.
func (s *Server) reject(c *client, err error) {
	status := 0
	var m *http1.Malformed
	switch {
	case errors.As(err, &m):
		status = m.Status
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = 408
	default:
		return
	}
	s.rejected(status, err.Error())
	if s.write(c, plain(status, err.Error(), true)) != nil {
		return
	}
	// A close with unread bytes is a reset, which could overtake the answer.
	if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
		c.SetReadDeadline(time.Now().Add(s.limits.Load().Linger))
		io.CopyN(io.Discard, t, http1.MaxBody)
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
