// Package controlserver serves HTTP/1.1 calls whose bodies are small enough to be read completely before they
// are handled: the calls of servers, of the operator and of the platform.
//
// Each connection is served by a goroutine of its own, which reads a call, has it handled and writes the
// response, until the connection is idle for too long, fails, or one side closes it. Handlers of different
// connections run concurrently. A panic of a handler ends its call with status 500 and nothing else.
// Connections that are open when the listener closes are served to their end.
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
	readTimeout  = 5 * time.Second  // from the first byte of a call to its last
	writeTimeout = 5 * time.Second  // of a response
)

// Call is a call that was read completely.
type Call struct {
	Method string
	Path   string // the target as it was sent, with its query
	Header http1.Header
	Body   []byte
}

// Handler returns the response to a call. It is called by several goroutines at once.
type Handler func(*Call) *http1.Response

// Server serves the calls that arrive at a listener. Its fields must not change once Serve is called.
type Server struct {
	// MaxBodyBytes bounds the body of a call; a larger one is answered with status 413.
	MaxBodyBytes int64
	// Handler handles the calls.
	Handler Handler
	// OnAcceptError, if set, is called for each connection that could not be accepted.
	OnAcceptError func(error)
	// OnPanic, if set, is called for each panic of the handler.
	OnPanic func(*PanicError)
}

// PanicError reports a panic of a handler.
type PanicError struct {
	Path  string // of the call
	Value any    // that recover returned
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("a call of %.80q brought out a mistake of the program: %v; report it with the stack",
		e.Path, e.Value)
}

// Serve accepts connections until the listener closes, and then returns net.ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	return acceptloop.Run(listener, s.OnAcceptError, func(netConn net.Conn) { go s.serveConn(netConn) })
}

// serveConn serves the calls of a connection and closes it.
func (s *Server) serveConn(netConn net.Conn) {
	defer netConn.Close()
	conn := connbuffer.NewConn(netConn)
	for {
		netConn.SetReadDeadline(time.Now().Add(idleTimeout))
		if conn.AwaitReadable() != nil {
			return
		}
		netConn.SetReadDeadline(time.Now().Add(readTimeout))
		response, err := s.readAndHandle(conn)
		if err != nil {
			return
		}
		netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if response.Write(conn.Out) != nil || conn.Flush() != nil || response.Close {
			return
		}
	}
}

// readAndHandle reads a call and has it handled. An error means that the connection is of no further use.
func (s *Server) readAndHandle(conn *connbuffer.Conn) (*http1.Response, error) {
	head, body, err := http1.ReadRequestHead(conn.In)
	if err != nil {
		return responseToMalformed(err)
	}
	if body.Length() > s.MaxBodyBytes {
		return closingText(413, "the body is too large"), nil
	}
	content, err := io.ReadAll(io.LimitReader(body, s.MaxBodyBytes+1))
	if err != nil {
		return responseToMalformed(err)
	}
	if int64(len(content)) > s.MaxBodyBytes {
		return closingText(413, "the body is too large"), nil
	}
	response := s.handle(&Call{Method: head.Method, Path: head.Target, Header: head.Header, Body: content})
	response.Close = response.Close || head.Close
	return response, nil
}

// handle calls the handler and recovers its panic. If the panic ended the process instead, the caller would
// get no response and bring down the next process with the same call.
func (s *Server) handle(call *Call) (response *http1.Response) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if s.OnPanic != nil {
			s.OnPanic(&PanicError{Path: call.Path, Value: value, Stack: debug.Stack()})
		}
		response = closingText(500, "a mistake of the program; its log has it")
	}()
	return s.Handler(call)
}

// responseToMalformed returns the response to a call that is not valid HTTP, or the error that prevented it
// from being read.
func responseToMalformed(err error) (*http1.Response, error) {
	var malformed *http1.MalformedError
	if errors.As(err, &malformed) {
		return closingText(malformed.Status, malformed.Reason), nil
	}
	return nil, err
}
