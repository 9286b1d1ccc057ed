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

var readBuffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// isStream tells whether an answer is a series of events.
func (r *relay) isStream(head *http1.Response) bool {
	kind, _, _ := strings.Cut(head.Header.Get("Content-Type"), ";")
	if kind == "" {
		return r.request.route.Kind == fleetconfig.Stream && head.Header.Get("Transfer-Encoding") != ""
	}
	return strings.EqualFold(strings.TrimSpace(kind), eventStreamType)
}

// stream passes on events as they arrive, each one whole. Where it ends early the events that the client has
// are the first ones of the stream, without a gap.
func (r *relay) stream(c *call, head *http1.Response, body *http1.Body) *failure {
	r.events.reset()
	if r.begun {
		r.order.resumed = true
		r.replaceable = c.delivery.mayTryAgain()
		r.client.front.stats.resumed.Add(1)
	}
	buffer := readBuffers.Get().(*[bufferSize]byte)
	defer readBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		r.events.feed(buffer[:n])
		if f := r.forward(c, head); f != nil {
			return f
		}
		if body.Whole() {
			return r.endStream(c, head, body)
		}
		if err == nil && body.Ready() && len(r.events.rest()) <= largestEvent {
			continue
		}
		if r.flush() != nil {
			return r.clientGone(c)
		}
		switch {
		case err != nil:
			return c.broken(err)
		case len(r.events.rest()) > largestEvent:
			return c.brokenOff()
		}
		c.conn.SetReadDeadline(r.pauseUntil(c))
	}
}

// forward writes the events that are whole.
func (r *relay) forward(c *call, head *http1.Response) *failure {
	for event := r.events.next(); event != nil; event = r.events.next() {
		if f := r.forwardOne(c, head, event); f != nil {
			return f
		}
	}
	return nil
}

func (r *relay) forwardOne(c *call, head *http1.Response, event []byte) *failure {
	if id, ok := eventID(event); !ok {
		r.unnumbered = r.unnumbered || holdsData(event)
	} else {
		switch r.order.follow(id) {
		case skip:
			return nil
		case missing:
			return c.brokenOff()
		}
	}
	if r.begin(c, head) != nil {
		return r.clientGone(c)
	}
	r.checkRises(event)
	if _, err := r.out.Write(event); err != nil {
		return r.clientGone(c)
	}
	return nil
}

// checkRises holds the events of a server that took the stream up to follow those that the client has.
func (r *relay) checkRises(event []byte) {
	id, ok := eventID(event)
	if !ok {
		return
	}
	invariant.Assert(!r.order.resumed || id > r.forwarded, invariant.StreamIDsRise,
		"event %d follows event %d", id, r.forwarded)
	r.forwarded = id
}

// begin sends the head with the first event of the first server.
func (r *relay) begin(c *call, head *http1.Response) error {
	if r.begun {
		return nil
	}
	c.eventAt = time.Since(c.started)
	c.delivery.front.decider.firstEvent(c.choice)
	r.replaceable = c.delivery.mayTryAgain()
	answer := r.head(head)
	answer.Streams, answer.Length = true, -1
	var err error
	r.begun = true
	r.client.noteAnswer()
	r.out, err = answer.Begin(r.client.socket.writer(), r.request.Old)
	r.goesOn = !answer.Close
	return err
}

// endStream ends the answer, as its server did.
func (r *relay) endStream(c *call, head *http1.Response, body *http1.Body) *failure {
	c.whole()
	if rest := r.events.rest(); len(rest) > 0 {
		if endsWithConnection(head, body) { // an event in two pieces shows that its server broke off
			return c.brokenOff()
		}
		if f := r.forwardOne(c, head, rest); f != nil {
			return f
		}
	}
	if r.begin(c, head) != nil {
		return r.clientGone(c)
	}
	r.finish(r.close(r.out) && r.goesOn)
	return nil
}

func (r *relay) flush() error {
	if !r.begun {
		return nil
	}
	return r.client.socket.writer().Flush()
}

// clientGone says that the client did not let the answer in.
func (r *relay) clientGone(c *call) *failure {
	c.delivery.stop(clientLeft)
	return &failure{outcome: scheduler.Abandoned, fate: mayHaveRun}
}

// pauseUntil is when a stream counts as broken if its server sends nothing more.
func (r *relay) pauseUntil(c *call) time.Time {
	d := c.delivery
	if !r.begun {
		return c.silentUntil()
	}
	if !r.replaceable || !r.mayGoOn() { // silence alone ends nothing
		return d.request.limit
	}
	return earlier(d.request.limit, time.Now().Add(streamPatience(d.request.route.GapTarget)))
}
