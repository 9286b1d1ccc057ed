package dataplane

import (
	"strconv"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
)

const (
	// localReplyWriteTime is how long a client may take to read a response that belongs to no request.
	localReplyWriteTime = time.Second
	// writeGrace is how long it may take beyond its request's deadline: the operators require that nothing is
	// left open a quarter of a second past the route's timeout.
	writeGrace = 200 * time.Millisecond
	// minWriteTime is how long it may take in any case, as this process may be late itself: not scheduled,
	// or frozen.
	minWriteTime = 50 * time.Millisecond
)

// recordResponse records that a response to the present request begins.
func (c *client) recordResponse() {
	c.responses++
	invariant.Assert(c.responses <= 1, invariant.OneFinalAnswer, "a request got %d responses", c.responses)
}

// setWriteDeadline sets how long the client may take to read a response that is written at once; req is nil
// if no request could be read. The deadline is never in the past, so that a late response can still be sent.
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

// closesAfter reports whether the connection ends with the response to a request.
func (c *client) closesAfter(req *request) bool {
	return c.proxy.draining.Load() || req == nil || req.Close
}

// addKeepAlive announces to the client how long its connection stays open, one second less than it does.
func (c *client) addKeepAlive(response *http1.Response) {
	keepAliveSeconds := int(c.proxy.limits().IdleTimeout/time.Second) - 1
	if response.Close || keepAliveSeconds <= 0 {
		return
	}
	field := http1.Field{Name: "Keep-Alive", Value: "timeout=" + strconv.Itoa(keepAliveSeconds)}
	response.Header = append(response.Header, field)
}
