package dataplane

import (
	"strconv"
	"strings"
	"time"

	"cresshub/internal/http1"
)

// relay forwards the responses of servers to the client: at most one head, and one body to which several
// servers may contribute. It belongs to the client's goroutine.
type relay struct {
	client  *client
	request *request

	// State of the response to the client.
	started   bool // the head has been sent
	complete  bool // the response has been sent completely
	keepAlive bool // the client's connection stays open after it

	// State of a stream.
	out              http1.BodyWriter // set when the stream has started
	events           eventSplitter    // of the current server
	order            eventOrder
	replaceable      bool  // a retry was permitted when the current server's stream began
	hasDataWithoutID bool  // data without an id was forwarded, so the point to resume from is unknown
	lastForwarded    int64 // id of the last event that was forwarded, or that the client already had
}

func newRelay(client *client, req *request) relay {
	relay := relay{client: client, request: req}
	relay.order.consecutive = req.service.Engine == nil || req.service.Engine.MaxTokensPerEvent <= 1
	if last, err := strconv.ParseInt(req.Header.Get(lastEventHeader), 10, 64); err == nil {
		relay.order.lastID, relay.order.lastIDKnown, relay.lastForwarded = last, true, last
	}
	return relay
}

// canSwitchServer reports whether another server may be called: for the complete response if none has begun,
// otherwise for the rest of a stream.
func (r *relay) canSwitchServer() bool {
	return !r.started || r.request.route.Resumable && r.order.lastIDKnown && !r.hasDataWithoutID
}

// setResumePoint sets Last-Event-Id so that the server sends only the rest of the stream, if a part of it has
// been forwarded.
func (r *relay) setResumePoint(message *http1.Request) *http1.Request {
	if !r.started {
		return message
	}
	header := message.Header[:0]
	for _, field := range message.Header {
		if !strings.EqualFold(field.Name, lastEventHeader) {
			header = append(header, field)
		}
	}
	lastID := strconv.FormatInt(r.order.lastID, 10)
	message.Header = append(header, http1.Field{Name: lastEventHeader, Value: lastID})
	return message
}

// forwardResponse forwards a server's response. It returns nil if all of it was forwarded.
func (r *relay) forwardResponse(call *call, response serverResponse) *callFailure {
	class := classify(call.responseTraits(response))
	switch {
	case class == classForward && isSuccess(response.head.Status) && r.isStream(response.head):
		return r.forwardStream(call, response)
	case class == classForward && r.started: // not the rest of the stream
		return call.brokenFailure()
	}
	buffered, err := call.bufferResponse(response)
	if err != nil && class != classRejected && class != classMisdirected {
		return call.failureFrom(err)
	}
	if response.body.Complete() {
		call.recordBodyEnd()
	}
	switch class {
	case classForward:
		return r.forwardBody(call, buffered, response.body)
	case classServerError:
		failure := &callFailure{outcome: outcomeOfClass[class], execution: mayHaveRun}
		if response.body.Complete() {
			failure.response = buffered
		}
		return failure
	case classRejected:
		return &callFailure{outcome: call.rejectionOutcome(response.head), execution: notRun}
	case classMisdirected:
		call.reportReplaced()
		return &callFailure{outcome: outcomeOfClass[class], execution: notRun}
	}
	return call.brokenFailure()
}

// forwardBody sends the client a response: all of it if it is buffered completely, otherwise the buffered
// part and then the rest as it arrives.
func (r *relay) forwardBody(call *call, buffered *bufferedResponse, body *http1.Body) *callFailure {
	if body.Complete() {
		r.forwardBuffered(buffered)
		return nil
	}
	response := r.clientHead(buffered.head)
	response.Streaming, response.Length, response.Body = true, body.Length(), buffered.body
	r.started, r.hasDataWithoutID = true, true
	r.client.recordResponse()
	call.setReadDeadline(time.Now(), r.request.hardDeadline, r.request.hardDeadline)
	out, err := response.Begin(r.client.socket.writer(), r.request.HTTP10)
	if err != nil || !copyBody(&out, body) {
		return call.brokenFailure()
	}
	call.recordBodyEnd()
	r.recordComplete(r.closeBody(out) && !response.Close)
	return nil
}

// copyBody forwards the rest of a body as it arrives, and reports whether all of it has arrived.
func copyBody(out *http1.BodyWriter, body *http1.Body) bool {
	buffer := make([]byte, bufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_, err = out.Write(buffer[:n])
		}
		if body.Complete() {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// forwardBuffered sends a buffered response. It reports whether the client's connection stays open.
func (r *relay) forwardBuffered(buffered *bufferedResponse) bool {
	r.recordComplete(r.writeBuffered(buffered))
	return r.keepAlive
}

// writeBuffered writes a buffered response. It reports whether the client's connection can stay open.
func (r *relay) writeBuffered(buffered *bufferedResponse) bool {
	r.client.recordResponse()
	response := r.clientHead(buffered.head)
	response.Body = buffered.body
	r.client.setWriteDeadline(r.request)
	out := r.client.socket.writer()
	return response.Write(out) == nil && out.Flush() == nil && !response.Close
}

// clientHead returns the response head for the client, based on a server's.
func (r *relay) clientHead(from *http1.Response) *http1.Response {
	response := &http1.Response{Status: from.Status, Bodiless: from.Bodiless, Length: from.Length}
	response.Header = from.Header.EndToEnd()
	response.Close = r.client.closesAfter(r.request)
	r.client.addKeepAlive(response)
	return response
}

// closeBody ends the body of a response, and reports whether it could be sent.
func (r *relay) closeBody(out http1.BodyWriter) bool {
	return out.Close() == nil && r.client.socket.writer().Flush() == nil
}

// recordComplete records that the response was sent to its end; keepAlive says whether the client's
// connection stays open.
func (r *relay) recordComplete(keepAlive bool) {
	r.started, r.complete, r.keepAlive = true, true, keepAlive
	r.client.proxy.counters.forwarded.Add(1)
}
