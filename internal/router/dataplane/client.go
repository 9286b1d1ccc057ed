package dataplane

import (
	"errors"
	"io"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
)

const (
	// lingerTime and lingerBytes bound what is read of a client after the response to a request that was
	// not read completely: closing at once would reset the connection, and the response with it.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
	// localReplyWriteTime is how long a client may take to read a response that belongs to no request.
	localReplyWriteTime = time.Second
	// writeGrace is how long it may take beyond its request's deadline: the operators require that nothing is
	// left open a quarter of a second past the route's timeout.
	writeGrace = 200 * time.Millisecond
	// minWriteTime is how long it may take in any case, as this process may be late itself: not scheduled,
	// or frozen.
	minWriteTime = 50 * time.Millisecond
)

// client is a client's connection. One goroutine serves it.
type client struct {
	proxy         *Proxy
	socket        *socket
	reservedBytes int // of the present body, taken from the budget

	responses  int  // to the present request
	mustLinger bool // the response to a request that was not read completely has been sent
	truncated  bool // the last response is incomplete, so that nothing may look like its end
	hadRequest bool // the connection has carried a request

	mu        sync.Mutex
	idle      bool
	roundTrip *roundTrip // in flight, for Wait; nil between requests
}

func (c *client) run() {
	defer c.proxy.removeClient(c)
	defer c.socket.Close()
	defer c.recoverPanic()
	for c.awaitRequest() && c.serveRequest() {
		c.socket.returnEmptyBuffers()
	}
	if !c.truncated && (c.mustLinger || c.socket.hasBufferedInput() || c.socket.readState() == readable) {
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
	c.mu.Lock()
	c.idle = true
	deadline := time.Now().Add(c.proxy.limits().IdleTimeout)
	if c.proxy.draining.Load() {
		deadline = c.proxy.idleDeadline(c.hadRequest)
	}
	c.socket.SetReadDeadline(deadline)
	c.mu.Unlock()
	state := c.socket.awaitReadable()
	c.mu.Lock()
	c.idle = false
	c.socket.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	if state == notReadable { // this goroutine may have been scheduled after both the bytes and the deadline
		state = c.socket.readState()
	}
	return state == readable
}

// closeIfIdle ends the connection if no byte of a request has arrived.
func (c *client) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.socket.SetReadDeadline(pastDeadline)
	}
}

// abortRequest aborts the calls of the request in flight; the client gets a response.
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

func (c *client) releaseBody() {
	c.proxy.bodies.Release(c.reservedBytes)
	c.reservedBytes = 0
	used := c.proxy.bodies.Used()
	invariant.Assert(used >= 0, invariant.CountsNotNegative, "bodies take %d bytes", used)
}

// recordResponse records that a response to the present request begins.
func (c *client) recordResponse() {
	c.responses++
	invariant.Assert(c.responses <= 1, invariant.OneFinalAnswer, "a request got %d responses", c.responses)
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

func (c *client) setRoundTrip(rt *roundTrip) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roundTrip = rt
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

// linger ends the sending and reads what the client still sends, for a bounded time.
func (c *client) linger() {
	half, ok := c.socket.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.socket.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.socket.reader(), lingerBytes) // the connection is over however it ends
}
