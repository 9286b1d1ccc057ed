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

// TestServeContinuesAfterFailedAccepts: a process that was short of descriptors for a moment serves again,
// and Serve returns once its listener is closed.
func TestServeContinuesAfterFailedAccepts(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	short := faultylistener.New(listener, 3)
	server := &Server{Handler: func(call *Call) *http1.Response { return Text(200, call.Path) }}
	served := make(chan error, 1)
	go func() { served <- server.Serve(short) }()
	answered := make(chan int, 1)
	go func() { answered <- get(c, listener.Addr().String(), "/here") }()
	select {
	case status := <-answered:
		c.Assert(status, qt.Equals, 200)
	case err := <-served:
		listener.Close()
		c.Fatalf("no connection is accepted any more: %v", err)
	}
	listener.Close()
	c.Assert(errors.Is(<-served, net.ErrClosed), qt.IsTrue)
}

// get returns the status of the response to a GET, 0 if there is none.
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

// TestPanicEndsOnlyItsCall: a caller whose call makes a process panic sends it to the next process too, so
// that it must not end any.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &Server{Handler: func(call *Call) *http1.Response {
		if call.Path == "/mistake" {
			panic("a mistake")
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
