package controlclient

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
)

// testTimeout bounds each call of a test; no result depends on how much of it is used.
const testTimeout = 10 * time.Second

// serve serves calls on a loopback address until the test ends, and returns that address.
func serve(c *qt.C, handler controlserver.Handler) string {
	c.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan struct{})
	go func() {
		defer close(served)
		(&controlserver.Server{MaxBodyBytes: 1 << 20, Handler: handler}).Serve(listener)
	}()
	c.Cleanup(func() {
		listener.Close()
		<-served
	})
	return listener.Addr().String()
}

// testContext returns a context that ends after testTimeout.
func testContext(c *qt.C) context.Context {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	return ctx
}

func TestCallReturnsTheCompleteResponse(t *testing.T) {
	c := qt.New(t)
	large := strings.Repeat("x", 200<<10)
	address := serve(c, func(call *controlserver.Call) *http1.Response {
		c.Check(call.Method, qt.Equals, "PUT")
		c.Check(call.Header.Get("If-Match"), qt.Equals, "3")
		return controlserver.Text(200, call.Path+string(call.Body))
	})
	response, err := Do(testContext(c), address, Call{Method: "PUT", Target: "/a?b",
		Header: http1.Header{{Name: "If-Match", Value: "3"}}, Body: []byte(large)})
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, 200)
	c.Assert(string(response.Body) == "/a?b"+large+"\n", qt.IsTrue)
}

func TestRedirectsAreFollowedTwice(t *testing.T) {
	c := qt.New(t)
	calls := 0
	var address string
	address = serve(c, func(call *controlserver.Call) *http1.Response {
		calls++
		response := controlserver.Text(307, "there")
		location := http1.Field{Name: "Location", Value: "http://" + address + "/next"}
		response.Header = append(response.Header, location)
		return response
	})
	response, err := Do(testContext(c), address, Call{Method: "GET", Target: "/"})
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, 307)
	c.Assert(calls, qt.Equals, 3)
}

// TestUnresponsiveServerEndsWithTheContext: a process that accepts a connection and never responds must not
// delay the caller after the caller's context has ended.
func TestUnresponsiveServerEndsWithTheContext(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			defer conn.Close()
			cancel()
			io.Copy(io.Discard, conn)
		}
	}()
	_, err = Do(ctx, listener.Addr().String(), Call{Method: "GET", Target: "/"})
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(err, qt.ErrorAs, new(*CallError))
}
