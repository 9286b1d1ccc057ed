package dataplane

import (
	"strings"
	"sync"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/scheduler"
)

var streamBuffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// isStream reports whether a response is a stream of events.
func (r *relay) isStream(head *http1.Response) bool {
	kind, _, _ := strings.Cut(head.Header.Get("Content-Type"), ";")
	if kind == "" {
		return r.request.route.Kind == fleetconfig.Stream && head.Header.Get("Transfer-Encoding") != ""
	}
	return strings.EqualFold(strings.TrimSpace(kind), eventStreamType)
}

// forwardStream forwards events as they arrive, each one complete. If it ends early the events that the
// client has are the first ones of the stream, without a gap.
func (r *relay) forwardStream(call *call, head *http1.Response, body *http1.Body) *callFailure {
	r.events.reset()
	if r.started {
		r.order.resumed = true
		r.replaceable = call.roundTrip.couldRetry()
		r.client.proxy.counters.resumed.Add(1)
	}
	buffer := streamBuffers.Get().(*[bufferSize]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		r.events.feed(buffer[:n])
		if failure := r.forwardEvents(call, head); failure != nil {
			return failure
		}
		if body.Complete() {
			return r.endStream(call, head, body)
		}
		if err == nil && body.Buffered() && len(r.events.partial()) <= maxEventBytes {
			continue
		}
		if r.flush() != nil {
			return r.clientFailure(call)
		}
		switch {
		case err != nil:
			return call.failureFrom(err)
		case len(r.events.partial()) > maxEventBytes:
			return call.brokenFailure()
		}
		call.conn.SetReadDeadline(r.gapDeadline(call))
	}
}

// forwardEvents writes the events that are complete.
func (r *relay) forwardEvents(call *call, head *http1.Response) *callFailure {
	for event := r.events.next(); event != nil; event = r.events.next() {
		if failure := r.forwardEvent(call, head, event); failure != nil {
			return failure
		}
	}
	return nil
}

func (r *relay) forwardEvent(call *call, head *http1.Response, event []byte) *callFailure {
	if id, ok := eventID(event); !ok {
		r.hasUnnumbered = r.hasUnnumbered || hasData(event)
	} else {
		switch r.order.decide(id) {
		case actionSkip:
			return nil
		case actionGap:
			return call.brokenFailure()
		}
	}
	if r.startResponse(call, head) != nil {
		return r.clientFailure(call)
	}
	r.checkIDsRise(event)
	if _, err := r.out.Write(event); err != nil {
		return r.clientFailure(call)
	}
	return nil
}

// checkIDsRise checks that the events of a server that resumed the stream follow those that the client has.
func (r *relay) checkIDsRise(event []byte) {
	id, ok := eventID(event)
	if !ok {
		return
	}
	invariant.Assert(!r.order.resumed || id > r.lastForwarded, invariant.StreamIDsRise,
		"event %d follows event %d", id, r.lastForwarded)
	r.lastForwarded = id
}

// startResponse sends the head with the first event of the first server.
func (r *relay) startResponse(call *call, head *http1.Response) error {
	if r.started {
		return nil
	}
	call.timeToFirstEvent = time.Since(call.started)
	call.roundTrip.proxy.chooser.firstEvent(call.choice)
	r.replaceable = call.roundTrip.couldRetry()
	response := r.clientHead(head)
	response.Streaming, response.Length = true, -1
	var err error
	r.started = true
	r.client.recordResponse()
	r.out, err = response.Begin(r.client.socket.writer(), r.request.HTTP10)
	r.keepAlive = !response.Close
	return err
}

// endStream ends the response, as its server did.
func (r *relay) endStream(call *call, head *http1.Response, body *http1.Body) *callFailure {
	call.recordBodyEnd()
	if partial := r.events.partial(); len(partial) > 0 {
		if endsWithConnection(head, body) { // an incomplete event shows that its server broke off
			return call.brokenFailure()
		}
		if failure := r.forwardEvent(call, head, partial); failure != nil {
			return failure
		}
	}
	if r.startResponse(call, head) != nil {
		return r.clientFailure(call)
	}
	r.recordComplete(r.closeBody(r.out) && r.keepAlive)
	return nil
}

func (r *relay) flush() error {
	if !r.started {
		return nil
	}
	return r.client.socket.writer().Flush()
}

// clientFailure says that the client did not read the response.
func (r *relay) clientFailure(call *call) *callFailure {
	call.roundTrip.stop(clientDisconnected)
	return &callFailure{outcome: scheduler.Abandoned, execution: mayHaveRun}
}

// gapDeadline is when a stream counts as broken if its server sends nothing more.
func (r *relay) gapDeadline(call *call) time.Time {
	rt := call.roundTrip
	if !r.started {
		return call.firstByteDeadline()
	}
	if !r.replaceable || !r.canSwitchServer() { // a pause alone ends nothing
		return rt.request.hardDeadline
	}
	return earlier(rt.request.hardDeadline, time.Now().Add(streamTimeout(rt.request.route.GapTarget)))
}
