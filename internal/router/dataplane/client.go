package dataplane

import (
	"errors"
	"runtime/debug"
	"sync"
	"time"

	"cresshub/internal/invariant"
)

// client is a client's connection. One goroutine serves it, to which all fields belong but those that mu
// guards.
type client struct {
	proxy  *Proxy
	socket *socket

	// Of the connection.
	hadRequest bool // it has carried a request
	mustLinger bool // the response to a request that was not read completely has been sent
	truncated  bool // the last response is incomplete, so that nothing may look like its end

	// Of the present request.
	reservedBytes int // that its body and its buffered response take of the budget
	responses     int // that have begun

	mu        sync.Mutex // guards what closeIfIdle and abortRequest read
	idle      bool       // no byte of a request has arrived
	roundTrip *roundTrip // in flight; nil between requests
}

// run serves the connection until it ends, and closes it.
func (c *client) run() {
	defer c.proxy.removeClient(c)
	defer c.socket.Close()
	defer c.recoverPanic()
	for c.awaitRequest() && c.serveRequest() {
		c.socket.returnEmptyBuffers()
	}
	if c.needsLinger() {
		c.linger()
	}
	c.socket.returnBuffers()
}

// recoverPanic confines a panic to the connection whose request caused it. A violated invariant panics in
// tests only, where it has to end the test.
func (c *client) recoverPanic() {
	if cause := recover(); cause != nil {
		if violation, ok := cause.(*invariant.ViolationError); ok {
			panic(violation)
		}
		c.proxy.log.Error().Interface("panic", cause).Bytes("stack", debug.Stack()).
			Msg("front: panic while serving a client, connection closed")
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection has ended.
func (c *client) awaitRequest() bool {
	if c.socket.hasBufferedInput() {
		return true
	}
	c.beginIdle()
	state := c.socket.awaitReadable()
	c.endIdle()
	if state == notReadable { // this goroutine may have been scheduled after both the bytes and the deadline
		state = c.socket.readState()
	}
	return state == readable
}

// beginIdle sets how long the client may take to send its next request, and lets closeIfIdle end that time.
func (c *client) beginIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	deadline := time.Now().Add(c.proxy.limits().IdleTimeout)
	if c.proxy.draining.Load() {
		deadline = c.proxy.idleDeadline(c.hadRequest)
	}
	c.socket.SetReadDeadline(deadline)
}

func (c *client) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.socket.SetReadDeadline(time.Time{})
}

// closeIfIdle ends the connection if no byte of a request has arrived. Any goroutine may call it.
func (c *client) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.socket.InterruptRead()
	}
}

// abortRequest aborts the calls of the request in flight; the client gets a response. Any goroutine may call
// it.
func (c *client) abortRequest() {
	c.mu.Lock()
	rt := c.roundTrip
	c.mu.Unlock()
	if rt != nil {
		rt.stop(proxyStopping)
	}
}

// serveRequest reads one request and answers it. It reports whether the connection goes on.
func (c *client) serveRequest() bool {
	defer c.releaseBody()
	c.responses = 0
	request, err := c.readRequest()
	var reply *localReplyError
	if errors.As(err, &reply) {
		c.proxy.counters.malformed.Add(1)
		c.sendLocalReply(nil, reply)
		return false
	}
	if err != nil {
		return false
	}
	c.hadRequest = true
	c.proxy.counters.requests.Add(1)
	c.socket.returnEmptyBuffers()
	return c.answer(request)
}

// releaseBody returns what the request took of the budget of bodies.
func (c *client) releaseBody() {
	c.proxy.bodies.Release(c.reservedBytes)
	c.reservedBytes = 0
	used := c.proxy.bodies.Used()
	invariant.Assert(used >= 0, invariant.CountsNotNegative, "bodies take %d bytes", used)
}

// answer answers a request that was read completely. It reports whether the connection goes on.
func (c *client) answer(req *request) bool {
	c.socket.SetWriteDeadline(req.writeDeadline())
	switch {
	case c.proxy.rejectsInDrain():
		return c.sendLocalReply(req, errShuttingDown)
	case req.config == nil:
		return c.sendLocalReply(req, errNoConfig)
	case req.route == nil:
		return c.sendLocalReply(req, errNoRoute)
	}
	rt := newRoundTrip(c, req)
	c.setRoundTrip(rt)
	defer c.setRoundTrip(nil)
	watcher := watchDisconnect(c.socket, func() { rt.stop(clientDisconnected) })
	defer watcher.stop()
	rt.run()
	return rt.keepAlive
}

// setRoundTrip sets what abortRequest stops.
func (c *client) setRoundTrip(rt *roundTrip) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roundTrip = rt
}
