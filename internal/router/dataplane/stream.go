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

// eventStreamType is the Content-Type of a stream of events.
const eventStreamType = "text/event-stream"

// streamBuffers holds the *[bufferSize]byte buffers into which streams are read.
var streamBuffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// isStream reports whether a response is a stream of events. Without a Content-Type, a response with a
// Transfer-Encoding counts as one on a route for streams.
func (r *relay) isStream(head *http1.Response) bool {
	mediaType, _, _ := strings.Cut(head.Header.Get("Content-Type"), ";")
	if mediaType == "" {
		return r.request.route.Kind == fleetconfig.Stream && head.Header.Get("Transfer-Encoding") != ""
	}
	return strings.EqualFold(strings.TrimSpace(mediaType), eventStreamType)
}

// forwardStream forwards events as they arrive, only complete ones. If the stream ends early, the client has
// its first events without a gap.
func (r *relay) forwardStream(call *call, response serverResponse) *callFailure {
	r.beginStream(call)
	body := response.body
	buffer := streamBuffers.Get().(*[bufferSize]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		r.events.feed(buffer[:n])
		if failure := r.forwardEvents(call, response.head); failure != nil {
			return failure
		}
		if body.Complete() {
			return r.endStream(call, response)
		}
		eventTooLarge := len(r.events.partial()) > maxEventBytes
		if err == nil && body.Buffered() && !eventTooLarge {
			continue // one flush for everything that has arrived
		}
		if r.flush() != nil {
			return r.clientFailure(call)
		}
		switch {
		case err != nil:
			return call.failureFrom(err)
		case eventTooLarge:
			return call.brokenFailure()
		}
		call.setReadDeadline(time.Now(), r.gapDeadline(call), r.request.hardDeadline)
	}
}

// beginStream prepares for the events of a server, which resumes the stream if a part of it was forwarded.
func (r *relay) beginStream(call *call) {
	r.events.reset()
	if r.started {
		r.order.resumed = true
		r.replaceable = call.roundTrip.couldRetry()
		r.client.proxy.counters.resumed.Add(1)
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

// forwardEvent writes an event unless the client has it already. The call fails if events before it are
// missing.
func (r *relay) forwardEvent(call *call, head *http1.Response, event []byte) *callFailure {
	switch r.decide(event) {
	case actionSkip:
		return nil
	case actionGap:
		return call.brokenFailure()
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

// decide returns how an event is handled. An event without an id is forwarded.
func (r *relay) decide(event []byte) eventAction {
	id, ok := eventID(event)
	if !ok {
		r.hasDataWithoutID = r.hasDataWithoutID || hasData(event)
		return actionForward
	}
	return r.order.decide(id)
}

// checkIDsRise asserts that after a resumption the ids of forwarded events keep increasing.
func (r *relay) checkIDsRise(event []byte) {
	id, ok := eventID(event)
	if !ok {
		return
	}
	invariant.Assert(!r.order.resumed || id > r.lastForwarded, invariant.StreamIDsRise,
		"event %d follows event %d", id, r.lastForwarded)
	r.lastForwarded = id
}

// startResponse writes the head of the response, before the first event, unless that was done already.
func (r *relay) startResponse(call *call, head *http1.Response) error {
	if r.started {
		return nil
	}
	call.timeToFirstEvent = time.Since(call.sendStarted)
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

// endStream ends the response after the server has ended its own.
func (r *relay) endStream(call *call, response serverResponse) *callFailure {
	call.recordBodyEnd()
	if partial := r.events.partial(); len(partial) > 0 {
		if response.endsWithConnection() { // an incomplete event shows that the server broke off the stream
			return call.brokenFailure()
		}
		if failure := r.forwardEvent(call, response.head, partial); failure != nil {
			return failure
		}
	}
	if r.startResponse(call, response.head) != nil {
		return r.clientFailure(call)
	}
	r.recordComplete(r.closeBody(r.out) && r.keepAlive)
	return nil
}

// flush sends the client what has been written.
func (r *relay) flush() error {
	if !r.started {
		return nil
	}
	return r.client.socket.writer().Flush()
}

// clientFailure stops the round trip because writing to the client failed, and returns the call's failure.
func (r *relay) clientFailure(call *call) *callFailure {
	call.roundTrip.stop(clientDisconnected)
	return &callFailure{outcome: scheduler.Abandoned, execution: mayHaveRun}
}
