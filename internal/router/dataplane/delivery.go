package dataplane

import (
	"io"
	"net"
	"sync"
	"time"

	"cresshub/internal/router/scheduler"
)

const (
	// leastLeft is the time below which nothing is sent to a server any more.
	leastLeft = 5 * time.Millisecond
	// mostUnreachable is how many servers may be found out of reach before a request is refused.
	mostUnreachable = 4
	// The bounds of what a refused client is told to wait.
	leastRetryAfter = 200 * time.Millisecond
	mostRetryAfter  = time.Second
)

// reason says why a delivery was told to stop.
type reason int

const (
	goingOn    reason = iota
	clientLeft        // the client has gone
	stopped           // the process ends
)

// delivery takes one request to servers until one of them answers it or nothing more may be tried.
type delivery struct {
	front   *Front
	client  *client
	request *request
	number  uint64 // of the request in this process
	relay   relay

	attempts    attempts
	ticket      *ticket // the prompt's memory at the server that read it, nil where there is none
	worst       fate    // of all calls so far
	kept        *keptAnswer
	unreachable int
	goesOn      bool // the client's connection is good for another request
	trace       deliveryTrace
	underWay    *call // the call that has begun and not ended, nil where there is none

	mu      sync.Mutex
	why     reason
	current io.Closer // what a call waits on
}

func newDelivery(c *client, q *request) *delivery {
	d := &delivery{front: c.front, client: c, request: q, number: c.front.deliveries.Add(1)}
	d.attempts.most = q.route.MaxAttempts
	d.relay = newRelay(c, q)
	return d
}

// run sees the request through.
func (d *delivery) run() {
	defer d.endInterrupted()
	f := d.front
	f.budgets.request(f.now(), d.request.service.Name, f.state.Proxies())
	if d.hopeless() {
		d.trace.endFor(endCrowded)
		d.giveUp()
		return
	}
	if d.request.service.Engine != nil && f.decider.split(&d.request.pairing) {
		d.readPrompt()
	}
	for !d.over() {
		c := d.nextCall()
		if c == nil {
			break
		}
		failure := c.run()
		if failure == nil {
			d.ticket = nil // the server that answered has taken the memory
			break
		}
		if !d.learn(c, failure) {
			break
		}
	}
	d.dropTicket()
	d.giveUp()
}

// endInterrupted ends the call under way where a panic has left it: it gives back what the call took.
func (d *delivery) endInterrupted() {
	if c := d.underWay; c != nil {
		c.tainted = true
		c.end(&failure{outcome: scheduler.Abandoned, fate: mayHaveRun})
	}
}

// hopeless tells whether no server could begin before the request's end.
func (d *delivery) hopeless() bool {
	if d.over() {
		return true
	}
	wait, free := d.front.decider.crowded(&d.request.pairing)
	return !free && wait >= d.left()
}

func (d *delivery) left() time.Duration { return time.Until(d.request.end) }

// waitUntil is how long a server's answer is waited for at most: one that has begun goes on to the request's
// limit, as no answer of the proxy's own could take its place.
func (d *delivery) waitUntil() time.Time {
	if d.relay.begun {
		return d.request.limit
	}
	return d.request.end
}

// over tells whether nothing more may be sent.
func (d *delivery) over() bool { return d.reason() != goingOn || d.left() < leastLeft }

func (d *delivery) reason() reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.why
}

// stop ends the call under way and lets no other begin.
func (d *delivery) stop(why reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.why == goingOn {
		d.why = why
	}
	if d.current != nil {
		d.current.Close()
	}
}

// attach names what stop has to close; it returns false where the delivery was stopped before.
func (d *delivery) attach(c io.Closer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c != nil && d.why != goingOn {
		return false
	}
	d.current = c
	return true
}

// nextCall chooses the server that makes the answer, nil where there is none or no repeat is left.
func (d *delivery) nextCall() *call {
	if d.ticket.lapsed(time.Now()) {
		d.dropTicket()
	}
	if d.ticket != nil {
		if c := d.chosen(scheduler.Decode); c != nil {
			return c
		}
		d.dropTicket()
	}
	return d.chosen(scheduler.Serve)
}

