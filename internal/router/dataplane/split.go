package dataplane

import (
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/scheduler"
)

// readPrompt has a server read the prompt. Where that fails the request goes on without: the call does not
// run the request, so it may be repeated as long as the budget allows.
func (d *delivery) readPrompt() {
	for d.ticket == nil && !d.over() && d.unreachable < mostUnreachable {
		c := d.chosen(scheduler.Prefill)
		if c == nil {
			return
		}
		failure := c.read()
		if failure == nil {
			d.front.stats.splits.Add(1)
			return
		}
		d.front.stats.splitsLost.Add(1)
		if !d.learnRead(c, failure) {
			return
		}
	}
}

// learnRead takes in how reading failed, and tells whether another server is asked to read.
func (d *delivery) learnRead(c *call, f *failure) bool {
	d.request.pairing.Excluded = append(d.request.pairing.Excluded, c.choice.Server.ID)
	switch f.fate {
	case notSent:
		d.unreachable++
	case notRun:
		d.attempts.rejected()
	case mayHaveRun:
		d.attempts.taken(scheduler.Prefill)
		if !c.begun { // it may have stood in the server's queue, which makes the next call a repeat
			d.attempts.owed++
		}
		return f.outcome != scheduler.TimedOut // so much time is lost that no second reader is waited for
	}
	return true
}

// read makes the call that has the prompt read.
func (c *call) read() *failure {
	f := c.connect()
	if f != nil {
		return c.end(f)
	}
	head, body, f := c.exchange()
	if f == nil {
		f = c.takeTicket(head, body)
	}
	if f == nil || f.outcome == scheduler.TimedOut {
		c.delivery.front.readTimes.note(c.delivery.request.service.Name, time.Since(c.started))
	}
	return c.end(f)
}

func (c *call) takeTicket(head *http1.Response, body *http1.Body) *failure {
	d := c.delivery
	v := judge(c.answerTraits(head, body))
	kept, rest, err := keep(c, head, body)
	if err == nil && !rest {
		c.whole()
	}
	switch {
	case v == misdirected:
		c.gone()
		return &failure{outcome: scheduler.Misdirected, fate: notRun}
	case v == rejected:
		return &failure{outcome: scheduler.Rejected, fate: notRun}
	case err != nil:
		return c.broken(err)
	case head.Status >= 500:
		return &failure{outcome: scheduler.Failed, fate: mayHaveRun}
	}
	handle, ok := parseHandle(kept.body)
	if head.Status != 200 || !ok {
		return c.brokenOff()
	}
	d.attempts.taken(scheduler.Prefill)
	d.ticket = newTicket(c.choice.Server, handle, d.request.tryID, d.request.service.Engine.HandleTTL)
	return nil
}
