// Package controlclient makes HTTP/1.1 calls with small bodies to the control addresses of the fleet's
// processes, which package controlserver serves, and to its servers. Each call opens a connection of its own,
// so that calls are independent of each other and may be made from any goroutine.
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
	// maxResponseBytes bounds the body of a response. It is the maximum size of a configuration.
	maxResponseBytes = 8 << 20
	// maxRedirects is the number of redirects that a call follows, repeating its method and body each time.
	maxRedirects = 2
)

// expiredDeadline is a deadline in the past, which makes reads and writes fail at once.
var expiredDeadline = time.Unix(1, 0)

// Call describes a call to be made.
type Call struct {
	Method string
	Target string       // path and query
	Header http1.Header // in addition to Host
	Body   []byte
}

// CallError reports that a call received no complete response. The call may have been handled nevertheless.
type CallError struct {
	Address string // the address that was called last
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("call to %s failed: %v; check the address, or call another process", e.Address, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is a DialFunc that uses the host's network.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}

// Do makes a call to an address and returns the response with its complete body, whatever its status is. It
// follows up to maxRedirects redirects with status 307. Its error is a *CallError, which wraps ctx.Err() if
// the context has ended.
func Do(ctx context.Context, address string, call Call) (*http1.Response, error) {
	return DoWithDialer(ctx, dialTCP, address, call)
}

// DoWithDialer is like Do, but opens connections with the given DialFunc.
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

// redirectLocation returns the URL that a response redirects its call to, or nil if it is not a redirect with
// a host.
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

// doOnce makes a call without following redirects.
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
		err = fmt.Errorf("the response body exceeds %d bytes", maxResponseBytes)
	}
	return response, err
}
