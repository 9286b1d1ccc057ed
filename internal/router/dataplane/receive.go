package dataplane

import (
	"errors"
	"io"
	"time"

	"cresshub/internal/http1"
)

const (
	// earlyResponseTime is how long a server that does not read all of a request may take to say why.
	earlyResponseTime = 200 * time.Millisecond
	// maxSurplusResponses is how many responses to other requests are skipped on one connection.
	maxSurplusResponses = 2
)

// serverResponse is a server's response as it arrives: its head has, its body is still to be read.
type serverResponse struct {
	head *http1.Response
	body *http1.Body
}

// endsWithConnection reports whether only the end of the connection ends the body. An orderly end completes
// it, a reset does not.
func (r serverResponse) endsWithConnection() bool {
	return r.body.Length() < 0 && r.head.Header.Get("Transfer-Encoding") == ""
}

// awaitResponse waits for the first byte of the response without buffers. An error that ends the wait is
// returned again by the next read. From then on extendReadDeadline decides whether reads go on after their
// deadline.
func (c *call) awaitResponse() {
	c.conn.returnEmptyBuffers()
	for c.conn.awaitReadable() == notReadable && c.extendReadDeadline() {
		continue
	}
	c.conn.extender = c
}

// readHead reads the head of the response to this request. Responses to others may stand before it.
func (c *call) readHead() (serverResponse, *callFailure) {
	rt := c.roundTrip
	for range maxSurplusResponses + 1 {
		head, body, err := http1.ReadResponseHead(c.conn.reader(), rt.request.Method)
		if err != nil {
			return serverResponse{}, c.failureFrom(err)
		}
		if head.Header.Get(tryIDHeader) == rt.request.tryID {
			c.recordHead(head)
			return serverResponse{head, body}, nil
		}
		rt.proxy.counters.surplus.Add(1)
		c.outOfSync = true
		if _, err := io.CopyN(io.Discard, body, maxBufferedResponse); !errors.Is(err, io.EOF) || head.Close {
			break
		}
	}
	return serverResponse{}, c.brokenFailure()
}

// recordHead records what the head of a response says of its server and connection.
func (c *call) recordHead(head *http1.Response) {
	c.responseStarted = true
	c.timeToHead = time.Since(c.started)
	if load, ok := parseLoad(head.Header.Get(loadHeader)); ok {
		c.roundTrip.proxy.chooser.observeLoad(c.choice.Server.ID, load)
	}
	if !c.outOfSync && !c.bodyLeftUnread(head) {
		c.keepAliveTime = keepAliveTime(head)
	}
}

// recordBodyEnd records that the response was read to its end, so that the connection may carry another
// request.
func (c *call) recordBodyEnd() {
	c.mustClose = c.conn.hasBufferedInput() || c.keepAliveTime <= 0
}
