// Package controlserver answers HTTP/1.1 calls whose bodies are small enough to be kept whole: those of
// servers, of the operator and of the platform.
package controlserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"time"

	"cresshub/internal/acceptloop"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

const (
	idleTimeout  = 30 * time.Second // between two calls of a connection
	readTimeout  = 5 * time.Second  // of one call
	writeTimeout = 5 * time.Second  // of one answer
)

// Call is one call, read whole.
type Call struct {
	Method string
	Path   string
	Header http1.Header
	Body   []byte
}

// Handler answers a call. Handlers of different connections run at the same time.
type Handler func(*Call) *http1.Response

// Server answers the calls that come to a listener.
type Server struct {
	MaxBody int64 // of a call, in bytes
	Handle  Handler
	// Failed is told of each connection that could not be accepted; it may be nil.
	Failed func(error)
	// Broke is told of each call that brought out a mistake of the program; it may be nil.
	Broke func(*Mistake)
}

// Mistake is a panic that a call brought out.
type Mistake struct {
	Path  string // of the call
	Value any    // of the panic
	Stack []byte
}

// Error implements error.
func (m *Mistake) Error() string {
	return fmt.Sprintf("a call of %.80q brought out a mistake of the program: %v; report it with the stack",
		m.Path, m.Value)
}

// Serve accepts connections until the listener closes, and then returns net.ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	return acceptloop.Run(listener, s.Failed, func(c net.Conn) { go s.serve(c) })
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	conn := connbuffer.NewConn(c)
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		if conn.Await() != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(readTimeout))
		answer, err := s.answer(conn)
		if err != nil {
			return
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if answer.Write(conn.Out) != nil || conn.Flush() != nil || answer.Close {
			return
		}
	}
}

// answer reads a call and has it handled. Its error means that the connection has ended.
func (s *Server) answer(conn *connbuffer.Conn) (*http1.Response, error) {
	head, body, err := http1.ReadRequestHead(conn.In)
	if err != nil {
		return rejection(err)
	}
	if body.Length() > s.MaxBody {
		return Problem(413, "the body is too large"), nil
	}
	kept, err := io.ReadAll(io.LimitReader(body, s.MaxBody+1))
	if err != nil {
		return rejection(err)
	}
	if int64(len(kept)) > s.MaxBody {
		return Problem(413, "the body is too large"), nil
	}
	answer := s.handle(&Call{Method: head.Method, Path: head.Target, Header: head.Header, Body: kept})
	answer.Close = answer.Close || head.Close
	return answer, nil
}

// handle has a call handled. A mistake that it brings out ends neither the process nor other calls: its
// sender would get no answer and send it to the next process.
func (s *Server) handle(call *Call) (answer *http1.Response) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if s.Broke != nil {
			s.Broke(&Mistake{Path: call.Path, Value: value, Stack: debug.Stack()})
		}
		answer = Problem(500, "a mistake of the program; its log has it")
	}()
	return s.Handle(call)
}

func rejection(err error) (*http1.Response, error) {
	var malformed *http1.Malformed
	if errors.As(err, &malformed) {
		return Problem(malformed.Status, malformed.Reason), nil
	}
	return nil, err
}

// Problem returns an answer that ends the connection because what came on it cannot be trusted.
func Problem(status int, reason string) *http1.Response {
	answer := Text(status, reason)
	answer.Close = true
	return answer
}

// Text returns an answer with a line of text.
func Text(status int, line string) *http1.Response {
	return &http1.Response{Status: status, Header: http1.Header{{Name: "Content-Type", Value: "text/plain"}},
		Body: []byte(line + "\n")}
}

// JSON returns an answer with a JSON document.
func JSON(status int, document []byte) *http1.Response {
	header := http1.Header{{Name: "Content-Type", Value: "application/json"}}
	return &http1.Response{Status: status, Header: header, Body: document}
}
