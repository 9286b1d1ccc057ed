package dataplane

import (
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"syscall"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

const (
	// earlyAnswer is how long a server that does not let all of a request in may take to say why.
	earlyAnswer = 200 * time.Millisecond
	// mostSurplus is how many answers to other requests are read past on one connection.
	mostSurplus = 2
)

// call is one call of a request to one server.
type call struct {
	delivery *delivery
	choice   *scheduler.Call
	role     scheduler.Role
	conn     *connection
	tainted  bool // the connection must not be used again
	spoilt   bool // the connection's messages are out of step, so that it ends with this one
	begun    bool // the head of an answer has come
	unsent   bool // not all of the request was sent; the system may have told of a reset already
	alive    time.Duration
	started  time.Time
	headAt   time.Duration // after started, when the head of the answer came
	eventAt  time.Duration // after started, when the first event was whole
}

// run makes the call and passes its answer to the client. It returns nil where the client has the whole
// answer.
func (c *call) run() *failure {
	if f := c.connect(); f != nil {
		return c.end(f)
	}
	head, body, f := c.exchange()
	if f == nil {
		f = c.delivery.relay.answer(c, head, body)
	}
	return c.end(f)
}

// end tells the decisions how the call ended, and keeps or closes its connection.
func (c *call) end(f *failure) *failure {
	c.delivery.underWay = nil
	outcome := scheduler.Served
	if f != nil {
		outcome = f.outcome
	}
	if c.delivery.reason() != goingOn && f != nil {
		f.outcome, outcome = scheduler.Abandoned, scheduler.Abandoned
	}
	c.delivery.front.decider.done(c.choice, outcome)
	c.delivery.front.calls.count(c.role, outcome)
	c.delivery.trace.endCall(c, f)
	c.logEnd(outcome)
	c.disconnect()
	return f
}

// logEnd tells of the call beside what the decision reckoned with; package calllog reads these lines.
func (c *call) logEnd(outcome scheduler.Outcome) {
	event := c.delivery.front.log.Debug()
	if !event.Enabled() {
		return
	}
	q, took := c.delivery.request, c.took()
	tokens, wait := c.choice.Expected()
	event.Str("try", q.tryID).Str("route", q.route.Name).Dur("target_ms", q.route.LatencyTarget).
		Str("server", c.choice.Server.ID).Str("role", roleNames[c.role]).Str("outcome", outcomeNames[outcome]).
		Str("shared", strconv.FormatUint(c.choice.SharedPrefix(), 16)).Int("prompt", q.pairing.PromptTokens).
		Int("reads", tokens).Dur("expected_ms", wait).Dur("at_ms", time.Since(q.arrived)-took).
		Dur("head_ms", c.headAt).Dur("event_ms", c.eventAt).Dur("took_ms", took).Msg("front: call")
}

// took is how long the call has been under way, 0 where it was not sent.
func (c *call) took() time.Duration {
	if c.started.IsZero() {
		return 0
	}
	return time.Since(c.started)
}

// exchange sends the request and reads the head of its answer.
func (c *call) exchange() (*http1.Response, *http1.Body, *failure) {
	c.started = time.Now()
	unsent := c.send()
	switch {
	case unsent == nil:
		c.conn.SetReadDeadline(c.silentUntil())
	case unsent.fate == notSent:
		return nil, nil, unsent
	default: // a server that rejects a request need not read all of it
		c.spoilt, c.unsent = true, true
		c.conn.SetReadDeadline(earlier(c.delivery.request.end, time.Now().Add(earlyAnswer)))
	}
	c.delivery.front.stats.calls.Add(1)
	if unsent == nil {
		c.conn.rest()
		for c.conn.await() == nothing && c.waitOn() { // what it sees last is met again by reading
			continue
		}
		c.conn.waiter = c
	}
	head, body, f := c.readHead()
	if f != nil && unsent != nil {
		f = unsent
	}
	return head, body, f
}

// readHead reads the head of the answer to this request. Answers to others may stand before it.
func (c *call) readHead() (*http1.Response, *http1.Body, *failure) {
	d := c.delivery
	for range mostSurplus + 1 {
		head, body, err := http1.ReadResponseHead(c.conn.reader(), d.request.Method)
		if err != nil {
			return nil, nil, c.broken(err)
		}
		if head.Header.Get(tryIDHeader) == d.request.tryID {
			c.heard(head)
			return head, body, nil
		}
		d.front.stats.surplus.Add(1)
		c.spoilt = true
		if _, err := io.CopyN(io.Discard, body, largestKept); err != io.EOF || head.Close {
			break
		}
	}
	return nil, nil, c.brokenOff()
}

// send writes the request whole.
func (c *call) send() *failure {
	c.conn.sent = 0
	c.conn.SetWriteDeadline(c.delivery.request.end)
	c.delivery.trace.beginCall(c)
	err := c.write(c.message())
	switch {
	case err == nil:
		return nil
	case c.conn.sent == 0:
		return &failure{outcome: scheduler.Abandoned, fate: notSent, stale: c.conn.reused}
	}
	return c.broken(err)
}

// message is the client's request as the server gets it.
func (c *call) message() *http1.Request {
	q := c.delivery.request
	m := &http1.Request{Method: q.Method, Target: q.Target, Body: q.Body}
	m.Header = append(q.passedHeader(),
		http1.Field{Name: deadlineHeader, Value: strconv.FormatInt(max(c.delivery.left().Milliseconds(), 1), 10)},
		http1.Field{Name: expectServerHeader, Value: c.choice.Server.ID})
	tokens, _ := c.choice.Expected()
	if q.service.Engine != nil {
		priority := strconv.Itoa(priorityOf(q.route.Priority, tokens))
		m.Header = append(m.Header, http1.Field{Name: priorityHeader, Value: priority})
	}
	switch c.role {
	case scheduler.Prefill:
		m.Header = append(m.Header, http1.Field{Name: stageHeader, Value: readingStage})
	case scheduler.Decode:
		m.Header = append(m.Header, http1.Field{Name: kvFromHeader, Value: c.delivery.ticket.source()})
	}
	return c.delivery.relay.resume(m)
}

// silentUntil is when the server counts as silent if nothing of its answer has come.
func (c *call) silentUntil() time.Time {
	d := c.delivery
	_, expected := c.choice.Expected()
	if c.role == scheduler.Prefill {
		usual := d.front.readTimes.expected(d.request.service.Name)
		return c.started.Add(readPatience(max(usual, c.choice.UncachedPrefill()), d.left()))
	}
	if !d.mayTryAgain() {
		return d.request.end
	}
	return c.started.Add(servePatience(d.request.route.LatencyTarget, expected, d.request.end.Sub(c.started)))
}

// waitOn tells whether a server that has been silent for too long is waited for all the same, until it is
// asked again or the request's end: nobody else could go on, as the repeats have been used up meanwhile or no
// other server is there.
func (c *call) waitOn() bool {
	d := c.delivery
	until := d.waitUntil()
	over := d.reason() != goingOn || !time.Now().Before(until)
	if over || c.role == scheduler.Prefill || d.mayTryAgain() && d.relay.mayGoOn() && c.hasAlternative() {
		return false
	}
	again := time.Now().Add(streamPatience(d.request.route.GapTarget))
	c.conn.SetReadDeadline(earlier(until, again))
	return true
}

// hasAlternative tells whether another server could go on in this one's place. A client that has a part of a
// stream would lose the rest if all others reject it, so one of them has to have a place; for an answer that
// has not begun they may as well be asked.
func (c *call) hasAlternative() bool {
	d := c.delivery
	exists, free := d.front.decider.alternative(&d.request.pairing, c.choice.Server.ID)
	return free || exists && !d.relay.begun
}

// wholeUntil is when an answer counts as broken that has begun and is held until it is whole.
func (c *call) wholeUntil() time.Time {
	d := c.delivery
	if !d.mayTryAgain() {
		return d.request.end
	}
	return earlier(d.request.end, time.Now().Add(servePatience(d.request.route.LatencyTarget, 0, d.left())))
}

// heard takes in what the head of an answer says besides.
func (c *call) heard(head *http1.Response) {
	c.begun = true
	c.headAt = time.Since(c.started)
	if load, ok := parseLoad(head.Header.Get(loadHeader)); ok {
		c.delivery.front.decider.told(c.choice.Server.ID, load)
	}
	if !c.spoilt && !c.restUnread(head) {
		c.alive = idleTime(head)
	}
}

// whole notes that the answer has been read to its end, so that the connection may carry another request.
func (c *call) whole() {
	c.tainted = c.conn.holdsInput() || c.alive <= 0
}

// broken says how a call failed whose request was sent, in whole or in part.
func (c *call) broken(err error) *failure {
	f := c.brokenOff()
	c.suspect(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		f.outcome = scheduler.TimedOut
		return f
	}
	if c.conn.reused && !c.begun && !errors.As(err, new(*http1.Malformed)) {
		f.stale, f.outcome = true, scheduler.Abandoned
	}
	return f
}

// suspect tells the fleet where an error shows that the server's machine or process is not there.
func (c *call) suspect(err error) {
	timedOut := errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, context.DeadlineExceeded)
	if c.delivery.reason() == goingOn && (timedOut || errors.Is(err, syscall.ECONNREFUSED)) {
		c.delivery.front.state.Suspect(c.choice.Server.ID)
	}
}

func (c *call) brokenOff() *failure { return &failure{outcome: scheduler.Broken, fate: mayHaveRun} }
