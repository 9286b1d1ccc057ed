package dataplane

import (
	"strconv"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
)

const (
	// localReplyWriteTime is how long a client may take to read 100 Continue, or a response to a request that
	// could not be read.
	localReplyWriteTime = time.Second
	// writeGrace is how long after its request's deadline a client may still read the response: operators
	// require that nothing is left open 250 ms past the route's timeout.
	writeGrace = 200 * time.Millisecond
	// minWriteTime is the least time for writing a response, even past the deadline, because this process may
	// itself be late: it was not scheduled, or was frozen.
	minWriteTime = 50 * time.Millisecond
)

// recordResponse records that a response to the current request begins.
func (c *client) recordResponse() {
	c.responses++
	invariant.Assert(c.responses <= 1, invariant.OneFinalAnswer, "a request got %d responses", c.responses)
}

// setWriteDeadline sets the write deadline of a response that is written at once; req is nil if no request
// could be read. The deadline is at least minWriteTime ahead, so that a late response can still be sent.
func (c *client) setWriteDeadline(req *request) {
	now := time.Now()
	deadline := now.Add(localReplyWriteTime)
	if req != nil {
		deadline = req.writeDeadline()
	}
	if earliest := now.Add(minWriteTime); deadline.Before(earliest) {
		deadline = earliest
	}
	c.socket.SetWriteDeadline(deadline)
}

// closesAfter reports whether the connection closes after the response to a request.
func (c *client) closesAfter(req *request) bool {
	return c.proxy.draining.Load() || req == nil || req.Close
}

// addKeepAlive announces in the Keep-Alive field how long the idle connection stays open. The announced time
// is one second shorter than the real one.
func (c *client) addKeepAlive(response *http1.Response) {
	keepAliveSeconds := int(c.proxy.limits().IdleTimeout/time.Second) - 1
	if response.Close || keepAliveSeconds <= 0 {
		return
	}
	field := http1.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.Itoa(keepAliveSeconds)}
	response.Header = append(response.Header, field)
}
