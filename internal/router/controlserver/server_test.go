package controlserver

import (
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/acceptloop/faultylistener"
	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

// TestServeContinuesAfterFailedAccepts: a temporary lack of file descriptors makes Accept fail. The server
// must serve calls again afterwards, and Serve must return once its listener is closed.
func TestServeContinuesAfterFailedAccepts(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	flaky := faultylistener.New(listener, 3)
	server := &Server{Handler: func(call *Call) *http1.Response { return Text(200, call.Path) }}
	served := make(chan error, 1)
	go func() { served <- server.Serve(flaky) }()
	answered := make(chan int, 1)
	go func() { answered <- get(c, listener.Addr().String(), "/here") }()
	select {
	case status := <-answered:
		c.Assert(status, qt.Equals, 200)
	case err := <-served:
		listener.Close()
		c.Fatalf("Serve ended after failed accepts: %v", err)
	}
	listener.Close()
	c.Assert(errors.Is(<-served, net.ErrClosed), qt.IsTrue)
}

// get returns the status of the response to a GET request, or 0 if there is no response.
func get(c *qt.C, address, path string) int {
	c.Helper()
	netConn, err := net.Dial("tcp4", address)
	c.Check(err, qt.IsNil)
	if err != nil {
		return 0
	}
	defer netConn.Close()
	conn := connbuffer.NewConn(netConn)
	request := http1.Request{Method: "GET", Target: path, Close: true,
		Header: http1.Header{{Name: "Host", Value: address}}}
	if request.Write(conn.Out) != nil || conn.Flush() != nil {
		return 0
	}
	head, _, err := http1.ReadResponseHead(conn.In, "GET")
	if err != nil {
		return 0
	}
	return head.Status
}

// TestPanicEndsOnlyItsCall: a caller retries a failed call at the next process. A call that makes the handler
// panic would therefore crash one process after another if the panic were not recovered.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &Server{Handler: func(call *Call) *http1.Response {
		if call.Path == "/mistake" {
			panic("test panic")
		}
		return Text(200, call.Path)
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	c.Check(get(c, listener.Addr().String(), "/mistake"), qt.Equals, 500)
	c.Check(get(c, listener.Addr().String(), "/here"), qt.Equals, 200)
	listener.Close()
	c.Assert(errors.Is(<-served, net.ErrClosed), qt.IsTrue)
}
