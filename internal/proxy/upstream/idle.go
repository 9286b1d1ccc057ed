package upstream

import (
	"slices"
	"sort"
	"time"
)

// maxProbedSearch is how many of the most recently used connections are searched for one whose last exchange
// was a probe. It bounds the search, because a server may have hundreds of idle connections.
const maxProbedSearch = 16

// pastDeadline is a read deadline in the past, which makes a blocked Read return at once.
var pastDeadline = time.Unix(1, 0)

// reuseIdle passes the attempt to an idle connection to address; it returns false if none may be used. It
// prefers the most recently used connection, so that surplus connections reach MaxIdle and close. The fewer
// connections idle for long, the fewer requests are written to one that its server closes at that moment, of
// which it is unknown whether they ran.
func (p *Pool) reuseIdle(a *Attempt, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[a.Server]
	now, limits := time.Now(), p.limits.Load()
	i := reusableIndex(conns, now, limits.DuplicateGuard)
	if i < 0 {
		return false
	}
	c := conns[i]
	if c.address != address || now.Sub(c.idleSince) > limits.MaxIdle {
		return false // all before it have been idle even longer, and close by themselves
	}
	p.idle[a.Server] = slices.Delete(conns, i, i+1)
	c.next = a
	c.netConn.SetReadDeadline(pastDeadline)
	return true
}

// reusableIndex returns the index of the most recently used connection on which no late duplicate of a
// response is expected, or -1 if there is none. Such a connection has been idle for at least guard, or its
// last exchange was a probe; of the latter only the last maxProbedSearch connections are searched.
func reusableIndex(conns []*conn, now time.Time, guard time.Duration) int {
	guardedFrom := sort.Search(len(conns), func(i int) bool { return now.Sub(conns[i].idleSince) < guard })
	for i := len(conns) - 1; i >= max(guardedFrom, len(conns)-maxProbedSearch); i-- {
		if conns[i].lastWasProbe {
			return i
		}
	}
	return guardedFrom - 1
}

// addIdle appends c to the list of idle connections of its server.
func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle[c.server] = append(p.idle[c.server], c)
}

// removeIdle removes c from the list of idle connections, if it is there. The caller holds p.mu.
func (p *Pool) removeIdle(c *conn) {
	conns := p.idle[c.server]
	if i := slices.Index(conns, c); i >= 0 {
		p.idle[c.server] = slices.Delete(conns, i, i+1)
	}
}

// closeOldestIdle closes the connection that has been idle longest, to free its file descriptor. It returns
// false if none is idle.
func (p *Pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince.Before(oldest.idleSince)) {
			oldest = conns[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.removeIdle(oldest)
	oldest.close()
	return true
}

// CloseStaleIdle closes the idle connections to servers that are no longer in service or have another
// address.
func (p *Pool) CloseStaleIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, conns := range p.idle {
		if address, ok := p.directory.Address(s); ok && (len(conns) == 0 || conns[0].address == address) {
			continue
		}
		delete(p.idle, s)
		for _, c := range conns {
			c.close()
		}
	}
}
