package routersim

import (
	"time"

	"cresshub/internal/router/scheduler"
)

// clientRetryDelay is how long the end of an attempt takes to its client, and the next attempt to a proxy.
const clientRetryDelay = 6 * time.Millisecond

// clientRequest is a request as its client sees it: one attempt or more, each at a proxy of its own.
type clientRequest struct {
	fleet          *fleet
	kind           *Kind
	step           int                // of the load, in which it arrived
	prompt         *scheduler.Request // as each attempt begins
	firstAttemptAt time.Duration      // when the first attempt began
	attempts       int
}

// begin makes the first attempt.
func (r *clientRequest) begin(p *proxy) {
	f := r.fleet
	r.firstAttemptAt = f.clock.now
	f.counts.addRequest(r)
	r.attempt(p)
}

// attempt makes an attempt.
func (r *clientRequest) attempt(p *proxy) {
	r.attempts++
	r.fleet.counts.ClientAttempts++
	request := *r.prompt
	p.receive(r, &request)
}

// answered takes the first token of an answer.
func (r *clientRequest) answered() {
	r.fleet.counts.addAnswer(r, r.fleet.clock.now-r.firstAttemptAt)
}

// failed takes the end of an attempt without an answer.
func (r *clientRequest) failed() {
	f := r.fleet
	if r.attempts > f.scenario.ClientRetries {
		f.counts.addFailure(r)
		return
	}
	p := f.proxies[f.clientRandom.IntN(len(f.proxies))]
	f.clock.after(clientRetryDelay, func() { r.attempt(p) })
}
