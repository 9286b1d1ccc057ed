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

// mostAnswer bounds the body of an answer, in bytes; a configuration may be that large.
const mostAnswer = 8 << 20

// mostRedirects is how many times a call follows a 307.
const mostRedirects = 2

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Call is one call.
type Call struct {
	Method string
	Target string // path and query
	Header http1.Header
	Body   []byte
}

// Failed says that a call got no answer.
type Failed struct {
	Address string
	Cause   error
}

func (e *Failed) Error() string {
	return fmt.Sprintf("no answer from %s: %v; check the address, or call another process", e.Address, e.Cause)
}

func (e *Failed) Unwrap() error { return e.Cause }

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// dialHost opens connections over the network of the machine.
func dialHost(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", address)
}

// Do makes a call to an address and returns the answer whole, after at most two redirections by 307. The
// error is *Failed.
func Do(ctx context.Context, address string, call Call) (*http1.Response, error) {
	return DoOver(ctx, dialHost, address, call)
}

// DoOver is Do over connections that another dialer opens.
func DoOver(ctx context.Context, dial Dialer, address string, call Call) (*http1.Response, error) {
	for redirects := 0; ; redirects++ {
		answer, err := once(ctx, dial, address, call)
		if err != nil {
			return nil, &Failed{address, err}
		}
		if answer.Status != 307 || redirects == mostRedirects {
			return answer, nil
		}
		location, err := url.Parse(answer.Header.Get("Location"))
		if err != nil || location.Host == "" {
			return answer, nil
		}
		address, call.Target = location.Host, location.RequestURI()
	}
}

func once(ctx context.Context, dial Dialer, address string, call Call) (*http1.Response, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stopWatching := context.AfterFunc(ctx, func() { conn.SetDeadline(longAgo) })
	defer stopWatching()
	answer, err := exchange(conn, address, call)
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return answer, err
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
	answer, body, err := http1.ReadResponseHead(bufio.NewReader(conn), call.Method)
	if err != nil {
		return nil, err
	}
	answer.Body, err = io.ReadAll(io.LimitReader(body, mostAnswer))
	if err == nil && !body.Whole() {
		err = fmt.Errorf("the answer has more than %d bytes", mostAnswer)
	}
	return answer, err
}
