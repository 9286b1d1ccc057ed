package dataplane

import "time"

const (
	// drainIdleGrace is how long after the start of a drain idle clients stay connected, as their requests
	// may be on the way.
	drainIdleGrace = 300 * time.Millisecond
	// drainAcceptTime is how long after the start of a drain requests are still forwarded. Clients that
	// connect last, until the listener closes, have sent theirs by then; what takes longer than the rest of
	// the drain would be aborted.
	drainAcceptTime = 2700 * time.Millisecond
)

// Drain makes every further response the last of its connection, and closes idle connections a little
// later. New connections and requests are still served.
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

// idleDeadline is when a client that is idle now is closed in a drain. Late in it that is at once, unless
// the client has sent no request yet: a response whose head was sent before the drain did not say that it
// is the last one of its connection.
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

// rejectsInDrain reports whether a request that arrives now is no longer forwarded.
func (p *Proxy) rejectsInDrain() bool {
	if !p.draining.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.drainStarted) > drainAcceptTime
}

func (p *Proxy) closeIdle() {
	for _, client := range p.connectedClients() {
		client.closeIfIdle()
	}
}

func (p *Proxy) connectedClients() []*client {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*client, 0, len(p.clients))
	for client := range p.clients {
		all = append(all, client)
	}
	return all
}

// Wait returns once no client is connected, or at the deadline. Requests that are still in flight at
// abortAt are aborted at their servers, so that their clients get a response.
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
			for _, client := range p.connectedClients() {
				client.abortRequest()
			}
		case <-timeout.C:
			return
		}
	}
}
