package upstream

import (
	"slices"
	"sort"
	"time"
)

// probedSearchDepth bounds how many of the connections used last are searched for one whose last exchange was
// a probe: a server may have hundreds.
const probedSearchDepth = 16

// pastDeadline is a read deadline that wakes a goroutine from Read at once.
var pastDeadline = time.Unix(1, 0)

// reuseIdle hands the attempt to an idle connection to address; false if none may be used. The one used
// last is preferred, so that connections not needed reach MaxIdle and close: a request written into a
// connection that its server closes just then may or may not have run.
func (p *Pool) reuseIdle(a *Attempt, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[a.Server]
	now, limits := time.Now(), p.limits.Load()
	i := reusablePosition(list, now, limits.DuplicateGuard)
	if i < 0 {
		return false
	}
	c := list[i]
	if c.address != address || now.Sub(c.idleSince) > limits.MaxIdle {
		return false // all before it were used longer ago still, and close by themselves
	}
	p.idle[a.Server] = slices.Delete(list, i, i+1)
	c.next = a
	c.netConn.SetReadDeadline(pastDeadline)
	return true
}

// reusablePosition is the position of the connection used last on which no late duplicate of a response is to
// be expected: one that has been idle for guard, or whose last exchange was a probe; -1 if there is none.
func reusablePosition(list []*conn, now time.Time, guard time.Duration) int {
	guarded := sort.Search(len(list), func(i int) bool { return now.Sub(list[i].idleSince) < guard })
	for i := len(list) - 1; i >= max(guarded, len(list)-probedSearchDepth); i-- {
		if list[i].lastWasProbe {
			return i
		}
	}
	return guarded - 1
}

// park lists c as idle.
func (p *Pool) park(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle[c.server] = append(p.idle[c.server], c)
}

// removeIdle takes c off the list of idle connections, if it is there. The lock is held.
func (p *Pool) removeIdle(c *conn) {
	list := p.idle[c.server]
	if i := slices.Index(list, c); i >= 0 {
		p.idle[c.server] = slices.Delete(list, i, i+1)
	}
}

// closeOldestIdle closes the connection that has been idle longest, to free its descriptor; false if none
// is idle.
func (p *Pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.removeIdle(oldest)
	oldest.close()
	return true
}

// CloseStaleIdle closes the idle connections of servers that are no longer in service or have another address.
func (p *Pool) CloseStaleIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, list := range p.idle {
		if address, ok := p.directory.Address(s); ok && (len(list) == 0 || list[0].address == address) {
			continue
		}
		delete(p.idle, s)
		for _, c := range list {
			c.close()
		}
	}
}
