package dataplane

import (
	"io"

	"cresshub/internal/http1"
)

// maxBufferedResponse is how much of an answer is held until it is whole; a larger one is passed on as it
// comes.
const maxBufferedResponse = 64 << 10

// bufferedResponse is a server's answer that is held whole.
type bufferedResponse struct {
	head *http1.Response
	body []byte
}

func completeOnly(buffered *bufferedResponse, overflow bool) *bufferedResponse {
	if overflow {
		return nil
	}
	return buffered
}

// bufferResponse holds an answer until it is whole. Where it is too large for that, or no memory is left,
// rest is true and the body goes on.
func bufferResponse(c *call, head *http1.Response, body *http1.Body) (buffered *bufferedResponse,
	overflow bool, err error) {
	buffered = &bufferedResponse{head: head}
	c.conn.SetReadDeadline(c.bufferDeadline())
	for !body.Complete() {
		if len(buffered.body) == cap(buffered.body) && !c.roundTrip.client.growBuffer(buffered, body.Length()) {
			return buffered, true, nil
		}
		n, err := body.Read(buffered.body[len(buffered.body):cap(buffered.body)])
		buffered.body = buffered.body[:len(buffered.body)+n]
		if err != nil && err != io.EOF {
			return buffered, false, err
		}
	}
	return buffered, false, nil
}

// growBuffer makes room for more of an answer, length bytes long where that is known and else -1. The room is
// counted as the request's.
func (c *client) growBuffer(buffered *bufferedResponse, length int64) bool {
	size := max(2*cap(buffered.body), initialBodyBuffer)
	if length >= 0 {
		size = int(min(length, maxBufferedResponse))
	}
	more := size - cap(buffered.body)
	if more <= 0 || size > maxBufferedResponse || !c.proxy.bodies.Reserve(more) {
		return false
	}
	c.reservedBytes += more
	buffered.body = append(make([]byte, 0, size), buffered.body...)
	return true
}
