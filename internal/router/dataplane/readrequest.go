package dataplane

import (
	"errors"
	"io"
	"os"
	"time"

	"cresshub/internal/http1"
)

// initialBodyBuffer is what is reserved at first for a body of unknown length, in bytes.
const initialBodyBuffer = 4 << 10

// singleFields are the fields that a request may hold only once: two sides might each use another one.
var singleFields = []string{"Host", tryIDHeader, lastEventHeader}

// readRequest reads one request with its body, which is reserved from the budget. The error is a
// *localReplyError where the client is to get a response, and anything else where the connection is over.
func (c *client) readRequest() (*request, error) {
	arrived := time.Now()
	limits := c.proxy.limits()
	c.socket.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	head, body, err := http1.ReadRequestHeadWithin(c.socket.reader(), limits.MaxHeaderBytes)
	if err != nil {
		return nil, c.readError(err)
	}
	if head.Header.Repeated(singleFields...) != "" {
		return nil, errDuplicateField
	}
	request := newRequest(head, arrived, c.proxy.state.Config())
	if err := c.sendContinue(head); err != nil {
		return nil, err
	}
	if err := c.readBody(request, body, limits.MaxBodyBytes, limits.IdleTimeout); err != nil {
		return nil, c.readError(err)
	}
	return request, nil
}

// readError turns an error of reading a request into the local reply to it, if there is one.
func (c *client) readError(err error) error {
	var malformed *http1.MalformedError
	var reply *localReplyError
	switch {
	case errors.As(err, &reply):
		return reply
	case errors.As(err, &malformed):
		return &localReplyError{status: malformed.Status, reason: "malformed", closeConnection: true,
			remedy: malformed.Reason}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errTooSlow
	}
	return err
}

func (c *client) sendContinue(head *http1.Request) error {
	if !head.ExpectsContinue {
		return nil
	}
	c.socket.SetWriteDeadline(time.Now().Add(localReplyWriteTime))
	out := c.socket.writer()
	http1.WriteContinue(out)
	return out.Flush()
}

// readBody buffers the complete body, so that it can be sent more than once.
func (c *client) readBody(req *request, body *http1.Body, maxBytes int, stallTimeout time.Duration) error {
	if body.Length() > int64(maxBytes) {
		return errTooLarge
	}
	if body.Complete() {
		return nil
	}
	initialSize := initialBodyBuffer
	if body.Length() > 0 {
		initialSize = int(body.Length())
	}
	n := 0
	for {
		if n == len(req.Body) {
			if n == maxBytes+1 {
				return errTooLarge
			}
			if err := c.growBody(req, min(max(initialSize, 2*n), maxBytes+1)); err != nil {
				return err
			}
		}
		deadline := time.Now().Add(stallTimeout)
		if req.deadline.Before(deadline) {
			deadline = req.deadline
		}
		c.socket.SetReadDeadline(deadline)
		count, err := body.Read(req.Body[n:])
		n += count
		if body.Complete() {
			req.Body = req.Body[:n]
			return checkBodySize(n, maxBytes)
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

func checkBodySize(n, maxBytes int) error {
	if n > maxBytes {
		return errTooLarge
	}
	return nil
}

// growBody enlarges the buffer of a body to size bytes.
func (c *client) growBody(req *request, size int) error {
	if !c.proxy.bodies.Reserve(size - len(req.Body)) {
		return errNoMemory
	}
	c.reservedBytes += size - len(req.Body)
	larger := make([]byte, size)
	copy(larger, req.Body)
	req.Body = larger
	return nil
}
