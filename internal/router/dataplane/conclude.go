package dataplane

import (
	"net"
	"time"

	"cresshub/internal/http1"
)

// Bounds of the Retry-After field of a local reply.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Second
)

// conclude ends the response to the client and records the outcome of the request. If no response has begun
// and the client is still connected, it forwards the last server error or sends a local reply.
func (rt *roundTrip) conclude() {
	counters := &rt.proxy.counters
	switch {
	case rt.relay.complete:
		rt.keepAlive = rt.relay.keepAlive
		rt.proxy.recordOutcome(rt, outcomeServed, 0)
	case rt.stopReason() == clientDisconnected:
		counters.clientsDisconnected.Add(1)
		rt.proxy.recordOutcome(rt, outcomeClientDisconnected, 0)
	case rt.relay.started:
		counters.truncated.Add(1) // the connection ends without the last chunk
		rt.proxy.recordOutcome(rt, outcomeTruncated, 0)
		rt.truncate()
	case rt.serverError != nil && rt.worstExecution == mayHaveRun:
		rt.proxy.recordOutcome(rt, outcomeServerFailure, rt.serverError.head.Status)
		rt.keepAlive = rt.relay.forwardBuffered(rt.serverError)
	default:
		reply := rt.finalReply()
		rt.trace.checkLocalReply(rt, reply.status)
		rt.proxy.recordOutcome(rt, outcomeOfStatus(reply.status), reply.status)
		rt.keepAlive = rt.client.sendLocalReply(rt.request, reply)
	}
}

// truncate makes sure that an incomplete response does not look complete. For an HTTP/1.0 client only the end
// of the connection marks the end of a streamed response, so the connection is reset.
func (rt *roundTrip) truncate() {
	rt.client.truncated = true
	if conn, ok := rt.client.socket.NetConn().(*net.TCPConn); ok && rt.request.HTTP10 {
		conn.SetLinger(0)
	}
}

// finalReply returns the local reply to a request for which no further attempt is made.
func (rt *roundTrip) finalReply() *localReplyError {
	late := rt.timeLeft() < minTimeLeft || rt.stopReason() == proxyStopping
	switch finalStatus(rt.worstExecution, late) {
	case http1.StatusServiceUnavailable:
		return &localReplyError{status: http1.StatusServiceUnavailable, retryAfter: rt.retryAfter(),
			remedy: "no server can take the request now, and it has not run; send it again after Retry-After"}
	case http1.StatusGatewayTimeout:
		return &localReplyError{status: http1.StatusGatewayTimeout,
			remedy: "no answer came in time, and the request may have run; look before sending it again"}
	}
	return &localReplyError{status: http1.StatusBadGateway,
		remedy: "the server broke off, and the request may have run; look before sending it again"}
}

// finalStatus returns the status of the local reply to a request for which no further attempt is made. 503
// guarantees that the request has not run and never will; 502 and 504 guarantee nothing.
func finalStatus(worst execution, late bool) int {
	switch {
	case worst != mayHaveRun:
		return http1.StatusServiceUnavailable
	case late:
		return http1.StatusGatewayTimeout
	}
	return http1.StatusBadGateway
}

// retryAfter returns the time after which a server is expected to have a free slot, within the bounds of
// Retry-After.
func (rt *roundTrip) retryAfter() time.Duration {
	delay := rt.proxy.chooser.queueDelay(&rt.request.scheduling)
	return min(max(delay.Wait, minRetryAfter), maxRetryAfter)
}
