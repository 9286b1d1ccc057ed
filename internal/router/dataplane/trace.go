package dataplane

import (
	"time"

	"github.com/rs/zerolog"

	"cresshub/internal/invariant"
	"cresshub/internal/router/scheduler"
)

// endReason says in one word why nothing more was tried for a request.
type endReason string

// The reasons why a request ends without the whole answer of a server.
const (
	endCrowded      endReason = "crowded"       // no server could begin before the request's end
	endTriesUsed    endReason = "tries_used"    // the route allows no further server
	endNoServer     endReason = "no_server"     // none is left to be asked
	endRetryBudget  endReason = "retry_budget"  // a repeat is more than the service may get
	endMayHaveRun   endReason = "may_have_run"  // it must not run twice
	endUnreachable  endReason = "unreachable"   // several servers could not be connected to
	endNotResumable endReason = "not_resumable" // a part was passed on that no other server can go on from
	endDeadline     endReason = "deadline"      // its time is over
	endStopping     endReason = "stopping"      // this process ends
	endLeft         endReason = "client_left"
)

// deliveryTrace is what is kept of a request's calls, to explain its end and to check promises by figures of
// its own.
type deliveryTrace struct {
	end     endReason
	failed  []failedCall
	reached int  // arrivals at servers that count among the tries of the route
	free    bool // the first call that reads, which does not count, has been taken up
	unsafe  bool // what must not run twice may have run
}

// failedCall is one call that did not bring the whole answer.
type failedCall struct {
	server  string
	role    scheduler.Role
	outcome scheduler.Outcome
	fate    fate
	at      time.Duration // since the request's arrival
	took    time.Duration
}

// endFor notes why nothing more is tried, as far as is known; another call takes that back.
func (t *deliveryTrace) endFor(reason endReason) { t.end = reason }

// reasonOf tells why a request ends.
func (t *deliveryTrace) reasonOf(d *delivery) endReason {
	switch {
	case d.reason() == clientLeft:
		return endLeft
	case d.reason() == stopped:
		return endStopping
	case t.end == "":
		return endDeadline
	}
	return t.end
}

// beginCall checks a call that is about to be sent.
func (t *deliveryTrace) beginCall(c *call) {
	d := c.delivery
	invariant.Assert(c.role == scheduler.Prefill || !t.unsafe, invariant.UnsafeSentOnce,
		"try %s goes to %s though it may have run", d.request.tryID, c.choice.Server.ID)
	if c.role == scheduler.Decode {
		invariant.Assert(d.ticket.tryID == d.request.tryID, invariant.HandleOfOwnRequest,
			"try %s goes on from the memory of try %s", d.request.tryID, d.ticket.tryID)
	}
}

// endCall notes how a call ended; f is nil where the client has the whole answer.
func (t *deliveryTrace) endCall(c *call, f *failure) {
	d := c.delivery
	sent := c.conn != nil && c.conn.sent > 0
	if sent {
		t.countArrival(c, f)
	}
	if f == nil {
		return
	}
	notRun := f.fate == notRun || f.fate == notSent
	if sent && !notRun && c.role != scheduler.Prefill && !d.request.route.Idempotent() {
		t.unsafe = true
	}
	took := c.took()
	t.failed = append(t.failed, failedCall{server: c.choice.Server.ID, role: c.role, outcome: f.outcome,
		fate: f.fate, at: time.Since(d.request.arrived) - took, took: took})
}

func (t *deliveryTrace) countArrival(c *call, f *failure) {
	rejected := f != nil && f.fate == notRun
	if c.role == scheduler.Prefill && !t.free && !rejected {
		t.free = true
		return
	}
	t.reached++
	most := c.delivery.request.route.MaxAttempts
	invariant.Assert(t.reached <= most, invariant.AttemptsWithinRoute,
		"try %s reached %d servers, %d are allowed",
		c.delivery.request.tryID, t.reached, most)
}

// checkRefusal holds an own answer that promises that the request has not run to what was sent of it.
func (t *deliveryTrace) checkRefusal(d *delivery, status int) {
	promises := status == 408 || status == 421 || status == 429 || status == 503
	invariant.Assert(!promises || !t.unsafe, invariant.RejectedNeverRan,
		"try %s is answered %d though it may have run", d.request.tryID, status)
}

// MarshalZerologArray writes the calls in the order in which they ended.
func (t *deliveryTrace) MarshalZerologArray(array *zerolog.Array) {
	for i := range t.failed {
		array.Object(&t.failed[i])
	}
}

// MarshalZerologObject writes one call.
func (f *failedCall) MarshalZerologObject(event *zerolog.Event) {
	event.Str("server", f.server).Str("role", roleNames[f.role]).Str("outcome", outcomeNames[f.outcome]).
		Str("fate", fateNames[f.fate]).Dur("at_ms", f.at).Dur("took_ms", f.took)
}

var roleNames = [...]string{scheduler.Serve: "serve", scheduler.Prefill: "read", scheduler.Decode: "write"}

var fateNames = [...]string{notSent: "not_sent", notRun: "not_run", mayHaveRun: "may_have_run"}

var outcomeNames = [...]string{
	scheduler.Served: "served", scheduler.Failed: "failed", scheduler.Rejected: "rejected",
	scheduler.Misdirected: "misdirected", scheduler.Unreachable: "unreachable", scheduler.Broken: "broken",
	scheduler.TimedOut: "silent", scheduler.Abandoned: "abandoned", scheduler.HandleFailed: "handle_failed",
}
