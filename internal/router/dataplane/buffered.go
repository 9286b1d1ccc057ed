package dataplane

import (
	"errors"
	"io"
	"time"

	"cresshub/internal/http1"
)

// maxBufferedBodyBytes is the largest response body that is buffered; a larger one is forwarded as it
// arrives.
const maxBufferedBodyBytes = 64 << 10

// bufferedResponse is a server's response, or the first part of one, in memory.
type bufferedResponse struct {
	head *http1.Response
	body []byte
}

// bufferResponse reads a response into memory. If the body is larger than maxBufferedBodyBytes, or the memory
// budget for bodies is used up, it returns the first part of the response; response.body.Complete then
// reports false.
func (c *call) bufferResponse(response serverResponse) (*bufferedResponse, error) {
	body := response.body
	buffered := &bufferedResponse{head: response.head}
	c.setReadDeadline(time.Now(), c.bufferDeadline(), c.roundTrip.request.deadline)
	for !body.Complete() {
		if len(buffered.body) == cap(buffered.body) && !c.roundTrip.client.growBuffer(buffered, body.Length()) {
			return buffered, nil
		}
		n, err := body.Read(buffered.body[len(buffered.body):cap(buffered.body)])
		buffered.body = buffered.body[:len(buffered.body)+n]
		if err != nil && !errors.Is(err, io.EOF) {
			return buffered, err
		}
	}
	return buffered, nil
}

// growBuffer enlarges the buffer of a response and reports whether the limits permitted it. length is the
// length of the response's body, -1 if it is not known. The buffer is reserved from the memory budget as part
// of the client's request.
func (c *client) growBuffer(buffered *bufferedResponse, length int64) bool {
	size := max(2*cap(buffered.body), initialBodyBuffer)
	if length >= 0 {
		size = int(min(length, maxBufferedBodyBytes))
	}
	more := size - cap(buffered.body)
	if more <= 0 || size > maxBufferedBodyBytes || !c.proxy.bodies.Reserve(more) {
		return false
	}
	c.reservedBytes += more
	buffered.body = append(make([]byte, 0, size), buffered.body...)
	return true
}