// chosen draws the server for a call in that role, if the request may be sent once more.
func (d *delivery) chosen(role scheduler.Role) *call {
	if !d.attempts.permitted(role) {
		d.trace.endFor(endTriesUsed)
		return nil
	}
	choice := d.front.decider.choose(&d.request.pairing, role, d.ticket.reader())
	if choice == nil {
		d.trace.endFor(endNoServer)
		return nil
	}
	if !d.pay(role) {
		d.trace.endFor(endRetryBudget)
		d.front.decider.done(choice, scheduler.Abandoned)
		return nil
	}
	d.trace.endFor("")
	d.underWay = &call{delivery: d, choice: choice, role: role}
	return d.underWay
}

// pay takes what the call costs from the retry budget.
func (d *delivery) pay(role scheduler.Role) bool {
	f, price := d.front, d.attempts.price(role)
	if !f.budgets.take(f.now(), d.request.service.Name, f.state.Proxies(), price) {
		return false
	}
	f.stats.repeats.Add(int64(price))
	d.attempts.pay(role)
	return true
}

// mayTryAgain tells whether another call could follow one that is under way now.
func (d *delivery) mayTryAgain() bool {
	f := d.front
	return d.request.route.Idempotent() && d.attempts.arrivals+2 <= d.attempts.most &&
		f.budgets.has(f.now(), d.request.service.Name, f.state.Proxies())
}

// learn takes in how a call failed and tells whether another one may follow.
func (d *delivery) learn(c *call, f *failure) bool {
	d.worst = max(d.worst, f.fate)
	if f.kept != nil {
		d.kept = f.kept
	}
	switch {
	case f.outcome == scheduler.Unreachable || f.outcome == scheduler.Abandoned && f.fate == notSent:
		d.unreachable++
	case f.fate == notRun:
		d.attempts.rejected()
	case f.fate == mayHaveRun:
		d.attempts.taken(c.role)
	}
	if !f.stale && f.outcome != scheduler.HandleFailed {
		d.request.pairing.Excluded = append(d.request.pairing.Excluded, c.choice.Server.ID)
	}
	switch {
	case d.relay.begun:
		d.ticket = nil // the server that began the stream has taken the memory
	case c.role == scheduler.Decode && f.spent():
		d.dropTicket()
	}
	switch {
	case !mayRepeat(d.request.route.Idempotent(), d.worst):
		d.trace.endFor(endMayHaveRun)
	case d.unreachable >= mostUnreachable:
		d.trace.endFor(endUnreachable)
	case !d.relay.mayGoOn():
		d.trace.endFor(endNotResumable)
	default:
		return true
	}
	return false
}

// giveUp gives the client its last word, unless it has its whole answer.
func (d *delivery) giveUp() {
	stats := &d.front.stats
	switch {
	case d.relay.whole:
		d.goesOn = d.relay.goesOn
		d.front.observe(d, endingServed, 0)
	case d.reason() == clientLeft:
		stats.clientsLeft.Add(1)
		d.front.observe(d, endingClientLeft, 0)
	case d.relay.begun:
		stats.cut.Add(1) // the connection ends without the last chunk
		d.front.observe(d, endingCut, 0)
		d.cut()
	case d.kept != nil && d.worst == mayHaveRun:
		d.front.observe(d, endingServerFailure, d.kept.head.Status)
		d.goesOn = d.relay.passKept(d.kept)
	default:
		word := d.lastWord()
		d.trace.checkRefusal(d, word.status)
		d.front.observe(d, endingOf(word.status), word.status)
		d.goesOn = d.client.refuse(d.request, word)
	}
}

// cut makes sure that an answer that is not whole does not look so: where only the end of the connection
// ends it, the connection is reset.
func (d *delivery) cut() {
	d.client.cut = true
	if conn, ok := d.client.socket.Conn.(*net.TCPConn); ok && d.request.Old {
		conn.SetLinger(0)
	}
}

func (d *delivery) lastWord() *refusal {
	late := d.left() < leastLeft || d.reason() == stopped
	switch finalStatus(d.worst, late) {
	case 503:
		return &refusal{status: 503, after: d.retryAfter(),
			remedy: "no server can take the request now, and it has not run; send it again after Retry-After"}
	case 504:
		return &refusal{status: 504,
			remedy: "no answer came in time, and the request may have run; look before sending it again"}
	}
	return &refusal{status: 502,
		remedy: "the server broke off, and the request may have run; look before sending it again"}
}

// retryAfter is the time after which a server will have a place again.
func (d *delivery) retryAfter() time.Duration {
	wait, _ := d.front.decider.crowded(&d.request.pairing)
	return min(max(wait, leastRetryAfter), mostRetryAfter)
}
