package dataplane

import (
	"errors"
	"io"
	"time"

	"cresshub/internal/http1"
)

const (
	// earlyResponseTimeout is how long a server that does not read all of a request may take to respond.
	earlyResponseTimeout = 200 * time.Millisecond
	// maxSurplusResponses is how many responses to other requests are skipped before the one to this request.
	maxSurplusResponses = 2
)

// serverResponse is a server's response whose head has been read, and whose body is still to be read.
type serverResponse struct {
	head *http1.Response
	body *http1.Body
}

// endsWithConnection reports whether the body is delimited only by the end of the connection. An orderly end
// completes the body, a reset does not.
func (r serverResponse) endsWithConnection() bool {
	return r.body.Length() < 0 && r.head.Header.Get("Transfer-Encoding") == ""
}

// awaitResponse waits for the first byte of the response, and meanwhile keeps no empty buffers. It ignores
// errors, because the next read returns them again. From then on extendReadDeadline decides whether reads
// continue after their deadline.
func (c *call) awaitResponse() {
	c.conn.returnEmptyBuffers()
	for c.conn.awaitReadable() == notReadable && c.extendReadDeadline() {
		continue
	}
	c.conn.extender = c
}

// readHead reads the head of the response to this request. It skips up to maxSurplusResponses responses to
// other requests before it.
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
		if _, err := io.CopyN(io.Discard, body, maxBufferedBodyBytes); !errors.Is(err, io.EOF) || head.Close {
			break
		}
	}
	return serverResponse{}, c.brokenFailure()
}

// recordHead records what the head of a response states about the server's load and the connection.
func (c *call) recordHead(head *http1.Response) {
	c.headReceived = true
	c.timeToHead = time.Since(c.sendStarted)
	if load, ok := parseLoad(head.Header.Get(loadHeader)); ok {
		c.roundTrip.proxy.chooser.observeLoad(c.choice.Server.ID, load)
	}
	if !c.outOfSync && !c.bodyLeftUnread(head) {
		c.keepAliveTime = keepAliveTime(head)
	}
}

// recordBodyEnd records that the response was read to its end, so that the connection may be reused.
func (c *call) recordBodyEnd() {
	c.mustClose = c.conn.hasBufferedInput() || c.keepAliveTime <= 0
}
