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

// initialBodyBuffer is the initial buffer size for a body of unknown length, in bytes.
const initialBodyBuffer = 4 << 10

// singletonFields are the fields that a request may contain only once: if there were two, the proxy and
// the server might each use a different one.
var singletonFields = []string{"Host", tryIDHeader, lastEventHeader}

// readRequest reads one request with its body, whose memory is reserved from the body budget. The error is a
// *localReplyError if the client is to get a response; after any other error the connection is closed without
// one.
func (c *client) readRequest() (*request, error) {
	arrived := time.Now()
	limits := c.proxy.limits()
	c.socket.SetRead(stallclock.Deadline{From: arrived, At: arrived.Add(limits.HeaderTimeout)})
	head, body, err := http1.ReadRequestHeadWithin(c.socket.reader(), limits.MaxHeaderBytes)
	if err != nil {
		return nil, c.readError(err)
	}
	if head.Header.Repeated(singletonFields...) != "" {
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

// readError returns the local reply to a request that could not be read because of err, or err itself if
// there is none.
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
		return errRequestTimeout
	}
	return err
}

// sendContinue sends 100 Continue if the client expects it.
func (c *client) sendContinue(head *http1.Request) error {
	if !head.ExpectsContinue {
		return nil
	}
	c.socket.SetWriteDeadline(time.Now().Add(localReplyWriteTime))
	out := c.socket.writer()
	http1.WriteContinue(out)
	return out.Flush()
}

// readBody buffers the complete body, so that it can be sent again in a retry.
func (c *client) readBody(req *request, body *http1.Body, limits fleetconfig.Limits) error {
	if body.Length() > int64(limits.MaxBodyBytes) {
		return errBodyTooLarge
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
			return asUnexpectedEOF(err)
		}
	}
	req.Body = req.Body[:length]
	return checkBodySize(length, limits.MaxBodyBytes)
}

// asUnexpectedEOF returns the error of reading an incomplete body: io.ErrUnexpectedEOF in place of io.EOF.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growBody enlarges the full buffer of a body, to at most one byte more than the limit: a body that fills
// this byte is too large.
func (c *client) growBody(req *request, body *http1.Body, maxBytes int) error {
	buffered := len(req.Body)
	if buffered == maxBytes+1 {
		return errBodyTooLarge
	}
	size := initialBodyBuffer
	if body.Length() > 0 {
		size = int(body.Length())
	}
	size = min(max(size, 2*buffered), maxBytes+1)
	if !c.proxy.bodies.Reserve(size - buffered) {
		return errBodyMemoryExhausted
	}
	c.reservedBytes += size - buffered
	larger := make([]byte, size)
	copy(larger, req.Body)
	req.Body = larger
	return nil
}

func checkBodySize(length, maxBytes int) error {
	if length > maxBytes {
		return errBodyTooLarge
	}
	return nil
}
