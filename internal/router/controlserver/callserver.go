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
	MaxBodyBytes int64 // of a call, in bytes
	Handler      Handler
	// OnAcceptError is told of each connection that could not be accepted; it may be nil.
	OnAcceptError func(error)
	// OnPanic is told of each call that brought out a mistake of the program; it may be nil.
	OnPanic func(*PanicError)
}

// PanicError is a panic that a call brought out.
type PanicError struct {
	Path  string // of the call
	Value any    // of the panic
	Stack []byte
}

// Error implements error.
func (m *PanicError) Error() string {
	return fmt.Sprintf("a call of %.80q brought out a mistake of the program: %v; report it with the stack",
		m.Path, m.Value)
}

// Serve accepts connections until the listener closes, and then returns net.ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	return acceptloop.Run(listener, s.OnAcceptError, func(netConn net.Conn) { go s.serveConn(netConn) })
}

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

// readAndHandle reads a call and has it handled. Its error means that the connection has ended.
func (s *Server) readAndHandle(conn *connbuffer.Conn) (*http1.Response, error) {
	head, body, err := http1.ReadRequestHead(conn.In)
	if err != nil {
		return malformedResponse(err)
	}
	if body.Length() > s.MaxBodyBytes {
		return closingResponse(413, "the body is too large"), nil
	}
	content, err := io.ReadAll(io.LimitReader(body, s.MaxBodyBytes+1))
	if err != nil {
		return malformedResponse(err)
	}
	if int64(len(content)) > s.MaxBodyBytes {
		return closingResponse(413, "the body is too large"), nil
	}
	response := s.handleCall(&Call{Method: head.Method, Path: head.Target, Header: head.Header, Body: content})
	response.Close = response.Close || head.Close
	return response, nil
}

// handleCall has a call handled. A mistake that it brings out ends neither the process nor other calls: its
// sender would get no answer and send it to the next process.
func (s *Server) handleCall(call *Call) (response *http1.Response) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		if s.OnPanic != nil {
			s.OnPanic(&PanicError{Path: call.Path, Value: recovered, Stack: debug.Stack()})
		}
		response = closingResponse(500, "a mistake of the program; its log has it")
	}()
	return s.Handler(call)
}

func malformedResponse(err error) (*http1.Response, error) {
	var malformed *http1.MalformedError
	if errors.As(err, &malformed) {
		return closingResponse(malformed.Status, malformed.Reason), nil
	}
	return nil, err
}

// closingResponse returns an answer that ends the connection because what came on it cannot be trusted.
func closingResponse(status int, reason string) *http1.Response {
	response := Text(status, reason)
	response.Close = true
	return response
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
