package balance

import "time"

// BodyConsumed says that a request is not held any more: part of it went to the server of the attempt that
// is out, and nobody has that part now. What comes of the attempt is unknown only from Whole on, so the
// server is not taken for one that leaves its class unanswered meanwhile.
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

// BodySent says that the last byte of a request that was Spent is sent. Its time counts from now.
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
		class := &a.server.classes[r.Class]
		if class.outstanding++; class.outstanding == 1 {
			class.unservedSince = now
		}
	}
}
