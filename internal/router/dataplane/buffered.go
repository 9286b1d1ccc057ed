package dataplane

import (
	"errors"
	"io"
	"time"

	"cresshub/internal/http1"
)

// maxBufferedResponse is how much of a response is buffered, in bytes; a larger one is forwarded as it comes.
const maxBufferedResponse = 64 << 10

// bufferedResponse is a server's response, or the beginning of one, in memory.
type bufferedResponse struct {
	head *http1.Response
	body []byte
}

// bufferResponse reads a response into memory. If it is too large for that, or no memory is left, it
// returns the beginning; body.Complete reports which.
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

// growBuffer enlarges the buffer of a response, whose length is -1 if it is not known. The buffer is
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
