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

	begun  bool // the head has been sent
	whole  bool // the answer has been sent whole
	goesOn bool // the client's connection goes on after it
	out    http1.BodyWriter

	events      eventSplitter
	order       order
	replaceable bool  // another server may take the stream up
	unnumbered  bool  // bytes without an id were passed on, so nobody can tell where another server should go on
	forwarded   int64 // id of the last event that the client got, or had before
}

// mayGoOn tells whether another server may be asked: for the whole answer, or for the rest of a stream.
func (r *relay) mayGoOn() bool {
	return !r.begun || r.request.route.Resumable && r.order.any && !r.unnumbered
}

func newRelay(c *client, q *request) relay {
	r := relay{client: c, request: q}
	r.order.dense = q.service.Engine == nil || q.service.Engine.MaxTokensPerEvent <= 1
	if last, err := strconv.ParseInt(q.Header.Get(lastEventHeader), 10, 64); err == nil {
		r.order.last, r.order.any, r.forwarded = last, true, last
	}
	return r
}

// resume makes a request one for the rest of the stream, where a part has been passed on.
func (r *relay) resume(m *http1.Request) *http1.Request {
	if !r.begun {
		return m
	}
	kept := m.Header[:0]
	for _, field := range m.Header {
		if !strings.EqualFold(field.Name, lastEventHeader) {
			kept = append(kept, field)
		}
	}
	m.Header = append(kept, http1.Field{Name: lastEventHeader, Value: strconv.FormatInt(r.order.last, 10)})
	return m
}

// answer passes on what a server answers. It returns nil where the client has it whole.
func (r *relay) answer(c *call, head *http1.Response, body *http1.Body) *failure {
	t := c.answerTraits(head, body)
	v := judge(t)
	switch {
	case v == pass && t.status/100 == 2 && r.isStream(head):
		return r.stream(c, head, body)
	case v == pass && r.begun: // not the rest of the stream
		return c.brokenOff()
	}
	kept, rest, err := keep(c, head, body)
	if err != nil && v != rejected && v != misdirected {
		return c.broken(err)
	}
	if err == nil && !rest {
		c.whole()
	}
	switch v {
	case pass:
		return r.pass(c, kept, body, rest)
	case failed:
		return &failure{outcome: outcomes[v], fate: mayHaveRun, kept: wholeOnly(kept, rest)}
	case rejected:
		return &failure{outcome: c.rejection(head), fate: notRun}
	case misdirected:
		c.gone()
		return &failure{outcome: outcomes[v], fate: notRun}
	}
	return c.brokenOff()
}

// pass sends the client an answer that is held whole, or as far as it is held and then the rest as it comes.
func (r *relay) pass(c *call, kept *keptAnswer, body *http1.Body, rest bool) *failure {
	if !rest {
		r.finish(r.sendKept(kept))
		return nil
	}
	answer := r.head(kept.head)
	answer.Streams, answer.Length, answer.Body = true, body.Length(), kept.body
	r.begun, r.unnumbered = true, true
	r.client.noteAnswer()
	c.conn.SetReadDeadline(r.request.limit)
	out, err := answer.Begin(r.client.socket.writer(), r.request.Old)
	room := make([]byte, bufferSize)
	for err == nil {
		var n int
		n, err = body.Read(room)
		if n > 0 {
			_, err = out.Write(room[:n])
		}
		if body.Whole() {
			c.whole()
			r.finish(r.close(out) && !answer.Close)
			return nil
		}
	}
	return c.brokenOff()
}

func (r *relay) close(out http1.BodyWriter) bool {
	return out.Close() == nil && r.client.socket.writer().Flush() == nil
}

// finish notes that the answer was sent to its end.
func (r *relay) finish(goesOn bool) {
	r.begun, r.whole, r.goesOn = true, true, goesOn
	r.client.front.stats.passed.Add(1)
}

// passKept sends a server's own failure. It returns whether the client's connection goes on.
func (r *relay) passKept(kept *keptAnswer) bool {
	r.finish(r.sendKept(kept))
	return r.goesOn
}

func (r *relay) sendKept(kept *keptAnswer) bool {
	r.client.noteAnswer()
	answer := r.head(kept.head)
	answer.Body = kept.body
	r.client.allowWrite(r.request)
	out := r.client.socket.writer()
	return answer.Write(out) == nil && out.Flush() == nil && !answer.Close
}

// head is a server's head as the client gets it.
func (r *relay) head(from *http1.Response) *http1.Response {
	answer := &http1.Response{Status: from.Status, Bodiless: from.Bodiless, Length: from.Length}
	answer.Header = from.Header.EndToEnd()
	answer.Close = r.client.ends(r.request)
	r.client.persistence(answer)
	return answer
}
