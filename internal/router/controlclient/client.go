// Package controlclient makes HTTP/1.1 calls with small bodies: to the control addresses of the fleet's
// processes, and to its servers. Each call opens a connection of its own, so that calls are independent and
// any goroutine may make them. Package controlserver is the other side.
package controlclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"time"

	"cresshub/internal/http1"
)

const (
	// maxResponseBytes bounds the body of a response; a configuration may be that large.
	maxResponseBytes = 8 << 20
	// maxRedirects is how many redirections a call follows, each with its method and body.
	maxRedirects = 2
)

// expiredDeadline is a deadline in the past, which ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// Call is a call to be made.
type Call struct {
	Method string
	Target string       // path and query
	Header http1.Header // besides Host
	Body   []byte
}

// CallError reports that a call got no complete response. The call may have been handled all the same.
type CallError struct {
	Address string // that was called last
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("no answer from %s: %v; check the address, or call another process", e.Address, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is the DialFunc of the machine's network.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}

// Do makes a call to an address and returns its response with the complete body, of whatever status. It
// follows up to two redirections with status 307. Its error is a *CallError, which wraps that of a context
// that ended.
func Do(ctx context.Context, address string, call Call) (*http1.Response, error) {
	return DoWithDialer(ctx, dialTCP, address, call)
}

// DoWithDialer is Do over connections that another dialer opens.
func DoWithDialer(ctx context.Context, dial DialFunc, address string, call Call) (*http1.Response, error) {
	for redirects := 0; ; redirects++ {
		response, err := doOnce(ctx, dial, address, call)
		if err != nil {
			return nil, &CallError{Address: address, Err: err}
		}
		location := redirectLocation(response)
		if location == nil || redirects == maxRedirects {
			return response, nil
		}
		address, call.Target = location.Host, location.RequestURI()
	}
}

// redirectLocation returns where a response redirects its call to, nil if it doesn't.
func redirectLocation(response *http1.Response) *url.URL {
	if response.Status != http1.StatusTemporaryRedirect {
		return nil
	}
	location, err := url.Parse(response.Header.Get("Location"))
	if err != nil || location.Host == "" {
		return nil
	}
	return location
}

// doOnce makes a call without following redirections.
func doOnce(ctx context.Context, dial DialFunc, address string, call Call) (*http1.Response, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(expiredDeadline) })
	defer stop()
	response, err := exchange(conn, address, call)
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return response, err
}

// exchange sends a call over a connection and reads the response.
func exchange(conn net.Conn, address string, call Call) (*http1.Response, error) {
	request := http1.Request{Method: call.Method, Target: call.Target, Body: call.Body, Close: true}
	request.Header = append(http1.Header{{Name: "Host", Value: address}}, call.Header...)
	out := bufio.NewWriter(conn)
	if err := request.Write(out); err != nil {
		return nil, err
	}
	if err := out.Flush(); err != nil {
		return nil, err
	}
	response, body, err := http1.ReadResponseHead(bufio.NewReader(conn), call.Method)
	if err != nil {
		return nil, err
	}
	response.Body, err = io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err == nil && !body.Complete() {
		err = fmt.Errorf("the answer has more than %d bytes", maxResponseBytes)
	}
	return response, err
}
