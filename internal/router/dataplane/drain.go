package dataplane

import "time"

const (
	// idleDrain is how long after the begin of a drain idle clients are kept, as their requests may be on the
	// way.
	idleDrain = 300 * time.Millisecond
	// lateInDrain is how long after the begin of a drain requests are still taken to servers. Clients that come
	// last, until the listener closes, have sent theirs by then; what lasts longer than the rest of the drain
	// would be cut off.
	lateInDrain = 2700 * time.Millisecond
)

// Drain makes every following answer the last of its connection, and closes connections that are idle a
// little later. New connections and requests are served on.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining.Load() {
		return
	}
	f.drained = time.Now()
	f.draining.Store(true)
	time.AfterFunc(idleDrain, f.closeIdle)
}

// idleEnd is when a client that is idle now is closed in a drain. Late in it that is at once, unless the
// client has sent no request yet: an answer whose head went out before the drain did not say that it is the
// last one of its connection.
func (f *Front) idleEnd(carried bool) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	end := f.drained.Add(idleDrain)
	switch {
	case !now.After(end):
		return end
	case carried && now.Sub(f.drained) > lateInDrain:
		return now
	}
	return now.Add(idleDrain)
}

// isLateInDrain tells whether a request that has come now is not taken to a server any more.
func (f *Front) isLateInDrain() bool {
	if !f.draining.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.drained) > lateInDrain
}

func (f *Front) closeIdle() {
	for _, c := range f.all() {
		c.wakeIdle()
	}
}

func (f *Front) all() []*client {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*client, 0, len(f.clients))
	for c := range f.clients {
		all = append(all, c)
	}
	return all
}

// Wait returns once no client is connected, or at the deadline. Requests that are still under way at cutAt
// are cut off from their servers, so that their clients get an answer.
func (f *Front) Wait(cutAt, deadline time.Time) {
	cut := time.NewTimer(time.Until(cutAt))
	defer cut.Stop()
	over := time.NewTimer(time.Until(deadline))
	defer over.Stop()
	for {
		f.mu.Lock()
		left, changed := len(f.clients), f.changed
		f.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-changed:
		case <-cut.C:
			for _, c := range f.all() {
				c.cutOff()
			}
		case <-over.C:
			return
		}
	}
}
