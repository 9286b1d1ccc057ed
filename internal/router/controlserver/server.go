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
	mayGoOn := true
	for mayGoOn {
		mayGoOn = s.serveCall(conn)
	}
}

// serveCall waits for the next call of a connection and serves it. It reports whether another one may follow.
func (s *Server) serveCall(conn *connbuffer.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(idleTimeout))
	if conn.AwaitReadable() != nil {
		return false
	}
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	response, err := s.readAndHandle(conn)
	if err != nil {
		return false
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return response.Write(conn.Out) == nil && conn.Flush() == nil && !response.Close
}

// readAndHandle reads a call and has it handled, or rejects it. An error means that the connection is of no
// further use.
func (s *Server) readAndHandle(conn *connbuffer.Conn) (*http1.Response, error) {
	request, err := s.readRequest(conn)
	var malformed *http1.MalformedError
	switch {
	case errors.As(err, &malformed):
		return closingText(malformed.Status, malformed.Reason), nil
	case errors.Is(err, errBodyTooLarge):
		return closingText(http1.StatusRequestEntityTooLarge, errBodyTooLarge.Error()), nil
	case err != nil:
		return nil, err
	}
	response := s.handle(&Call{
		Method: request.Method, Path: request.Target, Header: request.Header, Body: request.Body,
	})
	response.Close = response.Close || request.Close
	return response, nil
}

// errBodyTooLarge means that a call's body exceeds MaxBodyBytes. The text goes to the caller.
var errBodyTooLarge = errors.New("the body is too large")

// readRequest reads a call completely. Its error is an *http1.MalformedError, errBodyTooLarge, or that of the
// connection.
func (s *Server) readRequest(conn *connbuffer.Conn) (*http1.Request, error) {
	request, body, err := http1.ReadRequestHead(conn.In)
	if err != nil {
		return nil, err
	}
	if body.Length() > s.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	request.Body, err = io.ReadAll(io.LimitReader(body, s.MaxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(request.Body)) > s.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	return request, nil
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
		response = closingText(http1.StatusInternalServerError, "a mistake of the program; its log has it")
	}()
	return s.Handler(call)
}
