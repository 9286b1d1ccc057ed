package balance

import "time"

// BodyConsumed reports that the body of a request is no longer retained: a part of it was sent to the
// server of the outstanding attempt, and no other attempt can send it. Until BodySent no response is due,
// so the attempt does not make the server count as unresponsive for the class.
func (b *Balancer) BodyConsumed(id string) {
	r := b.requests[id]
	if r == nil || r.bodyConsumed {
		return
	}
	r.bodyConsumed = true
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended {
			a.uploading = true
			a.server.classes[r.Class].outstanding--
		}
	}
}

// BodySent reports, after BodyConsumed, that the last byte of a request's body was sent. The request counts
// as received now, with a new deadline.
func (b *Balancer) BodySent(now time.Duration, id string, deadline time.Duration) {
	r := b.requests[id]
	if r == nil {
		return
	}
	r.receivedAt, r.Deadline = now, deadline
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.uploading || a.ended {
			continue
		}
		a.uploading, a.sentAt = false, now
		a.server.classes[r.Class].attemptStarted(now)
	}
}
