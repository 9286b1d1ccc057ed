package dataplane

import (
	"errors"
	"io"
	"os"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/stallclock"
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
	c.socket.SetRead(stallclock.Deadline{From: arrived, At: arrived.Add(limits.HeaderTimeout)})
	head, body, err := http1.ReadRequestHeadWithin(c.socket.reader(), limits.MaxHeaderBytes)
	if err != nil {
		return nil, c.readError(err)
	}
	if head.Header.Repeated(singleFields...) != "" {
		return nil, errDuplicateField
	}
	req := newRequest(head, arrived, c.proxy.state.Config())
	if err := c.sendContinue(head); err != nil {
		return nil, err
	}
	if err := c.readBody(req, body, limits); err != nil {
		return nil, c.readError(err)
	}
	return req, nil
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

// sendContinue sends 100 Continue if the client waits for it.
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
func (c *client) readBody(req *request, body *http1.Body, limits fleetconfig.Limits) error {
	if body.Length() > int64(limits.MaxBodyBytes) {
		return errTooLarge
	}
	length := 0
	for !body.Complete() {
		if length == len(req.Body) {
			if err := c.growBody(req, body, limits.MaxBodyBytes); err != nil {
				return err
			}
		}
		c.socket.SetReadDeadline(earlier(req.deadline, time.Now().Add(limits.IdleTimeout)))
		n, err := body.Read(req.Body[length:])
		length += n
		if err != nil && !body.Complete() {
			return unexpectedEnd(err)
		}
	}
	req.Body = req.Body[:length]
	return checkBodySize(length, limits.MaxBodyBytes)
}

// unexpectedEnd is the error of reading a body that is incomplete.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growBody enlarges the full buffer of a body, to one byte more than is allowed at most: a body that takes
// that byte is too large.
func (c *client) growBody(req *request, body *http1.Body, maxBytes int) error {
	buffered := len(req.Body)
	if buffered == maxBytes+1 {
		return errTooLarge
	}
	size := initialBodyBuffer
	if body.Length() > 0 {
		size = int(body.Length())
	}
	size = min(max(size, 2*buffered), maxBytes+1)
	if !c.proxy.bodies.Reserve(size - buffered) {
		return errNoMemory
	}
	c.reservedBytes += size - buffered
	larger := make([]byte, size)
	copy(larger, req.Body)
	req.Body = larger
	return nil
}

func checkBodySize(length, maxBytes int) error {
	if length > maxBytes {
		return errTooLarge
	}
	return nil
}
