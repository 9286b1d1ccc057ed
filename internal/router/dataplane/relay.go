package dataplane

import (
	"strconv"
	"strings"

	"cresshub/internal/http1"
)

// relay passes the answers of servers to the client: at most one head, and a body without a seam.
type relay struct {
	client  *client
	request *request

	started   bool // the head has been sent
	complete  bool // the answer has been sent whole
	keepAlive bool // the client's connection goes on after it
	out       http1.BodyWriter

	events      eventSplitter
	order       eventOrder
	replaceable bool // another server may take the stream up
	// bytes without an id were passed on, so nobody can tell where another server should go on
	hasUnnumbered bool
	lastForwarded int64 // id of the last event that the client got, or had before
}

// mayContinue tells whether another server may be asked: for the whole answer, or for the rest of a stream.
func (r *relay) mayContinue() bool {
	return !r.started || r.request.route.Resumable && r.order.hasLast && !r.hasUnnumbered
}

func newRelay(c *client, q *request) relay {
	r := relay{client: c, request: q}
	r.order.consecutive = q.service.Engine == nil || q.service.Engine.MaxTokensPerEvent <= 1
	if last, err := strconv.ParseInt(q.Header.Get(lastEventHeader), 10, 64); err == nil {
		r.order.lastID, r.order.hasLast, r.lastForwarded = last, true, last
	}
	return r
}

// setResumePoint makes a request one for the rest of the stream, where a part has been passed on.
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
	message.Header = append(header, http1.Field{Name: lastEventHeader, Value: strconv.FormatInt(r.order.lastID,
		10)})
	return message
}

// forwardResponse passes on what a server answers. It returns nil where the client has it whole.
func (r *relay) forwardResponse(c *call, head *http1.Response, body *http1.Body) *callFailure {
	traits := c.responseTraits(head, body)
	class := classify(traits)
	switch {
	case class == classForward && traits.status/100 == 2 && r.isStream(head):
		return r.forwardStream(c, head, body)
	case class == classForward && r.started: // not the rest of the stream
		return c.brokenFailure()
	}
	buffered, overflow, err := bufferResponse(c, head, body)
	if err != nil && class != classRejected && class != classMisdirected {
		return c.failureFrom(err)
	}
	if err == nil && !overflow {
		c.recordBodyEnd()
	}
	switch class {
	case classForward:
		return r.forwardBody(c, buffered, body, overflow)
	case classServerError:
		return &callFailure{outcome: outcomeOfClass[class], fate: mayHaveRun, response: completeOnly(buffered,
			overflow)}
	case classRejected:
		return &callFailure{outcome: c.rejectionOutcome(head), fate: notRun}
	case classMisdirected:
		c.reportReplaced()
		return &callFailure{outcome: outcomeOfClass[class], fate: notRun}
	}
	return c.brokenFailure()
}

// forwardBody sends the client an answer that is held whole, or as far as it is held and then the rest as it
// comes.
func (r *relay) forwardBody(c *call, buffered *bufferedResponse, body *http1.Body,
	overflow bool) *callFailure {
	if !overflow {
		r.recordComplete(r.writeBuffered(buffered))
		return nil
	}
	response := r.clientHead(buffered.head)
	response.Streaming, response.Length, response.Body = true, body.Length(), buffered.body
	r.started, r.hasUnnumbered = true, true
	r.client.recordResponse()
	c.conn.SetReadDeadline(r.request.hardDeadline)
	out, err := response.Begin(r.client.socket.writer(), r.request.HTTP10)
	buffer := make([]byte, bufferSize)
	for err == nil {
		var n int
		n, err = body.Read(buffer)
		if n > 0 {
			_, err = out.Write(buffer[:n])
		}
		if body.Complete() {
			c.recordBodyEnd()
			r.recordComplete(r.closeBody(out) && !response.Close)
			return nil
		}
	}
	return c.brokenFailure()
}

func (r *relay) closeBody(out http1.BodyWriter) bool {
	return out.Close() == nil && r.client.socket.writer().Flush() == nil
}

// recordComplete notes that the answer was sent to its end.
func (r *relay) recordComplete(keepAlive bool) {
	r.started, r.complete, r.keepAlive = true, true, keepAlive
	r.client.proxy.counters.forwarded.Add(1)
}

// forwardBuffered sends a server's own failure. It returns whether the client's connection goes on.
func (r *relay) forwardBuffered(buffered *bufferedResponse) bool {
	r.recordComplete(r.writeBuffered(buffered))
	return r.keepAlive
}

func (r *relay) writeBuffered(buffered *bufferedResponse) bool {
	r.client.recordResponse()
	response := r.clientHead(buffered.head)
	response.Body = buffered.body
	r.client.setWriteDeadline(r.request)
	out := r.client.socket.writer()
	return response.Write(out) == nil && out.Flush() == nil && !response.Close
}

// clientHead is a server's head as the client gets it.
func (r *relay) clientHead(from *http1.Response) *http1.Response {
	response := &http1.Response{Status: from.Status, Bodiless: from.Bodiless, Length: from.Length}
	response.Header = from.Header.EndToEnd()
	response.Close = r.client.closesAfter(r.request)
	r.client.addKeepAlive(response)
	return response
}
