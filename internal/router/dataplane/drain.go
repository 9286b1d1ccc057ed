package dataplane

import "time"

const (
	// drainIdleGrace is how long idle clients stay connected after the start of a drain, because requests of
	// theirs may be in transit.
	drainIdleGrace = 300 * time.Millisecond
	// drainAcceptTime is how long after the start of a drain requests are still forwarded. By then the clients
	// that connected just before the listener closed have sent their requests. A request forwarded later would
	// be aborted if it took longer than the rest of the drain.
	drainAcceptTime = 2700 * time.Millisecond
)

// Drain starts a drain: every further response is the last one on its connection, and idle connections are
// closed after drainIdleGrace. New connections are still accepted, and requests are forwarded until
// drainAcceptTime is over.
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

// idleDeadline returns when a client that is idle now is closed in a drain. After drainAcceptTime a client
// that has sent a request before is closed at once: the head of its last response was sent before the drain
// and did not announce the end of the connection. A client that has sent no request yet is closed after
// drainIdleGrace.
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

// rejectsInDrain reports whether a request that arrives now is rejected because of a drain.
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

// Wait returns when no client is connected any more, or at the deadline. Calls of requests that are still in
// flight at abortAt are aborted, so that the clients get a response.
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
