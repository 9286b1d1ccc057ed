package dataplane

import "time"

const (
	// drainIdleGrace is how long after the begin of a drain idle clients are kept, as their requests may be on
	// the way.
	drainIdleGrace = 300 * time.Millisecond
	// drainAcceptTime is how long after the begin of a drain requests are still taken to servers. Clients that
	// come last, until the listener closes, have sent theirs by then; what lasts longer than the rest of the
	// drain would be cut off.
	drainAcceptTime = 2700 * time.Millisecond
)

// Drain makes every following answer the last of its connection, and closes connections that are idle a
// little later. New connections and requests are served on.
func (p *Proxy) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining.Load() {
		return
	}
	p.drainStarted = time.Now()
	p.draining.Store(true)
	time.AfterFunc(drainIdleGrace, p.closeIdle)
}

// idleDeadline is when a client that is idle now is closed in a drain. Late in it that is at once, unless the
// client has sent no request yet: an answer whose head went out before the drain did not say that it is the
// last one of its connection.
func (p *Proxy) idleDeadline(hadRequest bool) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	end := p.drainStarted.Add(drainIdleGrace)
	switch {
	case !now.After(end):
		return end
	case hadRequest && now.Sub(p.drainStarted) > drainAcceptTime:
		return now
	}
	return now.Add(drainIdleGrace)
}

// rejectsInDrain tells whether a request that has come now is not taken to a server any more.
func (p *Proxy) rejectsInDrain() bool {
	if !p.draining.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.drainStarted) > drainAcceptTime
}

func (p *Proxy) closeIdle() {
	for _, c := range p.connectedClients() {
		c.closeIfIdle()
	}
}

func (p *Proxy) connectedClients() []*client {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*client, 0, len(p.clients))
	for c := range p.clients {
		all = append(all, c)
	}
	return all
}

// Wait returns once no client is connected, or at the deadline. Requests that are still under way at abortAt
// are cut off from their servers, so that their clients get an answer.
func (p *Proxy) Wait(abortAt, deadline time.Time) {
	abort := time.NewTimer(time.Until(abortAt))
	defer abort.Stop()
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	for {
		p.mu.Lock()
		connected, changed := len(p.clients), p.clientsChanged
		p.mu.Unlock()
		if connected == 0 {
			return
		}
		select {
		case <-changed:
		case <-abort.C:
			for _, c := range p.connectedClients() {
				c.abortRequest()
			}
		case <-timeout.C:
			return
		}
	}
}
