// Package controlclient makes HTTP/1.1 calls with small bodies: to the control addresses of the fleet's
// processes, and to its servers. Each call opens a connection of its own.
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

// maxResponseBytes bounds the body of an answer, in bytes; a configuration may be that large.
const maxResponseBytes = 8 << 20

// maxRedirects is how many times a call follows a 307.
const maxRedirects = 2

// expiredDeadline is a deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// Call is one call.
type Call struct {
	Method string
	Target string // path and query
	Header http1.Header
	Body   []byte
}

// CallError says that a call got no answer.
type CallError struct {
	Address string
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("no answer from %s: %v; check the address, or call another process", e.Address, e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialHost opens connections over the network of the machine.
func dialHost(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}

// Do makes a call to an address and returns the answer whole, after at most two redirections by 307. The
// error is *Failed.
func Do(ctx context.Context, address string, call Call) (*http1.Response, error) {
	return DoWithDialer(ctx, dialHost, address, call)
}

// DoWithDialer is Do over connections that another dialer opens.
func DoWithDialer(ctx context.Context, dial DialFunc, address string, call Call) (*http1.Response, error) {
	for redirects := 0; ; redirects++ {
		response, err := doOnce(ctx, dial, address, call)
		if err != nil {
			return nil, &CallError{address, err}
		}
		if response.Status != 307 || redirects == maxRedirects {
			return response, nil
		}
		location, err := url.Parse(response.Header.Get("Location"))
		if err != nil || location.Host == "" {
			return response, nil
		}
		address, call.Target = location.Host, location.RequestURI()
	}
}

func doOnce(ctx context.Context, dial DialFunc, address string, call Call) (*http1.Response, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stopOnCancel := context.AfterFunc(ctx, func() { conn.SetDeadline(expiredDeadline) })
	defer stopOnCancel()
	response, err := exchange(conn, address, call)
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return response, err
}

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
