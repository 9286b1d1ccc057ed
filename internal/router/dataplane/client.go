package dataplane

import (
	"errors"
	"runtime/debug"
	"sync"
	"time"

	"cresshub/internal/invariant"
)

// client is a client's connection. One goroutine serves it and owns all fields except those that mu guards.
type client struct {
	proxy  *Proxy
	socket *socket

	// State of the connection.
	hadRequest bool // it has carried a request
	mustLinger bool // a response was sent to a request that was not read completely
	truncated  bool // the last response is incomplete, and the client must be able to tell

	// State of the current request.
	reservedBytes int // taken from the body budget for its body and its buffered response
	responses     int // responses to it that have begun

	mu        sync.Mutex // guards the fields below, which closeIfIdle and abortRequest read
	idle      bool       // the next request is awaited, and no byte of it has arrived
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

// recoverPanic confines a panic to the connection whose request caused it. A violated invariant, which panics
// only in tests, is not recovered, so that it fails the test.
func (c *client) recoverPanic() {
	if cause := recover(); cause != nil {
		if violation, ok := cause.(*invariant.ViolationError); ok {
			panic(violation)
		}
		c.proxy.log.Error().Interface("panic", cause).Bytes("stack", debug.Stack()).
			Msg("front: panic while serving a client, connection closed")
	}
}

// awaitRequest waits for the first byte of a request. It returns false if none arrives before the idle
// timeout or the end of the connection.
func (c *client) awaitRequest() bool {
	if c.socket.hasBufferedInput() {
		return true
	}
	c.beginIdle()
	state := c.socket.awaitReadable()
	c.endIdle()
	// If this goroutine was scheduled late, bytes may have arrived before the deadline passed.
	if state == notReadable {
		state = c.socket.readState()
	}
	return state == readable
}

// beginIdle sets the deadline for the first byte of the next request, and lets closeIfIdle end the wait.
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

// closeIfIdle ends the connection if it waits for a request of which no byte has arrived. It may be called
// from any goroutine.
func (c *client) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.socket.InterruptRead()
	}
}

// abortRequest aborts the calls of the request in flight; the client still gets a response. It may be called
// from any goroutine.
func (c *client) abortRequest() {
	c.mu.Lock()
	rt := c.roundTrip
	c.mu.Unlock()
	if rt != nil {
		rt.stop(proxyStopping)
	}
}

// serveRequest reads one request and answers it. It reports whether the connection stays open.
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

// releaseBody returns the bytes that the request has reserved to the body budget.
func (c *client) releaseBody() {
	c.proxy.bodies.Release(c.reservedBytes)
	c.reservedBytes = 0
	used := c.proxy.bodies.Used()
	invariant.Assert(used >= 0, invariant.CountsNotNegative, "bodies take %d bytes", used)
}

// answer answers a request that was read completely. It reports whether the connection stays open.
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

// setRoundTrip sets the round trip that abortRequest stops, nil for none.
func (c *client) setRoundTrip(rt *roundTrip) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roundTrip = rt
}
