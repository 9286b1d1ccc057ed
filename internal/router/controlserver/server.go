// Package controlserver serves HTTP/1.1 calls whose bodies are small enough to be read completely before the
// call is handled: the calls of servers, of operators and of the platform.
//
// Each connection has a goroutine of its own, which reads a call, passes it to the handler and writes the
// response, until the connection is idle for too long, fails, or is closed by either side. Handlers of
// different connections run concurrently. If a handler panics, its call is answered with status 500 and its
// connection is closed; the process and all other connections continue. Connections that are open when the
// listener is closed continue to be served until they end.
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
	idleTimeout  = 30 * time.Second // for waiting for the next call on a connection
	readTimeout  = 5 * time.Second  // from the first byte of a call to its last
	writeTimeout = 5 * time.Second  // for writing a response
)

// Call is a call whose body has been read completely.
type Call struct {
	Method string
	Path   string // the request target as sent, including the query
	Header http1.Header
	Body   []byte
}

// Handler returns the response to a call. It may be called from several goroutines concurrently.
type Handler func(*Call) *http1.Response

// Server serves the calls that arrive at a listener. Its fields must not be changed once Serve is called.
type Server struct {
	// MaxBodyBytes bounds the body of a call; a call with a larger body is answered with status 413.
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
	Value any    // the value that recover returned
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("handler panicked on a call to %.80q: %v; report this together with the stack trace",
		e.Path, e.Value)
}

// Serve accepts connections until the listener is closed, and then returns net.ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	return acceptloop.Run(listener, s.OnAcceptError, func(netConn net.Conn) { go s.serveConn(netConn) })
}

// serveConn serves the calls of a connection and closes it.
func (s *Server) serveConn(netConn net.Conn) {
	defer netConn.Close()
	conn := connbuffer.NewConn(netConn)
	keepAlive := true
	for keepAlive {
		keepAlive = s.serveCall(conn)
	}
}

// serveCall waits for the next call on a connection and serves it. It reports whether another call may
// follow.
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

// readAndHandle reads a call and returns the handler's response, or a rejection if the call is malformed or
// too large. An error means that the connection failed and no response can be sent.
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

// errBodyTooLarge means that the body of a call exceeds MaxBodyBytes. Its text is sent to the caller.
var errBodyTooLarge = errors.New("the body is too large")

// readRequest reads a complete call. Its error is an *http1.MalformedError, errBodyTooLarge, or an error of
// the connection.
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

// handle calls the handler and recovers from its panics. If a panic ended the process instead, the caller
// would get no response and retry the call at the next process, which would panic as well.
func (s *Server) handle(call *Call) (response *http1.Response) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		if s.OnPanic != nil {
			s.OnPanic(&PanicError{Path: call.Path, Value: value, Stack: debug.Stack()})
		}
		response = closingText(http1.StatusInternalServerError, "internal error; see the log of the process")
	}()
	return s.Handler(call)
}
